package control

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/lease"
)

// Shares of the site's reads that the polls of all instances together may use. With the tenth used by lib/settingsync they
// add up to three tenths; the rest is for power, claims and operators.
const (
	drainShare    = 0.1
	instanceShare = 0.05
	leaseShare    = 0.05 // of processes waiting for a lease
	leaseCount    = 3    // power, placement, claims
)

// firstRetryDelay is the delay after a failed first read. It doubles up to the interval.
const firstRetryDelay = 100 * time.Millisecond

// sharedInterval returns the interval between an instance's polls, at least base, that keeps live instances together within
// their share of readsPerSec.
func sharedInterval(base time.Duration, live int, readsPerSec, share float64) time.Duration {
	if readsPerSec <= 0 {
		return base
	}
	seconds := float64(live) / (readsPerSec * share)
	return max(base, time.Duration(seconds*float64(time.Second)))
}

// sitePollInterval returns sharedInterval for the current number of instances and read budget of the site. Before settings
// are known it uses the initial budget of the store's client: polls would otherwise leave no reads for fetching settings.
func (p *Process) sitePollInterval(base time.Duration, share float64) time.Duration {
	reads := p.opts.Platform.ReadsPerSec
	if snap := p.Snapshot(); snap != nil {
		reads = snap.Site.StoreReadsPerSec
	}
	return sharedInterval(base, p.state.live(), reads, share)
}

// leaseConfig returns the configuration for acquiring a lease.
func (p *Process) leaseConfig(name string) lease.Config {
	return lease.Config{
		Name:         name,
		Holder:       p.opts.Instance,
		TTL:          p.opts.LeaseTTL,
		PollInterval: func() time.Duration { return p.sitePollInterval(0, leaseShare/leaseCount) },
	}
}

// poll calls read immediately and then once per interval until ctx is done. Until the first read succeeds it retries
// sooner: an instance that starts during a short outage would otherwise know no member and no drain for a whole interval.
func poll(ctx context.Context, interval func() time.Duration, read func(context.Context) error) {
	retry := firstRetryDelay
	for succeeded := false; ; {
		succeeded = read(ctx) == nil || succeeded
		wait := interval()
		if !succeeded {
			wait = min(retry, wait)
			retry = 2 * wait
		}
		if !ctxtime.Sleep(ctx, withJitter(wait)) {
			return
		}
	}
}

// withJitter shortens d by up to a quarter, so that instances started together don't poll in lockstep.
func withJitter(d time.Duration) time.Duration { return d - rand.N(d/4+1) }
