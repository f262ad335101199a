package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/settings"
)

// engines reads reports of managed engines and gives them orders, for the holder of the placement lease. The entries'
// own reports won't do: each entry follows only the shards that it owns.
type engines struct {
	http *http.Client

	mu   sync.Mutex
	last map[string]engineReport
}

type engineReport struct {
	engineapi.LoadReport
	at time.Time // the moment that it describes, on this process's clock
}

const (
	engineTimeout = 2 * time.Second
	enginesAtOnce = 16 // reports read at once
)

func newEngines(rt http.RoundTripper) *engines {
	return &engines{http: &http.Client{Transport: rt}, last: map[string]engineReport{}}
}

// poll reads every target's report once; one that does not answer keeps its old one, which grows stale.
func (e *engines) poll(ctx context.Context, targets []settings.Target) {
	var wg sync.WaitGroup
	places := make(chan struct{}, enginesAtOnce)
	for _, t := range targets {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			e.read(ctx, t)
		})
	}
	wg.Wait()
}

func (e *engines) read(ctx context.Context, t settings.Target) {
	var rep engineapi.LoadReport
	asked := time.Now()
	if err := e.do(ctx, sling.New().Base("http://"+t.Addr).Get(engineapi.PathLoad), &rep); err != nil {
		return
	}
	// Dated from before the question: a report must never look younger than what it describes.
	at := asked.Add(-time.Duration(rep.AgeMS) * time.Millisecond)
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

// order gives one order. An error doesn't tell whether it was obeyed; the engine's report will.
func (e *engines) order(ctx context.Context, addr string, o engineapi.Order) error {
	return e.do(ctx, sling.New().Base("http://"+addr).Post(engineapi.PathOrders).BodyJSON(o), nil)
}

func (e *engines) do(ctx context.Context, s *sling.Sling, into any) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := s.Client(e.http).Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s", req.Method, req.URL.Path, resp.Status)
	}
	return nil
}
