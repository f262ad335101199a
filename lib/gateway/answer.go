package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// perAnswerHeaders of a target concern its connection with us.
var perAnswerHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// refuse answers on the gateway's own behalf.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, ref refusal) {
	g.Log.Refused(c.entry(), ref.status, ref.reason, ref.after)
	c.count(metricRefuse, "reason", ref.reason)
	h := w.Header()
	if c.id != "" {
		h.Set(g.Names.RequestID, c.id)
	}
	if ref.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ref.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(ref.status)
}

// again is a refusal of a request that no target has run and none will. The wait is at most a third of what the caller
// has left: a longer one would not be kept to.
func (c *call) again(reason string) refusal {
	after := againPlain
	if c.engine != nil {
		after = againStream
	}
	return refusal{status: http.StatusServiceUnavailable, after: c.wait(after), reason: reason}
}

// unplaced is the refusal of a call that no target takes and none has run, with the reason why there is none.
func (g *Gateway) unplaced(c *call) refusal {
	stand := g.Fleet.Availability(time.Now(), fleet.Need{Service: c.service, Regions: g.regions(c)})
	g.Log.Unplaced(c.entry(), stand)
	switch {
	case stand.Blocked() && stand.Limited > 0:
		// Callers that are refused together and told the same time would find one permit between them.
		after := stand.RetryAfter + rand.N(againPlain)
		return refusal{status: http.StatusServiceUnavailable, after: c.wait(after), reason: "targets_limited"}
	case stand.Blocked():
		return refusal{status: http.StatusServiceUnavailable, after: c.wait(stand.RetryAfter), reason: "targets_resting"}
	case stand.Accepting > 0 && stand.Cold == stand.Accepting:
		return c.again("targets_cold")
	case stand.Accepting > 0:
		return c.again("no_target")
	case stand.Evacuated > 0:
		return c.again("evacuated")
	case stand.OutOfRegion > 0:
		return c.again("out_of_region")
	}
	return c.again("no_target")
}

// wait bounds a wait to what the caller keeps to.
func (c *call) wait(after time.Duration) time.Duration {
	return max(min(after, time.Duration(float64(time.Until(c.deadline))*waitPart)), time.Millisecond)
}

// waitPart of a caller's time is the longest wait told: callers keep to a third.
const waitPart = 0.31

// copyHead sets the headers of a target's answer.
func (g *Gateway) copyHead(w http.ResponseWriter, from http.Header) {
	h := w.Header()
	for name, values := range from {
		h[name] = values
	}
	for _, name := range perAnswerHeaders {
		h.Del(name)
	}
	if g.stopping() {
		h.Set("Connection", "close")
	}
}

// verdict is what an answer's head says.
type verdict uint8

const (
	verdictGood    verdict = iota
	verdictFailure         // the target's own failure, which it may have run into midway
	verdictNotRun          // the target proves that it did not run the request
	verdictFaulty          // not an answer that can be passed on
)

// judge reads the head of an answer to this very request.
func (g *Gateway) judge(r *wirehttp.Response) verdict {
	h := r.Header
	if r.Status == http.StatusMisdirectedRequest {
		return verdictNotRun
	}
	if h.Get(g.Names.NotRun) != "" {
		return verdictNotRun
	}
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		// These promise the caller that nothing ran, and this target does not say so.
		return verdictFaulty
	}
	if r.Status >= 500 {
		return verdictFailure
	}
	if h.Get("Content-Encoding") != "" {
		return verdictFaulty
	}
	if r.Status < 300 && h.Get(g.Names.Seal) == "" {
		return verdictFaulty
	}
	return verdictGood
}

// readLoad passes on the load that an answer tells.
func (g *Gateway) readLoad(id string, h http.Header) {
	parts := strings.SplitN(h.Get(g.Names.Load), ",", 3)
	if len(parts) < 2 {
		return
	}
	g.Fleet.SetReportedLoad(time.Now(), id, atoi(parts[0]), atoi(parts[1]))
}
