package settingsync

import (
	"fmt"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

// Types of error.
var (
	// Absent: the table has no such revision, or no longer.
	Absent = namespace.NewType("absent")
	// Malformed: an item of the table can't be read.
	Malformed = namespace.NewType("malformed")
	// Unchanged: the text is the one that is committed already.
	Unchanged = namespace.NewType("unchanged")
	// Unknown: the commit's outcome could not be settled; the operation id tells it later.
	Unknown = namespace.NewType("unknown")
)

// Conflict tells an operator that others committed since the revision that the change was made from. Nothing was
// written.
type Conflict struct {
	Base    uint64
	Head    uint64
	Between []Record // revisions after Base in ascending order, without bodies; the newest few when there are many
}

// Error names the newest change that came between.
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
