package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/roomforecast"
)

type waitingRequest struct {
	PlaceRequest
	shard    *Shard
	lastSeen time.Time
	order    time.Time     // position in the queue
	shift    time.Duration // by which fairness and urgency moved it there

	likely bool                // it probably starts in time, as of the last pass
	stream roomforecast.Stream // as counted in that pass
}

// largeHeadStart is the head start in the queue, as a share of its latency objective, of a stream that takes all of an engine's memory over
// a small one that stops waiting at the same time.
const largeHeadStart = 0.5

// orderOf returns a stream's position in the queue before fairness and urgency move it: the time at which it stops waiting, earlier for
// large streams. Streams that can still start in time go before a retried one, until that would be rejected again.
//
// When memory is short, small streams fit at once into what is released, while a large one needs the memory of two runs. Ordered
// by deadline alone, a large stream would find its capacity taken each time until its wait is over.
func (l *Ledger) orderOf(s *admit.Stream) time.Time {
	return s.WaitDeadline().Add(-time.Duration(largeHeadStart * l.memoryShare(s) * float64(s.Objective)))
}

// memoryShare returns the share of an engine's memory that a stream takes; 0 if the memory is unknown.
func (l *Ledger) memoryShare(s *admit.Stream) float64 {
	memory := l.fleet.Memory(s.Need.Service)
	if memory <= 0 {
		return 0
	}
	return min(1, float64(s.Need.Peak.Held)/float64(memory))
}

// enqueue inserts a request into the queue.
func (l *Ledger) enqueue(w *waitingRequest) {
	l.fairnessOf(w.shard.Key).urgencies.Include(w.Stream.Priority)
	w.shift = l.shift(w.shard, &w.Stream)
	w.order = l.orderOf(&w.Stream).Add(w.shift)
	at, _ := slices.BinarySearchFunc(l.waiting, w.order, func(x *waitingRequest, order time.Time) int { return x.order.Compare(order) })
	for at < len(l.waiting) && l.waiting[at].order.Equal(w.order) {
		at++
	}
	l.waiting = slices.Insert(l.waiting, at, w)
}

// HasWaiting reports whether requests wait.
func (l *Ledger) HasWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

// DecideWaiting decides the waiting requests that it can, in order, and returns the answers.
//
// For the first requests of each shard that still wait, the engines with the most free memory are reserved. Otherwise small streams take
// memory as soon as it is released, and a large prompt, which needs the memory of two at one engine, is rejected.
func (l *Ledger) DecideWaiting(now time.Time) []Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reserved)
	l.sortWaiting()
	pass := l.newWaitingPass(now)
	var out []Answer
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool {
		if now.Sub(w.lastSeen) > requestTTL {
			return true
		}
		answer, ok := l.decide(now, w.shard, &w.PlaceRequest)
		if !ok {
			answer, ok = pass.refuse(w)
		}
		switch {
		case ok:
			l.describeWait(now, w, &answer)
			out = append(out, answer)
		default:
			l.reserveEngine(w.shard, &w.Stream.Need)
		}
		return ok
	})
	pass.finish()
	return out
}

// dropWaiting removes a waiting request.
func (l *Ledger) dropWaiting(k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// waitingTokens returns the tokens of engine memory that requests waiting for a shard need.
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

// waitingRequests lists the waiting requests.
func (l *Ledger) waitingRequests() []waitingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]waitingRequest, len(l.waiting))
	for i, w := range l.waiting {
		out[i] = *w
	}
	return out
}

// Knows reports whether a request has been decided here or waits here.
func (l *Ledger) Knows(k Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, done := l.answers[k]
	return done || slices.ContainsFunc(l.waiting, func(w *waitingRequest) bool { return w.Key == k })
}

// enginesPerReserved is the number of a shard's engines for each reserved one: more reservations serve large prompts sooner, others later.
const enginesPerReserved = 16

// reserveEngine reserves the engine with the most free memory for a waiting request, if the shard may have one more reserved. An engine where the
// request may not run stays free for others.
func (l *Ledger) reserveEngine(s *Shard, n *fleet.Need) {
	reserved := l.reserved[s.Key]
	if len(reserved) >= max(1, len(s.Engines())/enginesPerReserved) {
		return
	}
	id := l.fleet.EngineWithMostFree(s.Engines(), reserved, n)
	if id == "" {
		return
	}
	if reserved == nil {
		reserved = make(map[string]bool)
		l.reserved[s.Key] = reserved
	}
	reserved[id] = true
}
