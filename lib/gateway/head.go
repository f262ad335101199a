package gateway

import (
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/callerconn"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// requestHopHeaders concern a single connection, or are set for each send.
var requestHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authorization", "Proxy-Authenticate",
}

// urgency is the queue rank of every run on its engine. An engine preempts running requests for a more urgent one: their
// prompts are read again and their callers see a pause, which costs more than the urgent one gains.
const urgency = 3

// omittedHeaders returns the names of the headers of callers that are never forwarded.
func omittedHeaders(n Names) map[string]bool {
	out := make(map[string]bool)
	for _, names := range [][]string{requestHopHeaders, n.Reserved, {n.Key, n.Expect, n.Deadline}} {
		for _, name := range names {
			out[http.CanonicalHeaderKey(name)] = true
		}
	}
	return out
}

// omitted returns the names of the headers in h that are not forwarded.
func (g *Gateway) omitted(h http.Header) map[string]bool {
	if len(h["Connection"]) == 0 {
		return g.omit
	}
	out := maps.Clone(g.omit)
	for name := range strings.SplitSeq(h.Get("Connection"), ",") {
		out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	return out
}

// request builds the request to one target.
func (g *Gateway) request(c *call, target string, now time.Time) *wirehttp.Request {
	req := &wirehttp.Request{Method: c.method, Target: c.target, Host: c.host, Header: c.header, Omit: c.omit, Body: c.body}
	if c.workspace != "" {
		req.Replace(g.Names.Workspace, c.workspace)
	}
	if c.engine != nil {
		req.Replace(g.Names.Urgency, strconv.Itoa(urgency))
	}
	req.Replace(g.Names.Expect, target)
	req.Replace(g.Names.Deadline, strconv.FormatInt(max(1, c.timeLeft(now).Milliseconds()), 10))
	return req
}

const (
	// smallHead is the size, in bytes, of the largest head whose copies need no memory of note.
	smallHead = 4 << 10
	// headCopies is how often a head's bytes are held at most while it is sent to a target, besides what the caller's connection holds.
	headCopies = 2
)

// admitHead refuses a call that the instance has no memory to forward a large head for. What the head itself takes was admitted as it
// arrived. body is the call's unread body.
func (c *call) admitHead(body io.Reader) *refusal {
	size := len(c.target) + callerconn.HeaderBytes(c.header)
	if size <= smallHead || c.memory.Admit(headCopies*int64(size)) {
		return nil
	}
	if body == http.NoBody {
		body = nil
	}
	return c.noMemory(body)
}

// noMemory returns the refusal of a call that the instance has no memory for. unread is its body; nil: none.
func (c *call) noMemory(unread io.Reader) *refusal {
	after := c.boundWait(retryAfterMemory + rand.N(retryAfterMemory))
	return &refusal{status: http.StatusServiceUnavailable, after: after, reason: "no_memory", unread: unread}
}
