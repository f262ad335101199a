package gateway

import (
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/stopping"
)

// endsTooLate reports whether a call must not be sent to a target any more, because this instance ends before the answer. It is asked right
// before each send: a call may have waited since it was accepted.
func (g *Gateway) endsTooLate(c *call) bool {
	s := g.stop.Load()
	return s != nil && !s.Allows(time.Now(), g.callTime(c))
}

// stoppingRefusal is the answer to a call that this instance has no time for and that no target has executed.
func (c *call) stoppingRefusal() refusal {
	return refusal{status: http.StatusServiceUnavailable, after: c.boundWait(retryAfterStopping), reason: "stopping"}
}

func (c *call) kind() stopping.Kind { return stopping.Kind{Service: c.service, Route: c.route.Name} }

// hintMargin is the factor by which an output may exceed its estimate: callers' hints are often too low by half.
const hintMargin = 2

// callTime returns what is known of how long a call takes.
func (g *Gateway) callTime(c *call) stopping.Call {
	t := stopping.Call{Limit: c.limit}
	if c.route.Kind != routes.Stream {
		t.Likely = g.times.ExpectAnswer(c.kind())
		t.Longest = t.Likely
		return t
	}
	t.Resumable, t.First = c.route.MayRepeat(), g.times.ExpectFirst(c.kind())
	if c.engine == nil {
		t.Likely = g.times.ExpectAnswer(c.kind())
		t.Longest = t.Likely
		return t
	}
	likely, longest := hintMargin*c.output, hintMargin*c.output
	if c.maxOutput > 0 {
		likely, longest = min(likely, c.maxOutput), c.maxOutput
	}
	t.Likely = g.times.ExpectStream(c.kind(), likely)
	t.Longest = g.times.ExpectStream(c.kind(), longest)
	return t
}
