package feed

import "fmt"

// Position is a place in the store's history. A store that comes back from a copy begins a new era and gives versions out again,
// so a version alone names no state.
type Position struct {
	Era     int64 // 0: the store tells none
	Version int64
}

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }
