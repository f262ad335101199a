package settingsync

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

// Error types.
var (
	// Absent: the table does not have the revision, or no longer has it.
	Absent = namespace.NewType("absent")
	// Malformed: an item of the table can't be decoded.
	Malformed = namespace.NewType("malformed")
	// Unchanged: the text equals the newest committed text.
	Unchanged = namespace.NewType("unchanged")
	// Unknown: the outcome of the commit could not be determined; it can be looked up later by operation ID.
	Unknown = namespace.NewType("unknown")
)

// Conflict reports that other revisions were committed since the one that the change was made from. Nothing was written.
type Conflict struct {
	Base    uint64
	Head    uint64
	Between []Record // revisions after Base in ascending order, without bodies; only the newest maxConflictRecords
}

// Error describes the newest of the conflicting revisions.
func (c *Conflict) Error() string {
	if c.Base > c.Head {
		return fmt.Sprintf("the change was made from revision %d, and the newest is %d", c.Base, c.Head)
	}
	msg := fmt.Sprintf("revision %d is no longer the newest, %d is", c.Base, c.Head)
	if len(c.Between) == 0 {
		return msg
	}
	last := c.Between[len(c.Between)-1]
	return fmt.Sprintf("%s, committed by %s at %s (%s)", msg, last.Operator, last.Time.Format("2006-01-02T15:04:05Z07:00"), last.Note)
}
