package fleetsim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// callTime is the duration of a call to the store.
const callTime = 4 * time.Millisecond

// store is a model of the platform's store, which can reject the calls of some instances.
type store struct {
	mu       sync.Mutex
	version  int64
	tables   map[string]map[string]feed.Row
	log      map[string][]feed.Row // in version order
	rejected map[string]bool       // instances whose calls are rejected
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		tables: make(map[string]map[string]feed.Row), log: make(map[string][]feed.Row), rejected: make(map[string]bool),
		changed: make(chan struct{}),
	}
}

func (s *store) put(table string, rows ...feed.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables[table] == nil {
		s.tables[table] = make(map[string]feed.Row)
	}
	s.version++
	for _, row := range rows {
		row.Version = s.version
		if row.Removed {
			delete(s.tables[table], row.Key)
		} else {
			s.tables[table][row.Key] = row
		}
		s.log[table] = append(s.log[table], row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns a row's value; nil if there is no such row.
func (s *store) value(table, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[table][key].Value, nil
}

// reject sets the instances whose calls are rejected.
func (s *store) reject(instances []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rejected)
	for _, name := range instances {
		s.rejected[name] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

var errRejected = errors.New("fleetsim: store call rejected for this instance")

// source is the feed source of a table for one instance.
type source struct {
	s        *store
	table    string
	instance string
	cost     *trafficMeter
}

func (t source) Snapshot(ctx context.Context) (feed.Page, error) {
	time.Sleep(callTime)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.s.rejected[t.instance] {
		t.cost.addCall(0)
		return feed.Page{}, errRejected
	}
	page := feed.Page{Era: feed.FirstEra, Version: t.s.version}
	for _, row := range t.s.tables[t.table] {
		page.Rows = append(page.Rows, row)
	}
	t.cost.addCall(len(page.Rows))
	return page, ctx.Err()
}

func (t source) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	time.Sleep(callTime)
	end := time.NewTimer(wait)
	defer end.Stop()
	for late := false; ; {
		page, changed, err := t.since(after)
		if err != nil || len(page.Rows) > 0 || late {
			t.cost.addCall(len(page.Rows))
			return page, err
		}
		select {
		case <-changed:
		case <-end.C:
			late = true
		case <-ctx.Done():
			return feed.Page{}, ctx.Err()
		}
	}
}

func (t source) since(after int64) (feed.Page, <-chan struct{}, error) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.s.rejected[t.instance] {
		return feed.Page{}, nil, errRejected
	}
	page := feed.Page{Era: feed.FirstEra, Version: t.s.version}
	log := t.s.log[t.table]
	at, _ := slices.BinarySearchFunc(log, after+1, func(r feed.Row, v int64) int { return int(r.Version - v) })
	page.Rows = append(page.Rows, log[at:]...)
	return page, t.s.changed, nil
}
