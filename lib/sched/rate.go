package sched

import (
	"math"
	"time"
)

// rate measures events a second over about rateWindow.
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

// perSecond returns the rate at now.
func (r *rate) perSecond(now Time) float64 {
	dt := max(now.Sub(r.last), 0)
	return r.value * math.Exp(-dt.Seconds()/rateWindow.Seconds())
}

// drain measures how fast a queue is served while more waits in it. Grants to a queue that is empty otherwise say
// nothing about how fast it could be served.
type drain struct {
	interval   float64 // mean seconds between two grants
	since      Time    // last grant
	backlogged bool    // the queue has not been empty since
	grants     int     // measured
}

// minDrainGrants is how many grants have to be measured before an estimate is made.
const minDrainGrants = 8

// granted notes a grant that left so many in the queue.
func (d *drain) granted(now Time, left int) {
	if d.backlogged {
		d.grants++
		blendMean(&d.interval, now.Sub(d.since).Seconds())
	}
	d.since = now
	d.backlogged = left > 0
}

// seconds returns how long n requests take to be served, or 0 while nobody knows. A queue that has had no turn for a
// while waits for others' turns; that while counts once, not for each request.
func (d *drain) seconds(now Time, n int) float64 {
	if d.grants < minDrainGrants {
		return 0
	}
	wait := float64(n) * d.interval
	if d.backlogged {
		wait += now.Sub(d.since).Seconds()
	}
	return wait
}

// blendMean moves mean towards v; the first value is taken as it is.
func blendMean(mean *float64, v float64) {
	const weight = 0.05
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += weight * (v - *mean)
}

// endRing remembers generations that left a target lately, so that an old report can be compared with what ran then.
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

// at returns how many of the remembered generations were on the target at t, and what they held.
func (r *endRing) at(t Time) (n, held int) {
	for i := range r.items {
		e := &r.items[i]
		if e.granted <= t && t < e.ended {
			n++
			held += e.held
		}
	}
	return n, held
}
