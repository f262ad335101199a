package fleet

import (
	"math"
	"time"
)

// Limit is how many requests a second a target takes from all instances together, by its own word. The zero Limit is none.
type Limit struct {
	On        bool
	PerSecond float64
}

// Valid reports whether a limit can be kept to.
func (l Limit) Valid() bool {
	return !l.On || l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 1)
}

// limitWord is the newest word of a target's limit.
type limitWord struct {
	Limit
	heard time.Time // when the answer with it came
}

// newer reports whether an answer says something newer than w. asked is when its request was sent, so the answer was made after that.
//
// Answers on different connections overtake each other: of two that may have been made in any order the stricter one holds, until
// the answer to a request that was sent after both.
func (w *limitWord) newer(l Limit, asked time.Time) bool {
	if asked.After(w.heard) {
		return true
	}
	return l.On && (!w.On || l.PerSecond < w.PerSecond)
}

// TakeLimit takes in what an answer says of its target's limit, to a request that was sent at asked. It reports whether that changes
// what is known.
func (f *Fleet) TakeLimit(now time.Time, id string, l Limit, asked time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || !l.Valid() || !t.limit.newer(l, asked) {
		return false
	}
	changed := l != t.limit.Limit
	t.limit = limitWord{Limit: l, heard: now}
	return changed
}
