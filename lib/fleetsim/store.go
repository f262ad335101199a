package fleetsim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// answerTime is how long an answer of the store takes.
const answerTime = 4 * time.Millisecond

// store is a model of the platform's store, which may turn some instances away.
type store struct {
	mu      sync.Mutex
	version int64
	tables  map[string]map[string]feed.Row
	log     map[string][]feed.Row // in the order of versions
	turned  map[string]bool       // instances that it turns away
	changed chan struct{}
}

func newStore() *store {
	return &store{
		tables: make(map[string]map[string]feed.Row), log: make(map[string][]feed.Row), turned: make(map[string]bool),
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

// value returns a row's value; nil where there is none.
func (s *store) value(table, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[table][key].Value, nil
}

// turnAway makes the store turn some instances away, and no others.
func (s *store) turnAway(instances []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.turned)
	for _, name := range instances {
		s.turned[name] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

var errTurnedAway = errors.New("fleetsim: the store turns this instance away")

// source is a table as one instance reads it.
type source struct {
	s        *store
	table    string
	instance string
	cost     *cost
}

func (t source) Snapshot(ctx context.Context) (feed.Page, error) {
	time.Sleep(answerTime)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.s.turned[t.instance] {
		t.cost.call(0)
		return feed.Page{}, errTurnedAway
	}
	page := feed.Page{Era: feed.FirstEra, Version: t.s.version}
	for _, row := range t.s.tables[t.table] {
		page.Rows = append(page.Rows, row)
	}
	t.cost.call(len(page.Rows))
	return page, ctx.Err()
}

func (t source) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	time.Sleep(answerTime)
	end := time.NewTimer(wait)
	defer end.Stop()
	for late := false; ; {
		page, changed, err := t.since(after)
		if err != nil || len(page.Rows) > 0 || late {
			t.cost.call(len(page.Rows))
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
	if t.s.turned[t.instance] {
		return feed.Page{}, nil, errTurnedAway
	}
	page := feed.Page{Era: feed.FirstEra, Version: t.s.version}
	log := t.s.log[t.table]
	at, _ := slices.BinarySearchFunc(log, after+1, func(r feed.Row, v int64) int { return int(r.Version - v) })
	page.Rows = append(page.Rows, log[at:]...)
	return page, t.s.changed, nil
}
