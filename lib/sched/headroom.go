package sched

import "math"

// headroom is what work that is not urgent leaves free on each target, so that an urgent request finds a place at
// once without a victim.
type headroom struct {
	running int     // urgent generations running now
	free    float64 // urgent generations that there must be room for, over all targets
	slots   int     // places in the batch of each target
	tokens  float64 // memory of each target
}

// Assumptions about urgent work before any was seen to end.
const (
	coldResidence = 3.0 // seconds
	coldOutput    = 100.0
)

// sizeHeadroom sizes the headroom from the urgent arrival rate: by Little's law it is the number of urgent
// generations at once, and some deviations of a Poisson count above it, less those that already run.
func (o *Owner) sizeHeadroom(now Time) {
	o.headroom.free = 0
	o.headroom.slots = 0
	o.headroom.tokens = 0
	if o.opt.DisableHeadroom || o.usable == 0 {
		return
	}
	var atOnce, size float64
	for i := range o.groups {
		gr := &o.groups[i]
		if !gr.policy.Urgent {
			continue
		}
		n := gr.arrivals.perSecond(now) * orElse(gr.residence, coldResidence)
		atOnce += n
		size += n * (gr.prompt + orElse(gr.output, coldOutput))
	}
	if atOnce <= 0 {
		return
	}
	free := atOnce + o.opt.UrgentSigmas*math.Sqrt(atOnce) - float64(o.headroom.running)
	if free <= 0 {
		return
	}
	o.headroom.free = free
	each := free / float64(o.usable)
	o.headroom.slots = int(math.Ceil(each))
	o.headroom.tokens = each * size / atOnce
}

func orElse(v, other float64) float64 {
	if v > 0 {
		return v
	}
	return other
}
