// Package replay plays load patterns in virtual time on a model of a site: instances that decide by the product's own code,
// engines of lib/enginemodel, and messages that take their time. It tells in seconds, without a site, what a change of a
// decision does at the worst load.
//
// The same seed brings the same streams under each policy, so that policies are compared in pairs. The model has no moves of
// runs, no store and no workspaces, and says nothing of those.
package replay

import "time"

// Pattern is a pattern of traffic and of what befalls engines and instances.
type Pattern struct {
	Engines, Instances  int
	Domains             int                            // failure domains, over which both are spread; 0: one
	LongRate, ShortRate float64                        // streams a second
	RateFactor          func(at time.Duration) float64 // factor on both; nil: 1
	ShortRateFactor     func(at time.Duration) float64 // factor on shorts alone; nil: 1
	LeaveEvery          time.Duration                  // a sixth of the engines leaves; 0: none does
	ReplaceAfter        time.Duration                  // as many come, empty
	LeaveByDomain       bool                           // those that leave together are of one failure domain
	HalfInstancesFailAt time.Duration                  // half of the instances end with what they serve; 0: none does
	OwnersFailAt        time.Duration                  // the first in rank for each shard ends with what it serves; 0: none does
	FaultyEngines       int                            // engines that fail half of what they are sent
	ShortTimeout        time.Duration                  // after which callers of shorts leave; 0: as those of longs
	Duration            time.Duration
}

// Saturated is the load that the decisions are for: a sixth of the engines leaves every 3.3 s and as many come back empty 6 s
// later, and for seconds at a time those that are there have less memory than streams ask for.
func Saturated() Pattern {
	return Pattern{
		Engines: 18, Instances: 24, LongRate: 13.6, ShortRate: 15.6,
		LeaveEvery: 3300 * time.Millisecond, ReplaceAfter: 6 * time.Second, Duration: 25 * time.Second,
	}
}

// SaturatedSite is Crowded on a site of some instances, with engines and streams in proportion.
func SaturatedSite(instances int) Pattern {
	l := Saturated().Resized(instances)
	l.Domains = 5
	return l
}

// Resized is the load on a site of some instances, with engines and streams in proportion.
func (l Pattern) Resized(instances int) Pattern {
	times := float64(instances) / float64(l.Instances)
	l.Engines = max(6, int(float64(l.Engines)*times))
	l.FaultyEngines = int(float64(l.FaultyEngines) * times)
	l.LongRate *= times
	l.ShortRate *= times
	l.Instances = instances
	return l
}

// Bursts is calm engines, and short streams that come three times as many for 3 s in each 10.
func Bursts() Pattern {
	l := Saturated()
	l.LeaveEvery = 0
	l.ShortRateFactor = func(at time.Duration) float64 {
		if at%(10*time.Second) < 3*time.Second {
			return 3
		}
		return 1
	}
	return l
}

// ShortTimeouts is Crowded with callers of short streams that leave after 6 s. They are told to come back within a third of
// what they have left.
func ShortTimeouts() Pattern {
	l := Saturated()
	l.ShortTimeout = 6 * time.Second
	return l
}

// ArrivalSpikes is all of two seconds' streams within 0.2 s.
func ArrivalSpikes() Pattern {
	l := Saturated()
	l.LeaveEvery, l.LongRate, l.ShortRate = 0, 12, 14
	l.RateFactor = func(at time.Duration) float64 {
		if at%(2*time.Second) < 200*time.Millisecond {
			return 10
		}
		return 0
	}
	return l
}

// HalfInstancesFail is half of the instances ending at once.
func HalfInstancesFail() Pattern {
	l := Saturated()
	l.LeaveEvery, l.LongRate, l.ShortRate = 0, 10, 12
	l.HalfInstancesFailAt = 8 * time.Second
	return l
}

// TransientOverload is traffic over what the engines carry for ten seconds, and under it then.
func TransientOverload() Pattern {
	l := Saturated()
	l.Duration = 35 * time.Second
	l.RateFactor = func(at time.Duration) float64 {
		if at < 10*time.Second {
			return 1.2
		}
		return 0.8
	}
	return l
}

// OwnersFail is Crowded with the instances gone, at 10 s, that rank first to decide for others.
func OwnersFail() Pattern {
	l := SaturatedSite(72)
	l.OwnersFailAt = 10 * time.Second
	return l
}

// DomainsLeaveInTurn is Crowded on a larger site whose engines leave a failure domain at a time.
func DomainsLeaveInTurn() Pattern {
	l := SaturatedSite(192)
	l.LeaveByDomain = true
	l.Duration = 12 * time.Second
	return l
}

// FaultyEngines is calm engines of which a sixth fail half of what they are sent, before many instances.
func FaultyEngines() Pattern {
	l := SaturatedSite(72)
	l.LeaveEvery = 0
	l.LongRate, l.ShortRate = 0.7*l.LongRate, 0.7*l.ShortRate
	l.FaultyEngines = l.Engines / 6
	return l
}

// Patterns are the loads by name.
var Patterns = map[string]func() Pattern{
	"crowded": Saturated, "hurried": ShortTimeouts, "bursts": Bursts, "bunches": ArrivalSpikes, "half-gone": HalfInstancesFail, "come-back": TransientOverload,
	"owners-gone": OwnersFail, "faulty": FaultyEngines, "domains-leave": DomainsLeaveInTurn,
}
