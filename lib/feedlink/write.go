package feedlink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	// writeBatchDelay is how long rows are batched, for instances that start at once.
	writeBatchDelay = 50 * time.Millisecond
	// maxWriteBatch bounds the rows of a batch, as many as one transaction takes; maxWriteBatchBytes their size, so that an upstream takes them in one
	// message.
	maxWriteBatch      = 100
	maxWriteBatchBytes = maxUpMessage / 2
	// maxQueuedWrites bounds the queued rows.
	maxQueuedWrites = 4096
	// maxWriteBytes bounds a row that is received from a downstream instance: what an instance writes about itself has some hundred bytes.
	maxWriteBytes = 4 << 10
)

// writeQueue holds rows on their way to the instance that reads the store.
//
// Batching limits the transactions: when all instances of a site start at once, each writes a row, and the store takes a few hundred
// transactions a second per table. With one transaction for each of a thousand instances most were rejected and retried.
type writeQueue struct {
	mu   sync.Mutex
	rows map[string]feed.Row // last row of each key
	wake chan struct{}
}

func newWriteQueue() *writeQueue {
	return &writeQueue{rows: make(map[string]feed.Row), wake: make(chan struct{}, 1)}
}

func (q *writeQueue) add(rows ...feed.Row) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range rows {
		if len(q.rows) < maxQueuedWrites {
			q.rows[r.Key] = r
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes and returns one batch of rows.
func (q *writeQueue) nextBatch() []feed.Row {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []feed.Row
	size := 0
	for key, r := range q.rows {
		if len(out) == maxWriteBatch {
			break
		}
		if size += len(key) + len(r.Value); size > maxWriteBatchBytes && len(out) > 0 {
			break
		}
		out = append(out, r)
		delete(q.rows, key)
	}
	return out
}

// EnqueueWrite has this instance's own row written by the instance that reads the store.
func (t *Syncer) EnqueueWrite(row feed.Row) { t.writes.add(row) }

// forwardWrites passes batches of queued rows to write until ctx is done.
func (t *Syncer) forwardWrites(ctx context.Context, write func([]feed.Row)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.writes.wake:
		}
		ctxtime.Sleep(ctx, writeBatchDelay)
		for rows := t.writes.nextBatch(); len(rows) > 0 && ctx.Err() == nil; rows = t.writes.nextBatch() {
			write(rows)
		}
	}
}

// sendWrites sends rows to the upstream.
func (s *subscription) sendWrites(rows []feed.Row) {
	_ = s.stream.Write(writesMessage(rows)) // the instance that wants the row written checks whether it was
}

// writesMessage returns the message that forwards rows.
func writesMessage(rows []feed.Row) *meshpb.FeedUp {
	up := new(meshpb.FeedUp)
	for _, r := range rows {
		up.Writes = append(up.Writes, &meshpb.FeedWrite{Key: r.Key, Value: r.Value})
	}
	return up
}

// enqueueWrites queues rows received from a downstream instance.
func (t *Syncer) enqueueWrites(writes []*meshpb.FeedWrite) {
	for _, w := range writes {
		if w.GetKey() != "" && len(w.Key)+len(w.GetValue()) <= maxWriteBytes {
			t.writes.add(feed.Row{Key: w.Key, Value: w.GetValue()})
		}
	}
}
