package gateway

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/membudget"
)

// However a stream is split into reads, all events come out complete and in order, and no partial event does.
func TestEventsSplitAcrossReadsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nl := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var all strings.Builder
		n := rapid.IntRange(1, 20).Draw(t, "events")
		for range n {
			all.WriteString("id: 7" + nl + "data: x" + nl + nl)
		}
		text := all.String() + "id: 8" + nl + "da"
		var e eventBuffer
		got, count := "", 0
		for rest := text; rest != ""; {
			k := rapid.IntRange(1, len(rest)).Draw(t, "read")
			whole, c, id, err := e.add([]byte(rest[:k]))
			must.NoError(t, err)
			if c > 0 {
				must.Eq(t, "7", id)
			}
			got += string(whole)
			count += c
			rest = rest[k:]
		}
		must.Eq(t, all.String(), got)
		must.Eq(t, n, count)
		must.True(t, e.incomplete())
	})
}

func TestEventIDs(t *testing.T) {
	var e eventBuffer
	_, n, id, err := e.add([]byte("weight: 3\nid:4\ndata: a\n\ndata: no id\n\n"))
	must.NoError(t, err)
	must.Eq(t, 2, n)
	must.Eq(t, "4", id)
	must.False(t, e.incomplete())
}

// A target that never terminates an event must not exhaust the gateway's memory.
func TestEndlessEventIsAnError(t *testing.T) {
	var e eventBuffer
	_, _, _, err := e.add(make([]byte, eventLimit+1))
	must.ErrorIs(t, err, errEventTooLong)
}

// Guards against targets that begin large events on many streams, each within its limit: together they exceed the memory.
func TestEventWithoutMemoryIsAnError(t *testing.T) {
	const limit = 100 << 20
	e := eventBuffer{memory: membudget.NewOf(limit, fullMemory{limit})} // room for small buffers
	_, _, _, err := e.add(make([]byte, 32<<10))
	must.NoError(t, err)
	for range 3 {
		if _, _, _, err = e.add(make([]byte, 32<<10)); err != nil {
			break
		}
	}
	must.ErrorIs(t, err, errEventNoMemory)
}

// Guards against streams that keep the buffer of one large event to their end.
func TestBufferOfLargeEventIsNotKept(t *testing.T) {
	var e eventBuffer
	event := "data: " + strings.Repeat("x", 500<<10) + "\n\n"
	whole, n, _, err := e.add([]byte(event + "id: 2"))
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.True(t, string(whole) == event)
	must.LessEq(t, keptEventBuffer, cap(e.buf))
	whole, n, id, err := e.add([]byte("\ndata: b\n\n"))
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.Eq(t, "2", id)
	must.Eq(t, "id: 2\ndata: b\n\n", string(whole))
}

// A target repeats events that the caller has. Only those are dropped; ids that are not numeric define no order, so nothing is
// dropped for them.
func TestSeenEventsAreDropped(t *testing.T) {
	events := "id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata: c\n\n"
	for _, c := range []struct {
		last, rest string
		dropped    int
	}{
		{"", events, 0}, {"3", events, 0}, {"4", events[len(events)/3:], 1}, {"6", "", 3}, {"9", "", 3}, {"x-5", events, 0},
	} {
		rest, dropped := dropSeen([]byte(events), c.last)
		must.Eq(t, c.rest, string(rest), must.Sprint(c.last))
		must.Eq(t, c.dropped, dropped, must.Sprint(c.last))
	}
	rest, dropped := dropSeen([]byte("id: a4\ndata: a\n\n"), "4")
	must.Eq(t, "id: a4\ndata: a\n\n", string(rest))
	must.Eq(t, 0, dropped)
}
