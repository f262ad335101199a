package enginerate

import (
	"slices"
	"time"
)

// sweep drops what was not observed for long and computes the medians, at most once in sweepInterval.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	var buf []float64
	for name, s := range t.services {
		for id, g := range s.targets {
			if now.Sub(g.seen) > targetTTL {
				delete(s.targets, id)
			}
		}
		if len(s.targets) == 0 && now.Sub(s.seen) > serviceTTL {
			delete(t.services, name)
			continue
		}
		buf = s.computeMedian(buf[:0])
	}
}

// computeMedian sets the median of the event times of the service's targets; without targets it stays. It returns buf for reuse.
func (s *service) computeMedian(buf []float64) []float64 {
	for _, g := range s.targets {
		if g.event.known() {
			buf = append(buf, g.event.ns)
		}
	}
	if len(buf) > 0 {
		slices.Sort(buf)
		s.event = time.Duration(buf[len(buf)/2])
	}
	return buf
}

// Own returns the number of targets with an event time of their own.
func (t *Table) Own() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services {
		for _, g := range s.targets {
			if g.event.known() {
				n++
			}
		}
	}
	return n
}

const (
	// changeFactor is the factor by which an event time must have changed to be returned by Changes.
	changeFactor = 1.5
	// changeInterval is the shortest time between two changes of one target that Changes returns.
	changeInterval = 5 * time.Second
)

// Change is a target whose event time has changed a lot.
type Change struct {
	Service, Target string
	Previous        time.Duration // event time when the change before was returned
	Rate            Rate
}

// Changes returns the targets whose event time has changed by half or more since it was last returned for them, or since it was first
// known.
func (t *Table) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for name, s := range t.services {
		for id, g := range s.targets {
			if !g.event.known() {
				continue
			}
			if g.noted == 0 {
				g.noted, g.notedAt = g.event.ns, now
			}
			ratio := g.event.ns / g.noted
			if ratio < changeFactor && ratio > 1/changeFactor || now.Sub(g.notedAt) < changeInterval {
				continue
			}
			out = append(out, Change{Service: name, Target: id, Previous: time.Duration(g.noted), Rate: Rate{
				EventTime: g.event.value(), PrefillTime: g.prefill.value(), Slowdown: g.slowdownAt(now), Own: true,
			}})
			g.noted, g.notedAt = g.event.ns, now
		}
	}
	return out
}
