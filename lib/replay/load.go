// Package replay plays load patterns in virtual time on a model of a site: instances that decide by the product's own code,
// engines of lib/enginemodel, and messages that take their time. It tells in seconds, without a site, what a change of a
// decision does at the worst load.
//
// The same seed brings the same streams under each policy, so that policies are compared in pairs. The model has no moves of
// runs, no store and no workspaces, and says nothing of those.
package replay

import "time"

// Load is a pattern of traffic and of what befalls engines and instances.
type Load struct {
	Engines, Instances int
	Domains            int                            // failure domains, over which both are spread; 0: one
	Longs, Shorts      float64                        // streams a second
	Shape              func(at time.Duration) float64 // factor on both; nil: 1
	ShortShape         func(at time.Duration) float64 // factor on shorts alone; nil: 1
	LeaveEvery         time.Duration                  // a sixth of the engines leaves; 0: none does
	BackAfter          time.Duration                  // as many come, empty
	LeaveByDomain      bool                           // those that leave together are of one failure domain
	HalfGoneAt         time.Duration                  // half of the instances end with what they serve; 0: none does
	OwnersGoneAt       time.Duration                  // the first in rank for each shard ends with what it serves; 0: none does
	Faulty             int                            // engines that fail half of what they are sent
	ShortBudget        time.Duration                  // after which callers of shorts leave; 0: as those of longs
	Span               time.Duration
}

// Crowded is the load that the decisions are for: a sixth of the engines leaves every 3.3 s and as many come back empty 6 s
// later, and for seconds at a time those that are there have less memory than streams ask for.
func Crowded() Load {
	return Load{
		Engines: 18, Instances: 24, Longs: 13.6, Shorts: 15.6,
		LeaveEvery: 3300 * time.Millisecond, BackAfter: 6 * time.Second, Span: 25 * time.Second,
	}
}

// Scaled is Crowded on a site of some instances, with engines and streams in proportion.
func Scaled(instances int) Load {
	l := Crowded().Resized(instances)
	l.Domains = 5
	return l
}

// Resized is the load on a site of some instances, with engines and streams in proportion.
func (l Load) Resized(instances int) Load {
	times := float64(instances) / float64(l.Instances)
	l.Engines = max(6, int(float64(l.Engines)*times))
	l.Faulty = int(float64(l.Faulty) * times)
	l.Longs *= times
	l.Shorts *= times
	l.Instances = instances
	return l
}

// Bursts is calm engines, and short streams that come three times as many for 3 s in each 10.
func Bursts() Load {
	l := Crowded()
	l.LeaveEvery = 0
	l.ShortShape = func(at time.Duration) float64 {
		if at%(10*time.Second) < 3*time.Second {
			return 3
		}
		return 1
	}
	return l
}

// Hurried is Crowded with callers of short streams that leave after 6 s. They are told to come back within a third of
// what they have left.
func Hurried() Load {
	l := Crowded()
	l.ShortBudget = 6 * time.Second
	return l
}

// Bunches is all of two seconds' streams within 0.2 s.
func Bunches() Load {
	l := Crowded()
	l.LeaveEvery, l.Longs, l.Shorts = 0, 12, 14
	l.Shape = func(at time.Duration) float64 {
		if at%(2*time.Second) < 200*time.Millisecond {
			return 10
		}
		return 0
	}
	return l
}

// HalfGone is half of the instances ending at once.
func HalfGone() Load {
	l := Crowded()
	l.LeaveEvery, l.Longs, l.Shorts = 0, 10, 12
	l.HalfGoneAt = 8 * time.Second
	return l
}

// ComeBack is traffic over what the engines carry for ten seconds, and under it then.
func ComeBack() Load {
	l := Crowded()
	l.Span = 35 * time.Second
	l.Shape = func(at time.Duration) float64 {
		if at < 10*time.Second {
			return 1.2
		}
		return 0.8
	}
	return l
}

// OwnersGone is Crowded with the instances gone, at 10 s, that rank first to decide for others.
func OwnersGone() Load {
	l := Scaled(72)
	l.OwnersGoneAt = 10 * time.Second
	return l
}

// DomainsLeave is Crowded on a larger site whose engines leave a failure domain at a time.
func DomainsLeave() Load {
	l := Scaled(192)
	l.LeaveByDomain = true
	l.Span = 12 * time.Second
	return l
}

// Faulty is calm engines of which a sixth fail half of what they are sent, before many instances.
func Faulty() Load {
	l := Scaled(72)
	l.LeaveEvery = 0
	l.Longs, l.Shorts = 0.7*l.Longs, 0.7*l.Shorts
	l.Faulty = l.Engines / 6
	return l
}

// Patterns are the loads by name.
var Patterns = map[string]func() Load{
	"crowded": Crowded, "hurried": Hurried, "bursts": Bursts, "bunches": Bunches, "half-gone": HalfGone, "come-back": ComeBack,
	"owners-gone": OwnersGone, "faulty": Faulty, "domains-leave": DomainsLeave,
}
