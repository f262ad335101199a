package gateway

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/rendezvous"
	"anvilwick.example/anvilwick/lib/routes"
)

// call is one request attempt of a caller.
type call struct {
	id        string
	route     *routes.Route
	service   string
	engine    *routes.Engine // nil for a plain service
	workspace string
	priority  int
	method    string
	target    string // request target as received
	host      string
	header    http.Header     // as received
	omit      map[string]bool // names of headers that are not forwarded
	body      []byte
	bodyRead  int64              // bytes of the body that have arrived
	memory    *membudget.Account // of a large head and the body
	begun     bool               // its caller has a part of the answer, or an engine keeps its memory
	arrived   time.Time
	deadline  time.Time // the caller's deadline
	limit     time.Time // the earlier of the deadline and the route's timeout
	prompt    int       // tokens of the prompt
	output    int       // expected tokens of the output
	maxOutput int       // most tokens of the output that the caller accepts; 0: unknown
	model     string
	segments  []uint64 // of the prompt, without the last
	lastEvent string   // id of the last event that the caller has
	resumes   string   // id of the attempt that brought the first event of the stream that the caller resumes

	software    fleet.Software  // that began the stream, and that alone may continue it; zero: none has
	unlisted    bool            // this instance has seen no target of that version, so that its list may be old
	contentHash uint64          // fingerprint of the request's content
	mayProbe    bool            // it was admitted although its segments are convicted, since a probe is due
	probe       bool            // it is that probe, which may run once
	sends       int             // number of targets that the call was sent to
	mayHaveRun  bool            // a target may have executed it
	tried       map[string]bool // targets excluded from the next choice
}

// refusal is a response of the gateway itself.
type refusal struct {
	status int
	after  time.Duration // for Retry-After; 0: none
	reason string
	unread io.Reader // body of the request, if it was rejected before it was read; nil otherwise
}

// Retry-After values for requests that no target has executed.
const (
	// retryAfterPlain suits short requests: a third of a one-second deadline is left for the wait.
	retryAfterPlain = 150 * time.Millisecond
	// retryAfterStream suits generations, whose targets are replaced within seconds.
	retryAfterStream = 900 * time.Millisecond
	// retryAfterStopping is for requests refused because this instance is stopping; any other can serve them now.
	retryAfterStopping = 20 * time.Millisecond
	// retryAfterUnready is for requests that arrive before the first settings: the store is unavailable, usually for seconds.
	retryAfterUnready = 2500 * time.Millisecond
)

// defaultDeadline applies to requests without a deadline on a route without a timeout.
const defaultDeadline = 60 * time.Second

// accept reads a request and resolves its route and workspace. The call is returned along with a refusal, for the log.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{id: r.Header.Get(g.Names.RequestID), method: r.Method, target: r.RequestURI, host: r.Host, arrived: time.Now()}
	t := g.table.Load()
	if t == nil {
		c.deadline = c.arrived.Add(g.callerTimeout(r))
		return c, &refusal{status: http.StatusServiceUnavailable, after: c.boundWait(retryAfterUnready), reason: "no_settings"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = t.Match(hostname(r.Host), path)
	if c.route == nil {
		return c, &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	c.priority = c.route.Priority
	if t.KeyRequired && !c.route.Public {
		holder := t.WorkspaceForKey(r.Header.Get(g.Names.Key))
		if holder == nil {
			return c, &refusal{status: http.StatusUnauthorized, reason: "no_key"}
		}
		c.workspace = holder.Name
		if holder.Priority != nil {
			c.priority = *holder.Priority
		}
	}
	c.service = c.route.PickService(rand.Float64())
	c.engine = t.Service(c.service).Engine
	g.readHeaders(r, c)
	if g.endsTooLate(c) { // the body would be read for nothing
		ref := c.stoppingRefusal()
		if r.Body != nil && r.Body != http.NoBody {
			ref.unread = r.Body
		}
		return c, &ref
	}
	c.memory = g.Memory.Account(c.workspace)
	if ref := c.admitHead(r.Body); ref != nil {
		return c, ref
	}
	if ref := g.readBody(w, r, c, t.Limits.BodyBytes); ref != nil {
		return c, ref
	}
	c.contentHash = c.fingerprint()
	if ref := g.admitSegments(c); ref != nil {
		return c, ref
	}
	return c, g.checkPoison(c)
}

// continues reports whether the call continues a stream. Such a stream is placed ahead of new ones, which have no engine to lose: only those of
// one software version accept it, and its caller has waited already.
func (c *call) continues() bool { return c.software.ID != 0 }

func (g *Gateway) readHeaders(r *http.Request, c *call) {
	c.deadline = c.arrived.Add(g.callerTimeout(r))
	c.limit = c.deadline
	if t := c.route.Timeout; t > 0 && c.arrived.Add(t).Before(c.limit) {
		c.limit = c.arrived.Add(t)
	}
	c.prompt, c.output, c.maxOutput = g.tokens(r.Header)
	c.model = r.Header.Get(g.Names.Model)
	c.segments = parseSegments(r.Header.Get(g.Names.Segments))
	c.lastEvent = r.Header.Get(g.Names.LastEvent)
	c.resumes = r.Header.Get(g.Names.Resumes)
	c.header, c.omit = r.Header, g.omitted(r.Header)
	c.tried = make(map[string]bool)
}

// callerTimeout returns how long the caller waits for the response.
func (g *Gateway) callerTimeout(r *http.Request) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(g.Names.Deadline), 64); err == nil && ms >= 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return defaultDeadline
}

// tokens returns the prompt's size, an estimate of the output's, which is the caller's hint or else half of the maximum, and that maximum.
func (g *Gateway) tokens(h http.Header) (prompt, output, maxOutput int) {
	in, most, _ := strings.Cut(h.Get(g.Names.Tokens), ",")
	prompt, maxOutput = atoi(in), atoi(most)
	output = maxOutput / 2
	if hint := atoi(h.Get(g.Names.Hint)); hint > 0 {
		output = hint
		if maxOutput > 0 {
			output = min(output, maxOutput) // callers' hints are often far off
		}
	}
	return prompt, output, maxOutput
}

// atoi parses a number sent by a caller or target. An invalid one counts as 0, which at worst leads to a poorer choice of
// target.
func atoi(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// regions returns the regions that the call is bound to by the settings now in force; nil means no restriction. A response
// may outlast the rollout of a settings change, and later sends for it must comply with the change.
func (g *Gateway) regions(c *call) []string {
	t := g.table.Load()
	if t == nil {
		return c.route.Regions
	}
	path, _, _ := strings.Cut(c.target, "?")
	route := t.Match(hostname(c.host), path)
	if route == nil {
		route = c.route
	}
	return t.Regions(route, c.workspace)
}

// timeLeft returns the time that a target has for the call; it ends when the caller stops waiting.
func (c *call) timeLeft(now time.Time) time.Duration { return c.limit.Sub(now) }

// workspaceHash identifies the call's workspace to owners; 0 if it has none.
func (c *call) workspaceHash() uint64 {
	if c.workspace == "" {
		return 0
	}
	return rendezvous.Hash(c.workspace)
}

// mayRepeat reports whether the call may be sent to one more target after an earlier one may have executed it.
func (g *Gateway) mayRepeat(c *call) bool {
	return c.route.MayRepeat() && c.sends < c.route.MaxAttempts && g.Budget.Take(time.Now(), c.service)
}

// maySendAgain is like mayRepeat, for a call that no target has executed.
func (g *Gateway) maySendAgain(c *call) bool {
	return c.sends < c.route.MaxAttempts && g.Budget.Take(time.Now(), c.service)
}
