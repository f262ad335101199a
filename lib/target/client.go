// Package target is the HTTP client for targets: model engines (lib/engineapi) and plain services.
//
// It classifies each failure by what it proves: that nothing was sent, that the target refused the request without
// running any of it, or neither.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/retry"
)

const (
	controlTimeout = 2 * time.Second // cancel, load and cache calls
	maxControlBody = 4 << 20
	maxErrorBody   = 16 << 10
)

// Errors that classify a failure by what it proves.
var (
	ErrNotSent   = errors.New("nothing was sent to the target")
	ErrTruncated = errors.New("the stream ended without its end mark")
	ErrBroken    = errors.New("the connection to the target broke")
)

// RefusedError is a response in which the target refuses a request.
type RefusedError struct {
	Status     int
	Err        engineapi.Error
	RetryAfter time.Duration // 0: not given
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("target answered %d %s: %s", e.Status, e.Err.Type, e.Err.Message)
}

// Clients holds the transports and connections that all Client values of a process share.
type Clients struct {
	// Memory grants the buffers for large events; nil: there is no limit. It must be set before the first call.
	Memory *membudget.Budget

	singleUse *http.Client
	pooled    *http.Client
}

// NewClients returns the shared clients; a process needs only one.
func NewClients() *Clients { return NewClientsWithDial(dialer.DialContext) }

// NewClientsWithDial returns shared clients that open their connections with dial, such as in-memory ones.
func NewClientsWithDial(dial Dial) *Clients {
	return &Clients{
		singleUse: &http.Client{Transport: newSingleUseTransport(dial), CheckRedirect: noRedirect},
		pooled:    &http.Client{Transport: newPooledTransport(dial), CheckRedirect: noRedirect},
	}
}

// noRedirect returns redirects to the caller: following one would send a second request.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Clients) Close() { c.pooled.CloseIdleConnections() }

// Client sends requests to one target.
type Client struct {
	name    string
	addr    string
	base    string
	clients *Clients
}

// Client returns a client for the named target at addr (IP:port).
func (c *Clients) Client(name, addr string) *Client {
	return &Client{name: name, addr: addr, base: "http://" + addr, clients: c}
}

// Name returns the target's name.
func (c *Client) Name() string { return c.name }

// Addr returns the target's address.
func (c *Client) Addr() string { return c.addr }

// Load requests an engine's load report.
func (c *Client) Load(ctx context.Context) (*engineapi.LoadReport, error) {
	rep := new(engineapi.LoadReport)
	return rep, c.get(ctx, engineapi.PathLoad, rep)
}

// ServiceLoad requests a plain service's load report.
func (c *Client) ServiceLoad(ctx context.Context) (*engineapi.ServiceLoad, error) {
	rep := new(engineapi.ServiceLoad)
	return rep, c.get(ctx, engineapi.PathServiceLoad, rep)
}

type cacheQuery struct {
	After    uint64 `url:"after,omitempty"`
	Snapshot int    `url:"snapshot,omitempty"`
}

// CacheEvents requests the cache events after a sequence number, or a snapshot.
func (c *Client) CacheEvents(ctx context.Context, after uint64, snapshot bool) (*engineapi.CacheEvents, error) {
	q := cacheQuery{After: after}
	if snapshot {
		q = cacheQuery{Snapshot: 1}
	}
	evs := new(engineapi.CacheEvents)
	return evs, c.do(ctx, sling.New().Base(c.base).Get(engineapi.PathCacheEvents).QueryStruct(q), evs)
}

type cancelQuery struct {
	Attempt uint32 `url:"attempt"`
}

// Cancel stops the generation's attempts up to attempt, and makes the engine refuse them from then on.
func (c *Client) Cancel(ctx context.Context, g ids.Generation, attempt uint32) (*engineapi.CancelResult, error) {
	res := new(engineapi.CancelResult)
	path := engineapi.PathGenerations + g.String()
	return res, c.do(ctx, sling.New().Base(c.base).Delete(path).QueryStruct(cancelQuery{attempt}), res)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.do(ctx, sling.New().Base(c.base).Get(path), into)
}

func (c *Client) do(ctx context.Context, s *sling.Sling, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := c.clients.pooled.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("%s of %s: %w", req.URL.Path, c.name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	body, err := httpresp.ReadAll(resp.Body, maxControlBody)
	if err != nil {
		return fmt.Errorf("%s of %s: %w: %w", req.URL.Path, c.name, ErrBroken, err)
	}
	return json.Unmarshal(body, into)
}

// readRefusal returns the RefusedError of a response, or ErrBroken if it is broken off. A body that is not an engineapi.Error proves nothing, so NotRun stays
// false.
func readRefusal(resp *http.Response) error {
	e := &RefusedError{Status: resp.StatusCode}
	body, err := httpresp.ReadAll(resp.Body, maxErrorBody)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if json.Unmarshal(body, &e.Err) != nil || e.Err.Type == "" {
		var wrapped struct{ Error engineapi.Error }
		if json.Unmarshal(body, &wrapped) == nil {
			e.Err = wrapped.Error
		}
	}
	e.RetryAfter = retry.ParseRetryAfter(resp.Header, time.Now())
	return e
}

// opaqueBody hides that a body can be read again, so that net/http never resends it.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

func newOnceBody(b []byte) io.ReadCloser { return opaqueBody{bytes.NewReader(b)} }
