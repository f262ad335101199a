package resume

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/owner"
)

// site is a set of instances that exchange records in memory, before a store in memory.
type site struct {
	mu        sync.Mutex
	recorders map[string]*Recorder
	down      map[string]bool // instances that neither send nor receive
	rows      map[string]feed.Row
	storeDown bool
	single    uint64 // the only version of the service; 0: it has several
	sends     int
	writes    int
	list      []owner.Instance
}

// link is one instance's transport.
type link struct {
	s    *site
	from string
}

func (l link) peer(ctx context.Context, to string) *Recorder {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.s.sends++
	if l.s.down[to] || l.s.down[l.from] {
		return nil
	}
	return l.s.recorders[to]
}

func (l link) SendRecords(ctx context.Context, to owner.Instance, entries []Entry, store bool) bool {
	time.Sleep(time.Millisecond)
	r := l.peer(ctx, to.Name)
	if r == nil {
		<-ctx.Done()
		return false
	}
	r.Receive(entries, store)
	return true
}

func (l link) FindRecord(ctx context.Context, to owner.Instance, q Query) (Found, bool) {
	time.Sleep(time.Millisecond)
	r := l.peer(ctx, to.Name)
	if r == nil {
		<-ctx.Done()
		return Found{}, false
	}
	return r.Answer(ctx, q), true
}

var errDown = errors.New("store is down")

func (s *site) Write(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return errDown
	}
	s.writes++
	s.rows[key] = feed.Row{Key: key, Value: value}
	return nil
}

func (s *site) ReadAll(context.Context) ([]feed.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return nil, errDown
	}
	var out []feed.Row
	for _, row := range s.rows {
		out = append(out, row)
	}
	return out, nil
}

func (s *site) Remove(_ context.Context, keys []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		delete(s.rows, key)
	}
	return nil
}

func (s *site) only(context.Context, string) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeDown {
		return 0, false, errDown
	}
	return s.single, s.single != 0, nil
}

func newSite(ctx context.Context, n int) *site {
	s := &site{recorders: make(map[string]*Recorder), down: make(map[string]bool), rows: make(map[string]feed.Row)}
	for i := range n {
		s.list = append(s.list, owner.Instance{Name: fmt.Sprint("i", i), Domain: fmt.Sprint("z", i%3), Addr: fmt.Sprint("a", i), Capacity: 1})
	}
	for _, in := range s.list {
		s.restart(ctx, in.Name)
	}
	return s
}

// restart replaces an instance by one that knows nothing.
func (s *site) restart(ctx context.Context, name string) {
	for _, in := range s.list {
		if in.Name == name {
			r := NewRecorder(in, link{s, name}, NewKeeper(name, s, s.only, func(string, error) {}))
			r.SetInstances(s.list)
			s.mu.Lock()
			s.recorders[name] = r
			s.mu.Unlock()
			go r.Run(ctx)
		}
	}
}

func (s *site) setDown(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.down[name] = true
	}
}

func entry(key uint64) Entry {
	return Entry{Key: key, Software: 7, Expires: time.Now().Add(30 * time.Second)}
}

func run(t *testing.T, f func(ctx context.Context, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, newSite(ctx, 9))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// The instance that began a stream and any one other die. Every other instance must still find the record.
func TestRecordSurvivesItsInstanceAndOneHolder(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(40) {
			s.recorders["i0"].Record(entry(key), false)
		}
		for dead := 1; dead < 9; dead++ {
			s.down = map[string]bool{"i0": true, fmt.Sprint("i", dead): true}
			for key := range uint64(40) {
				for i := 1; i < 9; i += 3 {
					if i == dead {
						continue
					}
					f := s.recorders[fmt.Sprint("i", i)].Find(ctx, key, "s")
					must.Eq(t, 7, f.Software, must.Sprint(key, i, dead))
				}
			}
		}
	})
}

