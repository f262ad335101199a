// Package era tracks the era of a store's history. A store that is restored from a backup loses the writes acknowledged since the
// backup, begins a new era, and assigns versions again; its responses carry the era as a number that increases with each restore.
package era

import (
	"strconv"
	"sync/atomic"
)

// Tracker records the highest era seen in a store's responses. The zero value has seen none.
type Tracker struct{ highest atomic.Int64 }

// Observe records the era of a response, as sent, and returns it. A response without a valid era counts as of the highest era seen: it
// is then ordered by its version and begins no era. A lower era is returned as it is: the response is outdated.
func (s *Tracker) Observe(sent string) int64 {
	era, err := strconv.ParseInt(sent, 10, 64)
	if err != nil || era <= 0 {
		return s.Highest()
	}
	for seen := s.Highest(); era > seen && !s.highest.CompareAndSwap(seen, era); seen = s.Highest() {
	}
	return era
}

// Highest returns the highest era seen; 0 before the first.
func (s *Tracker) Highest() int64 { return s.highest.Load() }
