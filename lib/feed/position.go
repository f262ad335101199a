package feed

import (
	"cmp"
	"fmt"
)

// Position is a place in the store's history. A store that comes back from a copy begins a new era and gives versions out again,
// so a version alone names no state.
type Position struct {
	Era     int64 // 0: the store tells none
	Version int64
}

// Compare orders positions by era, then by version.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }
