package control

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/lease"
)

// Parts of the site's reads that the polls of all instances together may take. With the tenth of lib/settingsync they are
// three tenths; the rest is for power, claims and operators.
const (
	drainShare    = 0.1
	instanceShare = 0.05
	leaseShare    = 0.05 // of those who wait for a lease
	leaseCount    = 3    // power, placement, claims
)

// firstRetry is the wait after a first read that failed. It doubles up to the interval.
const firstRetry = 100 * time.Millisecond

// spread returns the time between an instance's polls, at least base, such that live instances together stay within
// their share of readsPerSec.
func spread(base time.Duration, live int, readsPerSec, share float64) time.Duration {
	if readsPerSec <= 0 {
		return base
	}
	seconds := float64(live) / (readsPerSec * share)
	return max(base, time.Duration(seconds*float64(time.Second)))
}

// pollEvery is spread over the instances and reads of the site as known now. Before there are settings it goes by the
// budget that the store's client starts with: polls would else leave no reads to get settings by.
func (p *Process) pollEvery(base time.Duration, share float64) time.Duration {
	reads := p.opts.Platform.ReadsPerSec
	if snap := p.Snapshot(); snap != nil {
		reads = snap.Site.StoreReadsPerSec
	}
	return spread(base, p.tables.live(), reads, share)
}

// leaseConfig names a lease that this process would hold.
func (p *Process) leaseConfig(name string) lease.Config {
	return lease.Config{
		Name:         name,
		Holder:       p.opts.Instance,
		TTL:          p.opts.LeaseTTL,
		PollInterval: func() time.Duration { return p.pollEvery(0, leaseShare/leaseCount) },
	}
}

// poll calls read at once and then once an interval until ctx is done. Until a first read has succeeded it tries again
// sooner: an instance that starts in a short outage would else know nobody and no drain for a whole interval.
func poll(ctx context.Context, interval func() time.Duration, read func(context.Context) error) {
	retry := firstRetry
	for known := false; ; {
		known = read(ctx) == nil || known
		wait := interval()
		if !known {
			wait = min(retry, wait)
			retry = 2 * wait
		}
		if !pause(ctx, jittered(wait)) {
			return
		}
	}
}

// jittered shortens d by up to a quarter, so that instances started together don't read together.
func jittered(d time.Duration) time.Duration { return d - rand.N(d/4+1) }

// pause waits d, or less when ctx ends; it reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
