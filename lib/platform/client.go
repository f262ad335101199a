// Package platform is the client of the platform's table, object store, instance list and weight store.
//
// A write ends in one of three ways, and the caller can tell which: answered (err nil, and TxnResult.Committed says
// whether its conditions held), NotCommitted or Refused (nothing was written and nothing will be), Unknown. Lost
// answers are settled inside by the transaction's operation id before Unknown is returned.
//
// Revisions are ordered over the eras of the table (platformapi.Order), so that one may be compared with another whenever it was
// read. Conditions of an era before are not sent: see OtherEra.
//
// Reads and writes take from a token bucket each, whose rate is this client's share of the site's budget. What the
// budget or the open breaker holds up is refused at once, with a time to come back: a caller must never wait for a
// store that is down.
package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"anvilwick.example/anvilwick/lib/era"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Defaults of Config.
const (
	DefaultWritesPerSec  = 300
	DefaultReadsPerSec   = 2000
	DefaultTimeout       = time.Second
	DefaultSettleTimeout = 5 * time.Second
	DefaultBudgetWait    = 500 * time.Millisecond
	DefaultBreakerAfter  = 5
	DefaultBreakerOpen   = 250 * time.Millisecond
	DefaultGroupLinger   = 2 * time.Millisecond
	DefaultGroupMembers  = 64
)

// Parts of an instance's share, for Config.Share: together they are the whole. Leases of the control process never
// wait behind claims of the entry.
const (
	ShareEntry   = 0.6
	ShareControl = 0.4
)

const (
	maxAnswer = 16 << 20
	// downRetryAfter is what callers are told while the store is down: long against the breaker's probes, short
	// against people's patience.
	downRetryAfter = 2 * time.Second
)

// Config names the platform and bounds its use. Zero values take the defaults.
type Config struct {
	Addr          string            // IP:port of the platform
	Transport     http.RoundTripper // default: a transport of its own
	WritesPerSec  float64           // whole site
	ReadsPerSec   float64           // whole site
	Share         float64           // part of an instance's share that this process may use; default 1
	Live          int               // live instances at the start; see SetLive; default 1
	Timeout       time.Duration     // of one exchange
	SettleTimeout time.Duration     // in all, to settle a write whose answer was lost
	BudgetWait    time.Duration     // longest wait for the budget
	BreakerAfter  int               // failures in a row that open the breaker
	BreakerOpen   time.Duration     // time before a probe; short, so that a spell of lost answers costs no lease
	GroupLinger   time.Duration     // how long the first of a group waits for others
	GroupMembers  int               // transactions in a group at most
}

func (c *Config) setDefaults() {
	orFloat(&c.WritesPerSec, DefaultWritesPerSec)
	orFloat(&c.ReadsPerSec, DefaultReadsPerSec)
	orFloat(&c.Share, 1)
	orInt(&c.Live, 1)
	orInt(&c.BreakerAfter, DefaultBreakerAfter)
	orInt(&c.GroupMembers, DefaultGroupMembers)
	orDuration(&c.Timeout, DefaultTimeout)
	orDuration(&c.SettleTimeout, DefaultSettleTimeout)
	orDuration(&c.BudgetWait, DefaultBudgetWait)
	orDuration(&c.BreakerOpen, DefaultBreakerOpen)
	orDuration(&c.GroupLinger, DefaultGroupLinger)
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	}
}

func orFloat(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}

func orInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func orDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// Client is safe for use by many goroutines. It keeps none running while it is idle.
type Client struct {
	cfg     Config
	http    *http.Client
	base    *sling.Sling
	breaker *gobreaker.CircuitBreaker[response]
	budget  *budget
	group   grouper
	eras    era.Tracker
}

