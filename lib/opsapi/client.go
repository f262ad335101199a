package opsapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/httpresp"
)

const (
	clientTimeout = 3 * time.Second // of one request to a process
	maxReply      = 64 << 20        // bytes of a reply
)

// Client queries one process.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the process whose operator port is addr (IP:port).
func NewClient(addr, token string) *Client {
	s := sling.New().Base("http://" + addr)
	if token != "" {
		s = s.Set("Authorization", "Bearer "+token)
	}
	return &Client{base: s, http: &http.Client{Timeout: clientTimeout, Transport: httpresp.DefaultClient.Transport}}
}

// Status returns the process's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var st Status
	err := c.do(ctx, c.base.New().Get(PathStatus), &st)
	return st, err
}

// Targets returns the targets that the process knows.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	var ts []Target
	err := c.do(ctx, c.base.New().Get(PathTargets), &ts)
	return ts, err
}

// Queues returns the process's queues.
func (c *Client) Queues(ctx context.Context) ([]Queue, error) {
	var qs []Queue
	err := c.do(ctx, c.base.New().Get(PathQueues), &qs)
	return qs, err
}

// Drain starts or ends a drain of a target.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainReply, error) {
	var rep DrainReply
	err := c.do(ctx, c.base.New().Post(PathDrain).BodyJSON(r), &rep)
	return rep, err
}

func (c *Client) do(ctx context.Context, s *sling.Sling, into any) error {
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := httpresp.ReadAll(resp.Body, maxReply)
	if err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err)
	}
	if resp.StatusCode != http.StatusOK {
		var refusal ErrorReply
		_ = json.Unmarshal(body, &refusal) // the status is enough
		return fmt.Errorf("%s %s: %s: %s", req.Method, req.URL.Path, resp.Status, refusal.Error)
	}
	return json.Unmarshal(body, into)
}
