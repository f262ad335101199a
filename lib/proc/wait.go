package proc

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// pollInterval is how often Until calls its condition. It is short, since test runs take tenths of a second.
const pollInterval = 10 * time.Millisecond

// Until calls cond until it returns nil. If ctx ends first, it returns the last error of cond.
func Until(ctx context.Context, what string, cond func(ctx context.Context) error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := cond(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waited for %s: %w", what, err)
		case <-tick.C:
		}
	}
}

// RespondsOK returns a condition for Until that is met once GET url returns status 200.
func RespondsOK(url string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := httpresp.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("GET %s: %s", url, resp.Status)
		}
		return nil
	}
}
