package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// responseHopHeaders are the headers of a target's response that concern only its connection with the gateway.
var responseHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// refuse answers a call with the gateway's own status, without a body.
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
	if ref.unread == nil {
		w.WriteHeader(ref.status)
		return
	}
	// The connection can carry no further request. Without full duplex, net/http would read on before it sends the response.
	h.Set("Connection", "close")
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.WriteHeader(ref.status)
	drain(w, ref.unread)
}

// unavailable returns a 503 for a request that no target has executed. Retry-After is at most a third of the caller's
// remaining time, because callers do not honour a longer one.
func (c *call) unavailable(reason string) refusal {
	after := retryAfterPlain
	if c.engine != nil {
		after = retryAfterStream
	}
	return refusal{status: http.StatusServiceUnavailable, after: c.boundWait(after), reason: reason}
}

// noTargetRefusal returns the refusal for a call that no target accepts and none has executed, with the reason.
func (g *Gateway) noTargetRefusal(c *call) refusal {
	avail := g.Fleet.Availability(time.Now(), fleet.Need{Service: c.service, Regions: g.regions(c), Software: c.software.ID})
	g.Log.NoTarget(c.entry(), avail)
	switch {
	case avail.Blocked() && avail.Limited > 0:
		// Without jitter, callers refused together would retry together and compete for a single permit.
		after := avail.RetryAfter + rand.N(retryAfterPlain)
		return refusal{status: http.StatusServiceUnavailable, after: c.boundWait(after), reason: "targets_limited"}
	case avail.Blocked():
		return refusal{status: http.StatusServiceUnavailable, after: c.boundWait(avail.RetryAfter), reason: "targets_resting"}
	case avail.Accepting > 0 && avail.Cold == avail.Accepting:
		return c.unavailable("targets_cold")
	case avail.Accepting > 0:
		return c.unavailable("no_target")
	case avail.Evacuated > 0:
		return c.unavailable("evacuated")
	case avail.OutOfRegion > 0:
		return c.unavailable("out_of_region")
	case avail.OtherSoftware > 0 && c.unlisted:
		return c.unavailable("no_software")
	case avail.OtherSoftware > 0:
		// Without Retry-After: nothing says that a target of the version will ever be back.
		return refusal{status: http.StatusServiceUnavailable, reason: "no_software"}
	}
	return c.unavailable("no_target")
}

// boundWait limits a Retry-After to what the caller will honour.
func (c *call) boundWait(after time.Duration) time.Duration {
	return max(min(after, time.Duration(float64(time.Until(c.deadline))*maxWaitShare)), time.Millisecond)
}

// maxWaitShare is the share of the caller's remaining time that Retry-After may take. Callers honour up to a third.
const maxWaitShare = 0.31

// copyHead copies the headers of a target's response, except those of its connection.
func (g *Gateway) copyHead(w http.ResponseWriter, from http.Header) {
	h := w.Header()
	for name, values := range from {
		h[name] = values
	}
	for _, name := range responseHopHeaders {
		h.Del(name)
	}
	if g.stopping() {
		h.Set("Connection", "close")
	}
}

// verdict classifies a response by its head.
type verdict uint8

const (
	verdictGood    verdict = iota
	verdictFailure         // the target failed, possibly in the middle of executing the request
	verdictNotRun          // the target proves that it did not execute the request
	verdictFaulty          // a response that must not be forwarded
)

// classify judges the head of a response to a request of this gateway.
func (g *Gateway) classify(r *wirehttp.Response) verdict {
	h := r.Header
	if r.Status == http.StatusMisdirectedRequest {
		return verdictNotRun
	}
	if h.Get(g.Names.NotRun) != "" {
		return verdictNotRun
	}
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		// These statuses promise the caller that nothing was executed, and this target does not state that.
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
