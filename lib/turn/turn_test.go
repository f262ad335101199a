package turn

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Three instances have streams waiting when one engine gets room. Each must come to the same order, so that one of them
// takes it: the urgent one, although it came last, then the one that came first.
func TestInstancesAgreeOnTheOrder(t *testing.T) {
	a, b := Entry{ID: 1, Priority: 1, Since: at(0)}, Entry{ID: 2, Priority: 1, Since: at(10)}
	urgent := Entry{ID: 3, Priority: 0, Since: at(20)}
	entries := []Entry{a, b, urgent}
	want := map[uint64]int{3: 0, 1: 1, 2: 2}
	for i, own := range entries {
		q := New()
		q.Enter(own)
		for j, e := range entries {
			if j != i {
				q.Tell(at(30), string(rune('a'+j)), []Entry{e})
			}
		}
		must.Eq(t, want[own.ID], q.Ahead(at(30), own))
	}
}

// What was placed is no longer ahead: its instance says so, or falls silent.
func TestPlacedAndSilentStreamsLeaveTheOrder(t *testing.T) {
	q := New()
	me := Entry{ID: 9, Priority: 1, Since: at(50)}
	leave := q.Enter(Entry{ID: 1, Priority: 1, Since: at(0)})
	q.Tell(at(60), "b", []Entry{{ID: 2, Priority: 1, Since: at(10)}})
	q.Tell(at(60), "c", []Entry{{ID: 3, Priority: 1, Since: at(20)}})
	must.Eq(t, 3, q.Ahead(at(60), me))
	leave()
	q.Tell(at(70), "b", nil)
	must.Eq(t, 1, q.Ahead(at(70), me))
	must.Eq(t, 0, q.Ahead(at(61).Add(life), me))
}

// Room that frees up goes to the urgent first; once they have it, or have stopped waiting, the others take their turn.
func TestUrgentStreamsTakeRoomFirst(t *testing.T) {
	q := New()
	long, short := Entry{ID: 1, Priority: 1, Since: at(0)}, Entry{ID: 2, Priority: 0, Since: at(5)}
	leaveLong := q.Enter(long)
	must.Eq(t, 0, q.Ahead(at(5), long))
	leaveShort := q.Enter(short)
	must.Eq(t, 1, q.Ahead(at(5), long))
	must.Eq(t, 0, q.Ahead(at(5), short))
	leaveShort()
	must.Eq(t, 0, q.Ahead(at(5), long))
	leaveLong()
	must.Eq(t, 0, q.Ahead(at(5), Entry{ID: 3, Priority: 9, Since: at(9)}))
}
