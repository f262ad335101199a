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

// fakeStore is a fake store with one table. It can become unavailable and be restored from a backup.
type fakeStore struct {
	mu          sync.Mutex
	era         int64
	ver         int64
	log         []Row // every change, in order
	unavailable bool
	changed     chan struct{}
	calls       int
}

func newFakeStore() *fakeStore { return &fakeStore{era: 1, changed: make(chan struct{})} }

// put writes a row; an empty value removes it.
func (m *fakeStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ver++
	m.log = append(m.log, Row{Key: key, Value: []byte(value), Version: m.ver, Removed: value == ""})
	close(m.changed)
	m.changed = make(chan struct{})
}

// advance assigns versions to writes of other tables.
func (m *fakeStore) advance(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ver += n
}

// backUp returns a function that restores the store to its present state, in a new era.
func (m *fakeStore) backUp() (restore func()) {
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

func (m *fakeStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
	close(m.changed)
	m.changed = make(chan struct{})
}

var errUnavailable = errors.New("away")

func (m *fakeStore) Snapshot(context.Context) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable {
		return Page{}, errUnavailable
	}
	page := Page{Version: m.ver, Era: m.era}
	for _, r := range newest(m.log) {
		if !r.Removed {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (m *fakeStore) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	end := time.After(wait)
	for firstCall := true; ; firstCall = false {
		page, changed, err := m.since(after, firstCall)
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

func (m *fakeStore) since(after int64, countCall bool) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if countCall {
		m.calls++
	}
	if m.unavailable {
		return Page{}, m.changed, errUnavailable
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

// A key is revoked right after the store was restored from a backup. The change gets a version below the replica's: it must
// arrive in time all the same, whether or not versions soon pass the replica's.
func TestChangesAfterRestoreArriveInTime(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		for _, each := range []int64{1, 10} { // versions that other tables take in 100 ms
			t.Run(fmt.Sprintf("%v,%d", outage, each), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testChangeAfterRestore(t, outage, each) })
			})
		}
	}
}

const (
	// applyLimit is the time within which a change must take effect; half of it is left for forwarding between instances.
	applyLimit = 2 * time.Second
	readLimit  = applyLimit / 2
)

func testChangeAfterRestore(t *testing.T, outage time.Duration, each int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	m := newFakeStore()
	m.put("settings", "with the key")
	m.advance(70)
	restore := m.backUp()
	m.advance(36)
	arrivals := make(chan time.Time, 1)
	r := NewReplica(func(u Update) {
		for _, row := range u.Rows {
			if string(row.Value) == "without the key" {
				arrivals <- time.Now()
			}
		}
	})
	work.Go(func() { NewFollower(m, DefaultOptions, r, func(error) {}).Run(ctx) })
	time.Sleep(time.Second)
	m.setUnavailable(true)
	time.Sleep(outage)
	restore()
	m.setUnavailable(false)
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
	case arrived := <-arrivals:
		must.Less(t, readLimit, arrived.Sub(written))
	case <-ctx.Done():
		t.Error("the change was never seen")
	}
}

// era sets the era of an answer.
func era(n int64, a answer) answer {
	a.page.Era = n
	return a
}

// A long poll begins before the store is restored from a backup and is answered afterwards, with versions beyond the requested
// one. The answer may lack rows written below it, so the whole table is read.
func TestAnswerOfNewEraTriggersSnapshot(t *testing.T) {
	s := &scriptedSource{
		snapshots: []answer{
			era(1, page(5, Row{Key: "a", Value: []byte("old"), Version: 5})),
			era(2, page(9, Row{Key: "a", Value: []byte("new"), Version: 4}, Row{Key: "b", Version: 9})),
		},
		changes: []answer{era(2, page(9, Row{Key: "b", Version: 9}))},
	}
	got := runFollower(t, s, time.Second)
	must.Len(t, 2, got)
	must.True(t, got[1].Restored)
	must.Eq(t, Position{Era: 1, Version: 5}, got[1].Previous)
	must.Eq(t, Position{Era: 2, Version: 9}, got[1].Position())
	must.Eq(t, []string{"new"}, valuesOf(got[1].Rows, "a"))
	must.Eq(t, []int64{5, 9}, s.after)
}

// A late answer of the previous era arrives over another connection with a larger version. It must not move the replica back.
func TestLateAnswerOfOldEraIsIgnored(t *testing.T) {
	s := &scriptedSource{
		snapshots: []answer{era(2, page(5, Row{Key: "a", Value: []byte("new"), Version: 5}))},
		changes: []answer{
			era(1, page(90, Row{Key: "a", Value: []byte("old"), Version: 90})),
			era(2, page(6, Row{Key: "b", Version: 6})),
		},
	}
	got := runFollower(t, s, time.Second)
	must.Len(t, 2, got)
	must.Eq(t, []Row{{Key: "b", Version: 6}}, got[1].Rows)
}

// The store was restored twice while an instance was cut off. The replica takes the newest snapshot and no changes of another era.
func TestReplicaSkipsAnEra(t *testing.T) {
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
