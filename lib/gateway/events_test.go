package gateway

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
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
