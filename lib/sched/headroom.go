package sched

import "math"

// headroom is the capacity that non-urgent work leaves free on each target, so that an urgent request can start at once
// without preempting another generation.
type headroom struct {
	running int     // urgent generations running now
	free    float64 // urgent generations to keep capacity for, over all targets
	slots   int     // batch slots on each target
	tokens  float64 // KV memory on each target
}

// Estimates for urgent work until some of it has ended.
const (
	initialResidence = 3.0 // seconds
	initialOutput    = 100.0
)

// sizeHeadroom sizes the headroom from the urgent arrival rate. Little's law gives the mean number of concurrent urgent
// generations; UrgentSigmas standard deviations of a Poisson count are added and those already running subtracted.
func (o *Owner) sizeHeadroom(now Time) {
	o.headroom.free = 0
	o.headroom.slots = 0
	o.headroom.tokens = 0
	if o.opt.DisableHeadroom || o.usable == 0 {
		return
	}
	var concurrent, size float64
	for i := range o.groups {
		gr := &o.groups[i]
		if !gr.policy.Urgent {
			continue
		}
		n := gr.arrivals.perSecond(now) * positiveOr(gr.residence, initialResidence)
		concurrent += n
		size += n * (gr.prompt + positiveOr(gr.output, initialOutput))
	}
	if concurrent <= 0 {
		return
	}
	free := concurrent + o.opt.UrgentSigmas*math.Sqrt(concurrent) - float64(o.headroom.running)
	if free <= 0 {
		return
	}
	o.headroom.free = free
	each := free / float64(o.usable)
	o.headroom.slots = int(math.Ceil(each))
	o.headroom.tokens = each * size / concurrent
}

func positiveOr(v, other float64) float64 {
	if v > 0 {
		return v
	}
	return other
}