// New returns a Client. It does not contact the platform.
func New(cfg Config) *Client {
	cfg.setDefaults()
	c := &Client{
		cfg:    cfg,
		http:   &http.Client{Transport: cfg.Transport},
		base:   sling.New().Base("http://" + cfg.Addr),
		budget: newBudget(cfg),
	}
	c.breaker = gobreaker.NewCircuitBreaker[response](gobreaker.Settings{
		Name:        "platform",
		Timeout:     cfg.BreakerOpen,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= uint32(cfg.BreakerAfter) },
		IsExcluded:  func(err error) bool { return errors.Is(err, context.Canceled) },
	})
	c.group.client = c
	return c
}

// SetLive shares the site's budgets over n live instances.
func (c *Client) SetLive(n int) { c.budget.setLive(n) }

// SetSite changes the site's budgets of writes and reads a second.
func (c *Client) SetSite(writesPerSec, readsPerSec float64) {
	c.budget.setSite(writesPerSec, readsPerSec)
}

// Up reports whether the breaker is closed. It is a hint: the next call may fail all the same.
func (c *Client) Up() bool { return c.breaker.State() == gobreaker.StateClosed }

type response struct {
	status int
	era    uint64 // of the table
	after  time.Duration
	body   []byte
}

// admit takes a token for one exchange. While the breaker is open nothing waits for a token that it could not use.
func (c *Client) admit(ctx context.Context, u use, l *rate.Limiter) *exchangeError {
	if c.breaker.State() == gobreaker.StateOpen {
		return &exchangeError{fate: fateNotSent, after: downRetryAfter, cause: gobreaker.ErrOpenState}
	}
	return c.budget.take(ctx, u, l)
}

// exchange sends one request and reads its whole answer, through the breaker.
func (c *Client) exchange(ctx context.Context, u use, req *sling.Sling) (response, *exchangeError) {
	start := time.Now()
	res, err := c.through(ctx, req)
	u.count(start, err)
	return res, err
}

func (c *Client) through(ctx context.Context, req *sling.Sling) (response, *exchangeError) {
	res, err := c.breaker.Execute(func() (response, error) { return c.roundTrip(ctx, req) })
	switch {
	case errors.Is(err, gobreaker.ErrOpenState), errors.Is(err, gobreaker.ErrTooManyRequests):
		return res, &exchangeError{fate: fateNotSent, after: downRetryAfter, cause: err}
	case err != nil && res.status == http.StatusServiceUnavailable:
		return res, &exchangeError{fate: fateLost, after: downRetryAfter, cause: err}
	case err != nil:
		return res, &exchangeError{fate: transportFate(err), after: downRetryAfter, cause: err}
	}
	return res, statusFate(res)
}

// statusFate judges an answer by its status. 429 proves that the platform turned the request away unread. Other
// failures on its side prove nothing: a proxy before the table may give up on a write that takes effect.
func statusFate(res response) *exchangeError {
	switch {
	case res.status < 300, res.status == http.StatusNotFound:
		return nil
	case res.status == http.StatusTooManyRequests:
		return &exchangeError{fate: fateNotSent, after: res.after, cause: errors.New("over the platform's limit")}
	}
	return &exchangeError{fate: fateRefused, cause: errors.New("status " + strconv.Itoa(res.status))}
}

func (c *Client) roundTrip(ctx context.Context, s *sling.Sling) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return response{}, err
	}
	res, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return response{}, err
	}
	out := response{status: res.StatusCode, era: c.eraOf(res.Header), after: parseAfter(res.Header), body: body}
	if res.StatusCode >= 500 {
		return out, errors.New(strconv.Itoa(res.StatusCode) + " " + string(bytes.TrimSpace(body)))
	}
	return out, nil
}

// eraOf returns the era of the table that an answer is of.
func (c *Client) eraOf(h http.Header) uint64 {
	return max(platformapi.FirstEra, uint64(c.eras.Observe(h.Get(platformapi.HeaderEra))))
}

func parseAfter(h http.Header) time.Duration {
	sec, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(sec) * time.Second
}