// Peers are silent while a stream begins. Its first event waits no longer than recordTimeout, and others take the place of the holders.
func TestFirstEventWaitsShortlyForSilentPeers(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		holders := s.recorders["i0"].ranking.Load().top(5, copies)
		s.setDown(holders[0].Name, holders[1].Name)
		start := time.Now()
		s.recorders["i0"].Record(entry(5), false)
		must.LessEq(t, recordTimeout, time.Since(start))
		time.Sleep(sendTimeout)
		s.setDown("i0")
		for _, in := range s.list {
			if !s.down[in.Name] {
				must.Eq(t, 7, s.recorders[in.Name].Find(ctx, 5, "s").Software)
			}
		}
		s.down = map[string]bool{"i0": true}
		s.setDown("i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8")
		start = time.Now()
		s.recorders["i0"].Record(entry(6), false)
		must.LessEq(t, recordTimeout, time.Since(start))
	})
}

// All instances die. What was written to the store before is found by those that start, and what was not stays unknown.
func TestRecordsSurviveAllInstancesInTheStore(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(20) {
			s.recorders["i0"].Record(entry(key), true)
		}
		time.Sleep(time.Second)
		s.recorders["i1"].Record(entry(99), false)
		for _, in := range s.list {
			s.restart(ctx, in.Name)
		}
		for key := range uint64(20) {
			must.Eq(t, Found{Software: 7, Settled: true}, s.recorders[fmt.Sprint("i", key%9)].Find(ctx, key, "s"))
		}
		must.Eq(t, Found{Settled: true}, s.recorders["i3"].Find(ctx, 99, "s"))
		must.LessEq(t, 3, s.writes) // grouped
		s.storeDown = true
		must.Eq(t, Found{}, s.recorders["i3"].Find(ctx, 99, "s"))
		s.storeDown = false
		s.single = 7
		must.Eq(t, Found{Software: 7, Settled: true}, s.recorders["i3"].Find(ctx, 99, "s"))
	})
}

// The store is away while streams begin, and a keeper dies. The records are written once the store is back, by a keeper that lives.
func TestRecordsAreWrittenAfterAnOutage(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		s.storeDown = true
		r := s.recorders["i0"]
		s.setDown((*r.keepers.Load())[0].Name)
		if s.down["i0"] {
			s.down = map[string]bool{}
		}
		r.Record(entry(1), true)
		time.Sleep(3 * time.Second)
		must.MapEmpty(t, s.rows)
		s.storeDown = false
		time.Sleep(3 * time.Second)
		must.MapLen(t, 1, s.rows)
	})
}

// Instances are restarted one after another. What they hold for others must outlive them.
func TestRecordsSurviveRollingRestart(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(20) {
			s.recorders["i0"].Record(entry(key), false)
		}
		for _, in := range s.list {
			s.recorders[in.Name].HandOver(ctx)
			s.restart(ctx, in.Name)
		}
		for key := range uint64(20) {
			must.Eq(t, 7, s.recorders["i4"].Find(ctx, key, "s").Software)
		}
	})
}

// An instance starts again: its rows must not be overwritten while callers may still resume the streams in them, and are used again after that.
func TestRowsOfEarlierIncarnationAreKept(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		write := func(key uint64) {
			k := NewKeeper("i0", s, s.only, func(string, error) {})
			k.Add([]Entry{entry(key)})
			must.NoError(t, k.flush(ctx))
		}
		write(1)
		write(2)
		must.MapLen(t, 2, s.rows)
		time.Sleep(time.Minute)
		write(3)
		must.MapLen(t, 2, s.rows)
		must.Eq(t, 7, s.recorders["i5"].Find(ctx, 3, "s").Software)
		time.Sleep(staleRows + time.Minute)
		s.recorders["i5"].Find(ctx, 4, "s")
		must.MapEmpty(t, s.rows)
	})
}

// A failure domain is lost with one of the two holders: the other must be elsewhere.
func TestHoldersAreInTwoDomains(t *testing.T) {
	s := newSite(t.Context(), 9)
	for key := range uint64(100) {
		top := s.recorders["i0"].ranking.Load().top(key, queriedPeers)
		must.Len(t, queriedPeers, top)
		must.NotEq(t, top[0].Domain, top[1].Domain)
		must.Eq(t, top[:copies], s.recorders["i0"].ranking.Load().top(key, copies))
		names := map[string]bool{}
		for _, in := range top {
			names[in.Name] = true
		}
		must.MapLen(t, queriedPeers, names)
	}
	must.SliceEmpty(t, newRanking("a", nil).top(1, copies))
}
