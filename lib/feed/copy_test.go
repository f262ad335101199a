package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// model is a store with one table. It can be away, and come back from a copy.
type model struct {
	mu      sync.Mutex
	era     int64
	ver     int64
	log     []Row // every change, in order
	away    bool
	changed chan struct{}
	calls   int
}

func newModel() *model { return &model{era: 1, changed: make(chan struct{})} }

// put writes a row; an empty value removes it.
func (m *model) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ver++
	m.log = append(m.log, Row{Key: key, Value: []byte(value), Version: m.ver, Removed: value == ""})
	close(m.changed)
	m.changed = make(chan struct{})
}

// advance gives out versions that other tables use.
func (m *model) advance(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ver += n
}

// copied returns what puts the store back to its state of now, in a new era.
func (m *model) copied() (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ver := len(m.log), m.ver
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.log, m.ver, m.era = m.log[:n:n], ver, m.era+1
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func (m *model) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
	close(m.changed)
	m.changed = make(chan struct{})
}

var errAway = errors.New("away")

func (m *model) Snapshot(context.Context) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.away {
		return Page{}, errAway
	}
	page := Page{Version: m.ver, Era: m.era}
	for _, r := range newest(m.log) {
		if !r.Removed {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (m *model) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	end := time.After(wait)
	for asked := true; ; asked = false {
		page, changed, err := m.since(after, asked)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-end:
			return page, nil
		case <-ctx.Done():
			return Page{}, context.Cause(ctx)
		}
	}
}

func (m *model) since(after int64, asked bool) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asked {
		m.calls++
	}
	if m.away {
		return Page{}, m.changed, errAway
	}
	if after > m.ver {
		return Page{}, m.changed, ErrHistoryGone
	}
	page := Page{Version: m.ver, Era: m.era}
	for _, r := range m.log {
		if r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, m.changed, nil
}

// A key is revoked right after the store has come back from a copy. The change gets a version below the one that is held: it must be
// seen in time all the same, whether versions soon pass that one or not.
func TestChangesAfterACopyAreSeen(t *testing.T) {
	for _, away := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		for _, each := range []int64{1, 10} { // versions that others take in 100 ms
			t.Run(fmt.Sprintf("%v,%d", away, each), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { changeAfterCopy(t, away, each) })
			})
		}
	}
}

const (
	// applyLimit is the time in which a change is to be in force; half of it is left for the ways between instances.
	applyLimit = 2 * time.Second
	readLimit  = applyLimit / 2
)

func changeAfterCopy(t *testing.T, away time.Duration, each int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	m := newModel()
	m.put("settings", "with the key")
	m.advance(70)
	restore := m.copied()
	m.advance(36)
	seen := make(chan time.Time, 1)
	r := NewReplica(func(u Update) {
		for _, row := range u.Rows {
			if string(row.Value) == "without the key" {
				seen <- time.Now()
			}
		}
	})
	work.Go(func() { NewFollower(m, DefaultOptions, r, func(error) {}).Run(ctx) })
	time.Sleep(time.Second)
	m.setAway(true)
	time.Sleep(away)
	restore()
	m.setAway(false)
	time.Sleep(200 * time.Millisecond)
	m.put("settings", "without the key")
	written := time.Now()
	work.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			m.advance(each)
		}
	})
	select {
	case at := <-seen:
		must.Less(t, readLimit, at.Sub(written))
	case <-ctx.Done():
		t.Error("the change was never seen")
	}
}

// era returns an answer of an era.
func era(n int64, a answer) answer {
	a.page.Era = n
	return a
}

// A long poll began before the store came back from a copy and is answered after, by versions that have passed the one asked from. The
// answer may lack what was written below: the whole table is read.
func TestAnswerOfANewEraIsReadWhole(t *testing.T) {
	s := &script{
		snapshots: []answer{
			era(1, page(5, Row{Key: "a", Value: []byte("old"), Version: 5})),
			era(2, page(9, Row{Key: "a", Value: []byte("new"), Version: 4}, Row{Key: "b", Version: 9})),
		},
		changes: []answer{era(2, page(9, Row{Key: "b", Version: 9}))},
	}
	got := follow(t, s, time.Second)
	must.Len(t, 2, got)
	must.True(t, got[1].Restored)
	must.Eq(t, Position{Era: 1, Version: 5}, got[1].Previous)
	must.Eq(t, Position{Era: 2, Version: 9}, got[1].Position())
	must.Eq(t, []string{"new"}, valuesOf(got[1].Rows, "a"))
	must.Eq(t, []int64{5, 9}, s.after)
}

// An answer of the era before comes late, by another connection, with a larger version. Nothing goes back.
func TestLateAnswerOfAnOldEraChangesNothing(t *testing.T) {
	s := &script{
		snapshots: []answer{era(2, page(5, Row{Key: "a", Value: []byte("new"), Version: 5}))},
		changes: []answer{
			era(1, page(90, Row{Key: "a", Value: []byte("old"), Version: 90})),
			era(2, page(6, Row{Key: "b", Version: 6})),
		},
	}
	got := follow(t, s, time.Second)
	must.Len(t, 2, got)
	must.Eq(t, []Row{{Key: "b", Version: 6}}, got[1].Rows)
}

// An instance was cut off while the store came back from a copy twice. It takes the newest state, and no change of an era beside it.
func TestReplicaOverTwoEras(t *testing.T) {
	r := NewReplica(func(Update) {})
	now := time.Now()
	r.Merge(Page{Era: 1, Version: 50, Rows: []Row{{Key: "a", Value: []byte("one"), Version: 50}}}, true, now)
	r.Merge(Page{Era: 3, Version: 70, Rows: []Row{{Key: "a", Value: []byte("changes"), Version: 70}}}, false, now)
	must.Eq(t, Position{Era: 1, Version: 50}, r.Position())
	r.Merge(Page{Era: 3, Version: 20, Rows: []Row{{Key: "a", Value: []byte("three"), Version: 18}}}, true, now)
	r.Merge(Page{Era: 2, Version: 99, Rows: []Row{{Key: "a", Value: []byte("two"), Version: 99}}}, true, now)
	must.Eq(t, Position{Era: 3, Version: 20}, r.Position())
	page, whole, _, _ := r.Since(Position{Era: 1, Version: 50})
	must.True(t, whole)
	must.Eq(t, []string{"three"}, valuesOf(page.Rows, "a"))
	page, whole, _, _ = r.Since(Position{Era: 4, Version: 1})
	must.False(t, whole)
	must.SliceEmpty(t, page.Rows)
}

func valuesOf(rows []Row, key string) []string {
	var out []string
	for _, r := range rows {
		if r.Key == key {
			out = append(out, string(r.Value))
		}
	}
	return out
}
