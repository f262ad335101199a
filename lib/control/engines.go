package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/settings"
)

// engines polls the reports of managed engines and sends them orders, for the holder of the placement lease. The reports of
// entries are not sufficient, because an entry only follows the shards that it owns.
type engines struct {
	http   *http.Client
	memory *membudget.Budget

	mu   sync.Mutex
	last map[string]engineReport
}

type engineReport struct {
	engineapi.LoadReport
	asOf time.Time // when the reported state was measured, on this process's clock
}

const (
	engineTimeout      = 2 * time.Second
	maxConcurrentReads = 16      // reports read concurrently
	maxEngineAnswer    = 4 << 20 // bytes
	discardedAnswer    = 4 << 10 // bytes of an answer that is not used, so that its connection can be
)

func newEngines(rt http.RoundTripper, memory *membudget.Budget) *engines {
	return &engines{http: &http.Client{Transport: rt}, memory: memory, last: map[string]engineReport{}}
}

// poll reads every target's report once. A target that does not answer keeps its previous report, which becomes stale.
func (e *engines) poll(ctx context.Context, targets []settings.Target) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	for _, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			e.read(ctx, t)
		})
	}
	wg.Wait()
}

func (e *engines) read(ctx context.Context, t settings.Target) {
	var rep engineapi.LoadReport
	requestedAt := time.Now()
	if err := e.send(ctx, sling.New().Base("http://"+t.Addr).Get(engineapi.PathLoad), &rep); err != nil {
		return
	}
	// Dated from before the request was sent: a report must never look newer than the state it describes.
	at := requestedAt.Add(-time.Duration(rep.AgeMS) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last[t.Name] = engineReport{rep, at}
}

func (e *engines) report(target string) (engineReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.last[target]
	return r, ok
}

// order sends one order. An error does not tell whether it was executed; the engine's report shows that.
func (e *engines) order(ctx context.Context, addr string, o engineapi.Order) error {
	return e.send(ctx, sling.New().Base("http://"+addr).Post(engineapi.PathOrders).BodyJSON(o), nil)
}

func (e *engines) send(ctx context.Context, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := e.http.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	failed := resp.StatusCode >= http.StatusMultipleChoices
	if failed || result == nil {
		_, err = io.CopyN(io.Discard, resp.Body, discardedAnswer)
	}
	switch {
	case failed:
		return fmt.Errorf("%s %s: %s", req.Method, req.URL.Path, resp.Status)
	case err != nil && err != io.EOF: // broken off: it acknowledges nothing
		return fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err)
	case result == nil:
		return nil
	}
	body, err := e.memory.ReadAll(resp.Body, resp.ContentLength, maxEngineAnswer)
	if err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err)
	}
	return json.Unmarshal(body, result)
}
