package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
)

type waitingRequest struct {
	PlaceRequest
	shard    *Shard
	lastSeen time.Time
	order    time.Time // the order in which those that wait are looked at
}

// largeHeadStart is how many of its aims a stream that takes all of an engine's memory goes before a small one that stops waiting at the
// same time.
const largeHeadStart = 0.5

// orderOf is a stream's place in the order: when it stops waiting, large ones sooner. A stream that can still begin in time goes before
// one that has come back, until that would be refused again.
//
// Load pattern: memory is short, and small streams fit into what frees up at once while a large one needs what two runs leave.
// Looked at in the order of their ends alone, it finds its room taken at each look until its wait is over.
func (b *Ledger) orderOf(s *admit.Stream) time.Time {
	due := s.WaitDeadline()
	memory := b.fleet.Memory(s.Need.Service)
	if memory <= 0 {
		return due
	}
	part := min(1, float64(s.Need.Peak.Held)/float64(memory))
	return due.Add(-time.Duration(largeHeadStart * part * float64(s.Objective)))
}

// cannotStartInTime reports whether a stream that would wait can't begin before its wait is over: all engines of its shard have limits, and those that
// wait before it use up what they take.
//
// Load pattern: a whole service is in need and more streams come than it takes. Each that waits in vain could have come back sooner.
func (b *Ledger) cannotStartInTime(now time.Time, s *Shard, a *PlaceRequest) bool {
	perSecond, limited := b.fleet.TotalLimit(s.Engines())
	if !limited || a.Mode != Admit {
		return false
	}
	turn, before := b.orderOf(&a.Stream), 0
	for _, w := range b.waiting {
		if w.shard.Key == s.Key && !w.order.After(turn) {
			before++
		}
	}
	return float64(before+1) > perSecond*a.Stream.WaitDeadline().Sub(now).Seconds()
}

// enqueue puts an ask among those that wait, in their order.
func (b *Ledger) enqueue(w *waitingRequest) {
	w.order = b.orderOf(&w.Stream)
	at, _ := slices.BinarySearchFunc(b.waiting, w.order, func(x *waitingRequest, turn time.Time) int { return x.order.Compare(turn) })
	for at < len(b.waiting) && b.waiting[at].order.Equal(w.order) {
		at++
	}
	b.waiting = slices.Insert(b.waiting, at, w)
}

// HasWaiting reports whether asks wait.
func (b *Ledger) HasWaiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) > 0
}

// DecideWaiting decides what it can of the asks that wait, in their order, and returns the answers.
//
// For the first of each shard that still wait the roomiest engines are kept. Without that, small streams take what frees up
// as it frees up, and a large prompt, which needs the room of two at one engine, is turned away.
func (b *Ledger) DecideWaiting(now time.Time) []Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.reserved)
	var out []Answer
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waitingRequest) bool {
		if now.Sub(w.lastSeen) > requestTTL {
			return true
		}
		answer, ok := b.decide(now, w.shard, &w.PlaceRequest)
		switch {
		case ok:
			out = append(out, answer)
		default:
			b.reserveEngine(w.shard)
		}
		return ok
	})
	return out
}

// dropWaiting forgets an ask that waits.
func (b *Ledger) dropWaiting(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// waitingTokens is how many tokens of engine memory the asks want that wait for a shard.
func (b *Ledger) waitingTokens(shard string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, w := range b.waiting {
		if w.shard.Key == shard {
			sum += w.Stream.Need.Tokens
		}
	}
	return sum
}

// waitingRequests lists the asks that wait, with their shards.
func (b *Ledger) waitingRequests() []waitingRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]waitingRequest, len(b.waiting))
	for i, w := range b.waiting {
		out[i] = *w
	}
	return out
}

// Knows reports whether an ask has been decided here or waits here.
func (b *Ledger) Knows(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, done := b.answers[k]
	return done || slices.ContainsFunc(b.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// enginesPerReserved is how many engines of a shard there are for each that is kept: more serve large prompts sooner and others later.
const enginesPerReserved = 16

// reserveEngine keeps the roomiest engine that is left for a stream that waits, if its shard may have one more kept.
func (b *Ledger) reserveEngine(s *Shard) {
	reserved := b.reserved[s.Key]
	if len(reserved) >= max(1, len(s.Engines())/enginesPerReserved) {
		return
	}
	id := b.fleet.EngineWithMostFree(s.Engines(), reserved)
	if id == "" {
		return
	}
	if reserved == nil {
		reserved = make(map[string]bool)
		b.reserved[s.Key] = reserved
	}
	reserved[id] = true
}
