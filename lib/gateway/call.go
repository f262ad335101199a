package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// call is one attempt of a caller.
type call struct {
	id        string
	route     *routes.Route
	service   string
	engine    *routes.Engine // nil for a plain service
	workspace string
	priority  int
	method    string
	target    string // request target as it came
	host      string
	header    http.Header // as it goes to targets, without what differs from send to send
	body      []byte
	arrived   time.Time
	deadline  time.Time // the caller waits no longer
	limit     time.Time // the answer is due: the deadline or the route's limit
	prompt    int       // tokens of the prompt
	output    int       // expected tokens of the output
	lastEvent string    // the last event that the caller had when it asked

	contentHash uint64          // names what the call asks
	sends       int             // targets that the call was sent to
	mayHaveRun  bool            // a target may have run it
	tried       map[string]bool // targets not to choose again
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	after  time.Duration // for Retry-After; 0: none
	reason string
}

// Waits told to callers whose request has not run.
const (
	// retryAfterPlain suits short requests: a budget of a second leaves a third of it for the wait.
	retryAfterPlain = 150 * time.Millisecond
	// retryAfterStream suits generations, whose targets are replaced within some seconds.
	retryAfterStream = 900 * time.Millisecond
	// retryAfterStopping is for requests that any other instance can serve now: this one stops.
	retryAfterStopping = 20 * time.Millisecond
	// retryAfterUnready is for requests that arrive before the instance knows its settings: the store is away, for seconds.
	retryAfterUnready = 2500 * time.Millisecond
)

// defaultDeadline holds for a request that names none on a route without a limit.
const defaultDeadline = 60 * time.Second

// requestHopHeaders are about one connection, or set anew for each send.
var requestHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authorization", "Proxy-Authenticate",
}

// accept reads a request and finds its route and workspace. The call is returned with a refusal, too, for the log.
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
	if t.Keyed && !c.route.Public {
		holder := t.Holder(r.Header.Get(g.Names.Key))
		if holder == nil {
			return c, &refusal{status: http.StatusUnauthorized, reason: "no_key"}
		}
		c.workspace = holder.Name
		if holder.Priority != nil {
			c.priority = *holder.Priority
		}
	}
	if ref := g.readBody(w, r, c, t.Limits.BodyBytes); ref != nil {
		return c, ref
	}
	c.service = c.route.Choose(rand.Float64())
	c.engine = t.Service(c.service).Engine
	g.readHeaders(r, c)
	return c, g.checkPoison(c)
}

// readBody reads the whole body: a request is sent only once it has arrived whole, with its length stated.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limit int64) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	b, err := io.ReadAll(body)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_long"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body_cut"}
	}
	c.body = b
	return nil
}

func (g *Gateway) readHeaders(r *http.Request, c *call) {
	c.deadline = c.arrived.Add(g.callerTimeout(r))
	c.limit = c.deadline
	if t := c.route.Timeout; t > 0 && c.arrived.Add(t).Before(c.limit) {
		c.limit = c.arrived.Add(t)
	}
	c.prompt, c.output = g.tokens(r.Header)
	c.lastEvent = r.Header.Get(g.Names.LastEvent)
	c.header = g.forwardHeaders(r.Header, c)
	c.tried = make(map[string]bool)
}

// callerTimeout is how long the caller waits.
func (g *Gateway) callerTimeout(r *http.Request) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(g.Names.Deadline), 64); err == nil && ms >= 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return defaultDeadline
}

// tokens returns the prompt's size and a guess of the output's: the caller's own guess, else half of the largest.
func (g *Gateway) tokens(h http.Header) (prompt, output int) {
	in, most, _ := strings.Cut(h.Get(g.Names.Tokens), ",")
	prompt = atoi(in)
	output = atoi(most) / 2
	if hint := atoi(h.Get(g.Names.Hint)); hint > 0 {
		output = hint
		if n := atoi(most); n > 0 {
			output = min(output, n) // callers' guesses are often far off
		}
	}
	return prompt, output
}

// atoi reads a number that a caller may have got wrong; what can't be read counts as 0, which only makes the choice of
// a target worse.
func atoi(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forwardHeaders copies the headers that go on to targets.
func (g *Gateway) forwardHeaders(h http.Header, c *call) http.Header {
	out := h.Clone()
	for name := range strings.SplitSeq(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range requestHopHeaders {
		out.Del(name)
	}
	for _, name := range g.Names.Reserved {
		out.Del(name)
	}
	out.Del(g.Names.Key)
	if c.workspace != "" {
		out.Set(g.Names.Workspace, c.workspace)
	}
	if c.engine != nil {
		out.Set(g.Names.Urgency, strconv.Itoa(urgency))
	}
	return out
}

// urgency is the rank of every run in its engine's queue. An engine stops running runs for a more urgent one: their prompts are read
// again and their callers see a pause, which costs more than the urgent one gains.
const urgency = 3

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// regions are those that the call is bound to by the settings in force now: an answer may take longer than a change of them may
// take to be in force, and what is sent for it afterwards must keep to the change. nil: none.
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

// timeLeft is the time that a target has for the call. A target works no longer than the caller waits.
func (c *call) timeLeft(now time.Time) time.Duration { return c.limit.Sub(now) }

// request builds what goes to one target.
func (g *Gateway) request(c *call, target string, now time.Time) *wirehttp.Request {
	h := c.header.Clone()
	h.Set(g.Names.Expect, target)
	h.Set(g.Names.Deadline, strconv.FormatInt(max(1, c.timeLeft(now).Milliseconds()), 10))
	return &wirehttp.Request{Method: c.method, Target: c.target, Host: c.host, Header: h, Body: c.body}
}

// mayRepeat reports whether the call can be sent to one more target after one may have run it.
func (g *Gateway) mayRepeat(c *call) bool {
	return c.route.MayRepeat() && c.sends < c.route.MaxAttempts && g.Budget.Take(time.Now(), c.service)
}

// maySendAgain is mayRepeat for a call that no target has run.
func (g *Gateway) maySendAgain(c *call) bool {
	return c.sends < c.route.MaxAttempts && g.Budget.Take(time.Now(), c.service)
}
