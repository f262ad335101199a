package sched

import (
	"math"
	"time"
)

// rate measures events per second, averaged over about rateWindow.
type rate struct {
	value float64
	last  Time
	seen  bool
}

const rateWindow = 20 * time.Second

// add counts one event.
func (r *rate) add(now Time) {
	if !r.seen {
		r.seen = true
		r.last = now
	}
	r.decay(now)
	r.value += 1 / rateWindow.Seconds()
}

func (r *rate) decay(now Time) {
	dt := now.Sub(r.last)
	if dt <= 0 {
		return
	}
	r.value *= math.Exp(-dt.Seconds() / rateWindow.Seconds())
	r.last = now
}

// perSecond returns the rate, decayed to now.
func (r *rate) perSecond(now Time) float64 {
	dt := max(now.Sub(r.last), 0)
	return r.value * math.Exp(-dt.Seconds()/rateWindow.Seconds())
}

// drain measures how fast a queue is served while it is backlogged. Grants to a queue that is empty otherwise give no
// information about how fast it could be served.
type drain struct {
	interval   float64 // mean seconds between two grants
	lastGrant  Time    // last grant
	backlogged bool    // the queue has not been empty since
	grants     int     // measured grants
}

// minDrainGrants is the number of measured grants required for an estimate.
const minDrainGrants = 8

// recordGrant records a grant after which left requests remain in the queue.
func (d *drain) recordGrant(now Time, left int) {
	if d.backlogged {
		d.grants++
		updateMean(&d.interval, now.Sub(d.lastGrant).Seconds())
	}
	d.lastGrant = now
	d.backlogged = left > 0
}

// waitSeconds returns the expected time to serve n requests, or 0 without an estimate. A queue that was not served for a while
// waits for the turns of others; that time is added once, not for each request.
func (d *drain) waitSeconds(now Time, n int) float64 {
	if d.grants < minDrainGrants {
		return 0
	}
	wait := float64(n) * d.interval
	if d.backlogged {
		wait += now.Sub(d.lastGrant).Seconds()
	}
	return wait
}

// updateMean updates an exponentially weighted mean with v; the first value initializes it.
func updateMean(mean *float64, v float64) {
	const weight = 0.05
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += weight * (v - *mean)
}

// endRing keeps the generations that left a target recently, so that a delayed report can be compared with what ran then.
type endRing struct {
	items [64]endItem
	next  int
}

type endItem struct {
	granted, ended Time
	held           int
}

func (r *endRing) add(e endItem) {
	r.items[r.next] = e
	r.next = (r.next + 1) % len(r.items)
}

// activeAt returns the number of recorded generations that were on the target at t, and the tokens that they held.
func (r *endRing) activeAt(t Time) (n, held int) {
	for i := range r.items {
		e := &r.items[i]
		if e.granted <= t && t < e.ended {
			n++
			held += e.held
		}
	}
	return n, held
}
