package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Room that frees up goes to the urgent first; once they have it, or have stopped waiting, the others take their turn.
func TestUrgentStreamsTakeRoomFirst(t *testing.T) {
	var w waiting
	leaveLong := w.enter(1)
	must.False(t, w.before(1))
	leaveShort := w.enter(0)
	must.True(t, w.before(1))
	must.False(t, w.before(0))
	leaveShort()
	must.False(t, w.before(1))
	leaveLong()
	must.False(t, w.before(9))
}
