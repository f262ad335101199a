package resume

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
)

const (
	// outboxDelay is how long records on their way to the store are collected.
	outboxDelay = 100 * time.Millisecond
	// maxOutbox bounds those records: all that this instance can hold. Further ones are held by peers only.
	maxOutbox = maxEntries
	// maxBatch is the number of records in one datagram, at some 25 bytes each.
	maxBatch = 400
)

// keeperKey ranks the instances of a failure domain as keepers.
const keeperKey = 0x6b65657065727321

// enqueue has records written to the store, and returns those for which there is no room.
func (r *Recorder) enqueue(entries []Entry) (rest []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(entries), max(0, maxOutbox-len(r.outbox)))
	r.outbox = append(r.outbox, entries[:n]...)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return entries[n:]
}

// StoreHeld writes to the store the records that are held only in memory, of the versions that mixed selects: those of streams that began before
// their service had several versions, without which the loss of all instances would lose these streams. Holders write them as well as the instance
// that began the stream, which may have been replaced since.
func (r *Recorder) StoreHeld(mixed func(software uint64) bool) {
	held := r.table.TakeUnstored(time.Now(), func(e Entry) bool { return mixed(e.Software) })
	if len(held) == 0 {
		return
	}
	storedLate.Add(len(held))
	r.table.MarkUnstored(r.enqueue(held))
}

// StoreAgain makes StoreHeld write all records again: the store was restored from a copy that may lack them.
func (r *Recorder) StoreAgain() { r.table.MarkUnstored(r.table.All(time.Now())) }

// Run sends records to the keeper and writes those of this instance as keeper until ctx is done.
func (r *Recorder) Run(ctx context.Context) {
	go r.keeper.run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		time.Sleep(outboxDelay)
		r.flushOutbox(ctx)
	}
}

// flushOutbox sends the collected records to the first keeper that acknowledges them.
func (r *Recorder) flushOutbox(ctx context.Context) {
	r.mu.Lock()
	entries := r.outbox
	r.outbox = nil
	r.mu.Unlock()
	for len(entries) > 0 {
		batch := entries[:min(maxBatch, len(entries))]
		entries = entries[len(batch):]
		r.sendToKeeper(ctx, batch)
	}
}

func (r *Recorder) sendToKeeper(ctx context.Context, batch []Entry) {
	for _, to := range r.awakeFirst(*r.keepers.Load()) {
		if to.Name == r.self.Name {
			break
		}
		sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		ok := r.transport.SendRecords(sendCtx, to, batch, true)
		cancel()
		r.noteSilence(to.Name, ok)
		if ok {
			return
		}
	}
	r.keeper.Add(r.table.Queue(batch))
}

// HandOver passes on, before this instance stops, what it holds for others and what is on its way to the store: instances that are restarted
// one after another would otherwise lose the records of streams that outlast two restarts.
func (r *Recorder) HandOver(ctx context.Context) {
	r.flushOutbox(ctx)
	now := time.Now()
	byPeer := make(map[string][]Entry)
	peers := make(map[string]owner.Instance)
	ranking := r.ranking.Load()
	for _, e := range r.table.All(now) {
		for _, to := range ranking.top(e.Key, copies) {
			peers[to.Name] = to
			byPeer[to.Name] = append(byPeer[to.Name], e)
		}
	}
	var work sync.WaitGroup
	for name, entries := range byPeer {
		work.Go(func() { r.sendAll(ctx, peers[name], entries) })
	}
	work.Go(func() { r.keeper.flush(ctx) })
	work.Wait()
}

// sendAll sends records to one peer until it no longer acknowledges them.
func (r *Recorder) sendAll(ctx context.Context, to owner.Instance, entries []Entry) {
	for len(entries) > 0 {
		batch := entries[:min(maxBatch, len(entries))]
		entries = entries[len(batch):]
		if !r.transport.SendRecords(ctx, to, batch, false) {
			return
		}
	}
}
