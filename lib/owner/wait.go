package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
)

type waiting struct {
	PlaceRequest
	shard *Shard
	heard time.Time
	turn  time.Time // the order in which those that wait are looked at
}

// largeShare is how many of its aims a stream that takes all of an engine's memory goes before a small one that stops waiting at the
// same time.
const largeShare = 0.5

// turnOf is a stream's place in the order: when it stops waiting, large ones sooner. A stream that can still begin in time goes before
// one that has come back, until that would be refused again.
//
// Load pattern: memory is short, and small streams fit into what frees up at once while a large one needs what two runs leave.
// Looked at in the order of their ends alone, it finds its room taken at each look until its wait is over.
func (b *Ledger) turnOf(s *admit.Stream) time.Time {
	due := s.WaitDeadline()
	memory := b.fleet.Memory(s.Need.Service)
	if memory <= 0 {
		return due
	}
	part := min(1, float64(s.Need.Peak.Held)/float64(memory))
	return due.Add(-time.Duration(largeShare * part * float64(s.Objective)))
}

// hasNoTurn reports whether a stream that would wait can't begin before its wait is over: all engines of its shard have limits, and those that
// wait before it use up what they take.
//
// Load pattern: a whole service is in need and more streams come than it takes. Each that waits in vain could have come back sooner.
func (b *Ledger) hasNoTurn(now time.Time, s *Shard, a *PlaceRequest) bool {
	perSecond, limited := b.fleet.TotalLimit(s.Engines())
	if !limited || a.Mode != Admit {
		return false
	}
	turn, before := b.turnOf(&a.Stream), 0
	for _, w := range b.asks {
		if w.shard.Key == s.Key && !w.turn.After(turn) {
			before++
		}
	}
	return float64(before+1) > perSecond*a.Stream.WaitDeadline().Sub(now).Seconds()
}

// wait puts an ask among those that wait, in their order.
func (b *Ledger) wait(w *waiting) {
	w.turn = b.turnOf(&w.Stream)
	at, _ := slices.BinarySearchFunc(b.asks, w.turn, func(x *waiting, turn time.Time) int { return x.turn.Compare(turn) })
	for at < len(b.asks) && b.asks[at].turn.Equal(w.turn) {
		at++
	}
	b.asks = slices.Insert(b.asks, at, w)
}

// HasWaiting reports whether asks wait.
func (b *Ledger) HasWaiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.asks) > 0
}

// DecideWaiting decides what it can of the asks that wait, in their order, and returns the answers.
//
// For the first of each shard that still wait the roomiest engines are kept. Without that, small streams take what frees up
// as it frees up, and a large prompt, which needs the room of two at one engine, is turned away.
func (b *Ledger) DecideWaiting(now time.Time) []Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.kept)
	var out []Answer
	b.asks = slices.DeleteFunc(b.asks, func(w *waiting) bool {
		if now.Sub(w.heard) > askLife {
			return true
		}
		answer, ok := b.decide(now, w.shard, &w.PlaceRequest)
		switch {
		case ok:
			out = append(out, answer)
		default:
			b.keep(w.shard)
		}
		return ok
	})
	return out
}

// drop forgets an ask that waits.
func (b *Ledger) drop(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks = slices.DeleteFunc(b.asks, func(w *waiting) bool { return w.Key == k })
}

// waitingFor is how many tokens of engine memory the asks want that wait for a shard.
func (b *Ledger) waitingFor(shard string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, w := range b.asks {
		if w.shard.Key == shard {
			sum += w.Stream.Need.Tokens
		}
	}
	return sum
}

// waitingNow lists the asks that wait, with their shards.
func (b *Ledger) waitingNow() []waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]waiting, len(b.asks))
	for i, w := range b.asks {
		out[i] = *w
	}
	return out
}

// Knows reports whether an ask has been decided here or waits here.
func (b *Ledger) Knows(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, done := b.done[k]
	return done || slices.ContainsFunc(b.asks, func(w *waiting) bool { return w.Key == k })
}

// keepPer is how many engines of a shard there are for each that is kept: more serve large prompts sooner and others later.
const keepPer = 16

// keep keeps the roomiest engine that is left for a stream that waits, if its shard may have one more kept.
func (b *Ledger) keep(s *Shard) {
	kept := b.kept[s.Key]
	if len(kept) >= max(1, len(s.Engines())/keepPer) {
		return
	}
	id := b.fleet.EngineWithMostFree(s.Engines(), kept)
	if id == "" {
		return
	}
	if kept == nil {
		kept = make(map[string]bool)
		b.kept[s.Key] = kept
	}
	kept[id] = true
}
