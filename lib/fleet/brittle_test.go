package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A brittle target rejects a request: it gets a limit far below the rejections it bears, which grows while nothing is rejected and ends.
func TestRoomLimitBeginsGrowsAndEnds(t *testing.T) {
	b := Brittle{On: true, MaxRejected: 8}
	start := time.Now()
	l, ok := b.RoomLimit(start, start, LimitNotice{}, Limit{}, true)
	must.True(t, ok)
	must.Eq(t, Limit{On: true, PerSecond: 2}, l)
	now := start
	for l.On {
		current := LimitNotice{Limit: l, RequestedAt: now, ReceivedAt: now}
		_, ok = b.RoomLimit(now.Add(roomGrowthInterval/2), now, current, Limit{}, false)
		must.False(t, ok) // too soon
		now = now.Add(roomGrowthInterval)
		next, ok := b.RoomLimit(now, now, current, Limit{}, false)
		must.True(t, ok)
		if next.On {
			must.Greater(t, l.PerSecond, next.PerSecond)
		}
		l = next
	}
	must.Less(t, 8*time.Second, now.Sub(start))
}

// A request is rejected under a limit: the limit falls, but only once for all requests that were sent before it fell.
func TestRoomLimitFallsOncePerCongestion(t *testing.T) {
	b := Brittle{On: true, MaxRejected: 8}
	now := time.Now()
	current := LimitNotice{Limit: Limit{On: true, PerSecond: 40}, ReceivedAt: now}
	_, ok := b.RoomLimit(now.Add(time.Millisecond), now.Add(-time.Millisecond), current, Limit{}, true)
	must.False(t, ok)
	l, ok := b.RoomLimit(now.Add(2*time.Millisecond), now.Add(time.Millisecond), current, Limit{}, true)
	must.True(t, ok)
	must.Eq(t, rejectedAgain*40, l.PerSecond)
	current.PerSecond = 0
	l, _ = b.RoomLimit(now.Add(2*time.Millisecond), now.Add(time.Millisecond), current, Limit{}, true)
	must.Eq(t, 0.5, l.PerSecond)
}

// A limit that the target announces itself holds as well; the lower one applies.
func TestAnnouncedLimitHoldsForBrittleTarget(t *testing.T) {
	b := Brittle{On: true, MaxRejected: 8}
	now := time.Now()
	l, ok := b.RoomLimit(now, now, LimitNotice{}, Limit{On: true, PerSecond: 1}, true)
	must.True(t, ok)
	must.Eq(t, 1.0, l.PerSecond)
	l, ok = b.RoomLimit(now, now, LimitNotice{}, Limit{On: true, PerSecond: 30}, false)
	must.True(t, ok)
	must.Eq(t, Limit{On: true, PerSecond: 30}, l)
}

// Guards against numbers that make no sense, which targets may name.
func TestBrittleNumbers(t *testing.T) {
	for n, valid := range map[float64]bool{0: true, 3: true, 0.5: true, -1: false, 1e9: false, math.Inf(1): false} {
		must.Eq(t, valid, Brittle{MaxRejected: n}.Valid(), must.Sprint(n))
	}
	must.False(t, Brittle{MaxRejected: math.NaN()}.Valid())
}

// While a target is brittle, an instance holds only its share of what the target can take; the change is reported once.
func TestInstanceHoldsItsShareOfBrittleTarget(t *testing.T) {
	f := New("z")
	now := time.Now()
	f.Apply(now, []Info{{ID: "t", Service: "s", Slots: 6}}, nil, 0)
	f.SetShare(1.0 / 4)
	must.True(t, f.MarkBrittle("t", Brittle{On: true, MaxRejected: 3}))
	must.False(t, f.MarkBrittle("t", Brittle{On: true, MaxRejected: 4}))
	for range 3 {
		_, ok := f.Acquire(now, Need{Service: "s"})
		must.True(t, ok)
	}
	_, ok := f.Acquire(now, Need{Service: "s"})
	must.False(t, ok)
	must.True(t, f.MarkBrittle("t", Brittle{}))
	_, ok = f.Acquire(now, Need{Service: "s"})
	must.True(t, ok)
	must.True(t, f.FirstInvalidBrittle("t"))
	must.False(t, f.FirstInvalidBrittle("t"))
}
