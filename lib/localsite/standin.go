package localsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
	"anvilwick.example/anvilwick/lib/standin/platform"
)

const (
	standinTimeout = 5 * time.Second
	maxAnswer      = 64 << 20 // bytes of a stand-in's answer
)

// Stats queries an engine stand-in for its counters.
func Stats(ctx context.Context, n *Node) (engine.Stats, error) {
	var st engine.Stats
	err := query(ctx, sling.New().Base("http://"+n.Addr).Get(engine.PathStats), &st)
	return st, err
}

// Executions queries a plain service for the number of executions by id.
func Executions(ctx context.Context, n *Node) (map[string]int, error) {
	out := map[string]int{}
	err := query(ctx, sling.New().Base("http://"+n.Addr).Get(plain.PathExecutions), &out)
	return out, err
}

// EngineFault injects a fault into an engine.
func EngineFault(ctx context.Context, n *Node, f engine.Fault) error {
	return query(ctx, sling.New().Base("http://"+n.Addr).Post(engine.PathFault).BodyJSON(f), nil)
}

// PlainFault injects a fault into a plain service.
func PlainFault(ctx context.Context, n *Node, f plain.Fault) error {
	return query(ctx, sling.New().Base("http://"+n.Addr).Post(plain.PathFault).BodyJSON(f), nil)
}

// PlatformFault injects a fault into the platform.
func (s *Site) PlatformFault(ctx context.Context, f platform.Fault) error {
	return query(ctx, sling.New().Base("http://"+s.Platform.Addr).Post(platform.FaultPath).BodyJSON(f), nil)
}

// StreamingEngine returns the first running engine with a stream in progress, or nil.
func (s *Site) StreamingEngine(ctx context.Context) (*Node, error) {
	for _, n := range s.Engines {
		if !n.Running() {
			continue
		}
		st, err := Stats(ctx, n)
		if err != nil {
			return nil, err
		}
		if st.Streams > 0 {
			return n, nil
		}
	}
	return nil, nil
}

// Operator returns a client for the operator port of a process.
func Operator(n *Node) *opsapi.Client { return opsapi.NewClient(n.OpsAddr, OperatorToken) }

func query(ctx context.Context, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := httpresp.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := httpresp.ReadAll(resp.Body, maxAnswer)
	switch {
	case err != nil:
		return fmt.Errorf("%s %s: %w", req.Method, req.URL, err)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%s %s: %s", req.Method, req.URL, resp.Status)
	case result == nil || len(body) == 0:
		return nil
	}
	return json.Unmarshal(body, result)
}
