package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

func (o *paceOwners) ScheduleReport()                     {}
func (o *paceOwners) RecordOutcome(string, fleet.Outcome) {}
func (o *paceOwners) RecordPrefill(owner.PrefillSample)   {}

// streamEvents answers one request with an event after each of the pauses.
func streamEvents(conn net.Conn, pauses []time.Duration) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nLoad: 1,0,8,150\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	_, _ = fmt.Fprintf(conn, head, req.Header.Get("Id"))
	for i, d := range pauses {
		time.Sleep(d)
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// runStream runs r on an engine that sends events after the given pauses.
func runStream(t *testing.T, r *run, engine string, pauses []time.Duration) {
	t.Helper()
	r.g.Pool = wirehttp.NewPool(func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go streamEvents(server, pauses)
		return client, nil
	})
	e, x := r.runOn(t.Context(), placement{target: fleet.Info{ID: engine, Service: "s"}})
	must.NoError(t, x.err)
	must.Eq(t, endComplete, e)
}

// The paces that owners receive must be those of the engine's own events: the time from the last event of one engine to the first of the
// next, at which a moved run continues, belongs to neither.
func TestRelayRecordsPaceOfEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms = time.Millisecond
		g := newTestGateway()
		owners := new(paceOwners)
		g.Owners = owners
		w := httptest.NewRecorder()
		c := &call{
			id: "x", method: "POST", target: "/", service: "s", route: &routes.Route{Name: "r"}, header: http.Header{"Id": {"x"}},
			arrived: time.Now(), limit: time.Now().Add(time.Minute),
		}
		r := &run{g: g, c: c, w: w, rc: http.NewResponseController(w)}
		runStream(t, r, "a", []time.Duration{100 * ms, 30 * ms, 30 * ms, 90 * ms, 30 * ms})
		r.lastID = ""
		runStream(t, r, "b", []time.Duration{700 * ms, 20 * ms, 20 * ms, 20 * ms})
		got := make(map[string]owner.Pace)
		for _, p := range owners.paces {
			m := got[p.Target]
			if p.Shortest > 0 && (m.Shortest == 0 || p.Shortest < m.Shortest) {
				m.Shortest = p.Shortest
			}
			m.Longest, m.Slowdown = max(m.Longest, p.Longest), max(m.Slowdown, p.Slowdown)
			got[p.Target] = m
		}
		must.Eq(t, map[string]owner.Pace{
			"a": {Shortest: 30 * ms, Longest: 90 * ms, Slowdown: 1.5},
			"b": {Shortest: 20 * ms, Longest: 20 * ms, Slowdown: 1.5},
		}, got)
	})
}
