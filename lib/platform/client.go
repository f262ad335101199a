// Package platform is the client of the platform's table, object store, instance list and weight store.
//
// A write has one of three outcomes, which the caller can distinguish: answered (err is nil, and TxnResult.Committed reports
// whether its conditions held); NotCommitted or Refused (nothing was written or will be); Unknown. A lost answer is
// resolved by the transaction's operation id before Unknown is returned.
//
// Revisions are ordered across the eras of the table (platformapi.OrderedRev), so that any two can be compared. Transactions with
// conditions of an earlier era are not sent: see StaleEra.
//
// Reads and writes each have a token bucket whose rate is this client's share of the site's budget. A call that the budget or
// the open breaker delays too long fails at once with a retry time: callers must never wait for a store that is
// down.
package platform

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"anvilwick.example/anvilwick/lib/era"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/membudget"
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

// Fractions of an instance's share for Config.Share, which add up to one. Separate shares keep the leases of the control
// process from waiting behind the claims of the entry.
const (
	ShareEntry   = 0.6
	ShareControl = 0.4
)

const (
	maxResponse = 16 << 20
	// downRetryAfter is the retry time given to callers while the store is down: long compared with the breaker's probe
	// interval, short compared with how long users wait.
	downRetryAfter = 2 * time.Second
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	Addr          string            // IP:port of the platform
	Transport     http.RoundTripper // default: a transport of its own
	WritesPerSec  float64           // whole site
	ReadsPerSec   float64           // whole site
	Share         float64           // part of an instance's share that this process may use; default 1
	Live          int               // live instances at the start; see SetLive; default 1
	Timeout       time.Duration     // of one exchange
	SettleTimeout time.Duration     // total time to resolve a write whose answer was lost
	BudgetWait    time.Duration     // longest wait for a token of the budget
	BreakerAfter  int               // consecutive failures that open the breaker
	BreakerOpen   time.Duration     // time until a probe; short, so that a burst of lost answers costs no lease
	GroupLinger   time.Duration     // how long the first transaction of a group waits for others
	GroupMembers  int               // maximum number of transactions in a group
	Memory        *membudget.Budget // for answers; nil: there is no limit
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
		c.Transport = httpresp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})
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

// Client is safe for concurrent use. It has no goroutines while it is idle.
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

// SetLive divides the site's budgets among n live instances.
func (c *Client) SetLive(n int) { c.budget.setLive(n) }

// SetSite sets the site's budgets of writes and reads per second.
func (c *Client) SetSite(writesPerSec, readsPerSec float64) {
	c.budget.setSite(writesPerSec, readsPerSec)
}

// Up reports whether the breaker is closed. This is only a hint: the next call may fail.
func (c *Client) Up() bool { return c.breaker.State() == gobreaker.StateClosed }

type response struct {
	status     int
	era        uint64 // of the table
	retryAfter time.Duration
	body       []byte
}

// admit takes a token for one exchange. While the breaker is open it fails at once, since the token could not be used.
func (c *Client) admit(ctx context.Context, u purpose, l *rate.Limiter) *exchangeError {
	if c.breaker.State() == gobreaker.StateOpen {
		return &exchangeError{fate: fateNotSent, retryAfter: downRetryAfter, cause: gobreaker.ErrOpenState}
	}
	return c.budget.take(ctx, u, l)
}

// exchange sends one request through the breaker and reads the whole response.
func (c *Client) exchange(ctx context.Context, u purpose, req *sling.Sling) (response, *exchangeError) {
	start := time.Now()
	res, err := c.throughBreaker(ctx, req)
	u.count(start, err)
	return res, err
}

func (c *Client) throughBreaker(ctx context.Context, req *sling.Sling) (response, *exchangeError) {
	res, err := c.breaker.Execute(func() (response, error) { return c.roundTrip(ctx, req) })
	switch {
	case errors.Is(err, gobreaker.ErrOpenState), errors.Is(err, gobreaker.ErrTooManyRequests):
		return res, &exchangeError{fate: fateNotSent, retryAfter: downRetryAfter, cause: err}
	case err != nil && res.status == http.StatusServiceUnavailable:
		return res, &exchangeError{fate: fateLost, retryAfter: downRetryAfter, cause: err}
	case err != nil:
		return res, &exchangeError{fate: transportFate(err), retryAfter: downRetryAfter, cause: err}
	}
	return res, statusFate(res)
}

// statusFate classifies a response by its status. 429 proves that the platform rejected the request without processing it. Other
// server-side failures prove nothing: a proxy in front of the table may give up on a write that still takes effect.
func statusFate(res response) *exchangeError {
	switch {
	case res.status < 300, res.status == http.StatusNotFound:
		return nil
	case res.status == http.StatusTooManyRequests:
		return &exchangeError{fate: fateNotSent, retryAfter: res.retryAfter, cause: errors.New("over the platform's limit")}
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
	body, err := c.cfg.Memory.ReadAll(res.Body, res.ContentLength, maxResponse)
	if err != nil {
		return response{}, err
	}
	out := response{status: res.StatusCode, era: c.eraOf(res.Header), retryAfter: parseRetryAfter(res.Header), body: body}
	if res.StatusCode >= 500 {
		return out, errors.New(strconv.Itoa(res.StatusCode) + " " + string(bytes.TrimSpace(body)))
	}
	return out, nil
}

// eraOf returns the era of the table in which a response was given.
func (c *Client) eraOf(h http.Header) uint64 {
	return max(platformapi.FirstEra, uint64(c.eras.Observe(h.Get(platformapi.HeaderEra))))
}

func parseRetryAfter(h http.Header) time.Duration {
	sec, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(sec) * time.Second
}
