// Package era keeps which history a store is in. A store that comes back from a copy loses what it had acknowledged since, begins a new
// era, and gives its versions out again; its answers tell the era by a number that rises.
package era

import (
	"strconv"
	"sync/atomic"
)

// Tracker is the highest era that answers of a store have told. The zero value has seen none.
type Tracker struct{ highest atomic.Int64 }

// Observe returns the era of an answer, by what the answer tells. One that tells none, or nothing that can be read, counts as of the highest
// told before: it is ordered by its version then, and begins no era. A lower one is told as it is, and is out of date.
func (s *Tracker) Observe(told string) int64 {
	era, err := strconv.ParseInt(told, 10, 64)
	if err != nil || era <= 0 {
		return s.Highest()
	}
	for seen := s.Highest(); era > seen && !s.highest.CompareAndSwap(seen, era); seen = s.Highest() {
	}
	return era
}

// Highest returns the highest era told; 0 before the first.
func (s *Tracker) Highest() int64 { return s.highest.Load() }
