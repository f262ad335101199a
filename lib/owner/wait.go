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
func (l *Ledger) orderOf(s *admit.Stream) time.Time {
	due := s.WaitDeadline()
	memory := l.fleet.Memory(s.Need.Service)
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
func (l *Ledger) cannotStartInTime(now time.Time, s *Shard, req *PlaceRequest) bool {
	perSecond, limited := l.fleet.TotalLimit(s.Engines())
	if !limited || req.Mode != Admit {
		return false
	}
	turn, before := l.orderOf(&req.Stream), 0
	for _, w := range l.waiting {
		if w.shard.Key == s.Key && !w.order.After(turn) {
			before++
		}
	}
	return float64(before+1) > perSecond*req.Stream.WaitDeadline().Sub(now).Seconds()
}

// enqueue puts an ask among those that wait, in their order.
func (l *Ledger) enqueue(w *waitingRequest) {
	w.order = l.orderOf(&w.Stream)
	at, _ := slices.BinarySearchFunc(l.waiting, w.order, func(x *waitingRequest, turn time.Time) int { return x.order.Compare(turn) })
	for at < len(l.waiting) && l.waiting[at].order.Equal(w.order) {
		at++
	}
	l.waiting = slices.Insert(l.waiting, at, w)
}

// HasWaiting reports whether asks wait.
func (l *Ledger) HasWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// DecideWaiting decides what it can of the asks that wait, in their order, and returns the answers.
//
// For the first of each shard that still wait the roomiest engines are kept. Without that, small streams take what frees up
// as it frees up, and a large prompt, which needs the room of two at one engine, is turned away.
func (l *Ledger) DecideWaiting(now time.Time) []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reserved)
	var out []Answer
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool {
		if now.Sub(w.lastSeen) > requestTTL {
			return true
		}
		answer, ok := l.decide(now, w.shard, &w.PlaceRequest)
		switch {
		case ok:
			out = append(out, answer)
		default:
			l.reserveEngine(w.shard)
		}
		return ok
	})
	return out
}

// dropWaiting forgets an ask that waits.
func (l *Ledger) dropWaiting(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// waitingTokens is how many tokens of engine memory the asks want that wait for a shard.
func (l *Ledger) waitingTokens(shard string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, w := range l.waiting {
		if w.shard.Key == shard {
			sum += w.Stream.Need.Tokens
		}
	}
	return sum
}

// waitingRequests lists the asks that wait, with their shards.
func (l *Ledger) waitingRequests() []waitingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]waitingRequest, len(l.waiting))
	for i, w := range l.waiting {
		out[i] = *w
	}
	return out
}

// Knows reports whether an ask has been decided here or waits here.
func (l *Ledger) Knows(k Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, done := l.answers[k]
	return done || slices.ContainsFunc(l.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// enginesPerReserved is how many engines of a shard there are for each that is kept: more serve large prompts sooner and others later.
const enginesPerReserved = 16

// reserveEngine keeps the roomiest engine that is left for a stream that waits, if its shard may have one more kept.
func (l *Ledger) reserveEngine(s *Shard) {
	reserved := l.reserved[s.Key]
	if len(reserved) >= max(1, len(s.Engines())/enginesPerReserved) {
		return
	}
	id := l.fleet.EngineWithMostFree(s.Engines(), reserved)
	if id == "" {
		return
	}
	if reserved == nil {
		reserved = make(map[string]bool)
		l.reserved[s.Key] = reserved
	}
	reserved[id] = true
}
