package feed

import (
	"cmp"
	"fmt"
)

// Position is a point in the store's history. A store restored from a backup begins a new era and assigns versions again, so a
// version alone does not identify a state.
type Position struct {
	Era     int64 // 0: nothing has been read
	Version int64
}

// FirstEra is the era of a store that was never restored from a backup. It is also assumed for sources that send no era: a store
// without eras, or an instance of a build that did not know them.
const FirstEra = 1

// PositionOf returns the position of a version in an era as received; an era of 0 means that none was sent.
func PositionOf(era, version int64) Position {
	return Position{Era: max(FirstEra, era), Version: version}
}

// Compare orders positions by era, then by version.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }
