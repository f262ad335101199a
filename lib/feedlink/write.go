package feedlink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	// writeGap gathers the rows of instances that start at once.
	writeGap = 50 * time.Millisecond
	// writesMost bounds the rows that are gathered: as many as one transaction takes.
	writesMost = 100
	// writesHeld bounds the rows that wait.
	writesHeld = 4096
)

// writeQueue holds rows on their way to the one that reads the store.
//
// Load pattern: all instances of a site start at once, and the store takes a few hundred transactions a second of a table. With one for
// each of a thousand instances most were turned away, and tried again.
type writeQueue struct {
	mu   sync.Mutex
	rows map[string]feed.Row // by key: the last of each
	wake chan struct{}
}

func newWriteQueue() *writeQueue {
	return &writeQueue{rows: make(map[string]feed.Row), wake: make(chan struct{}, 1)}
}

func (q *writeQueue) add(rows ...feed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range rows {
		if len(q.rows) < writesHeld {
			q.rows[r.Key] = r
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns as many rows as are passed on together.
func (q *writeQueue) take() []feed.Row {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []feed.Row
	for key, r := range q.rows {
		if len(out) == writesMost {
			break
		}
		out = append(out, r)
		delete(q.rows, key)
	}
	return out
}

// EnqueueWrite has this instance's own row written, by the one that reads the store for all.
func (t *Syncer) EnqueueWrite(row feed.Row) { t.writes.add(row) }

// passWrites hands rows on, gathered, until ctx is done.
func (t *Syncer) passWrites(ctx context.Context, on func([]feed.Row)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.writes.wake:
		}
		sleep(ctx, writeGap)
		for rows := t.writes.take(); len(rows) > 0 && ctx.Err() == nil; rows = t.writes.take() {
			on(rows)
		}
	}
}

// writeUp hands rows on to the one that is followed.
func (s *subscription) writeUp(rows []feed.Row) {
	up := new(meshpb.FeedUp)
	for _, r := range rows {
		up.Writes = append(up.Writes, &meshpb.FeedWrite{Key: r.Key, Value: r.Value})
	}
	_ = s.stream.Write(up) // whoever wants it written sees whether it was
}

// takeWrites takes in rows of one that follows this instance.
func (t *Syncer) takeWrites(writes []*meshpb.FeedWrite) {
	for _, w := range writes {
		if w.GetKey() != "" {
			t.writes.add(feed.Row{Key: w.Key, Value: w.GetValue()})
		}
	}
}
