// Package replay simulates load patterns in virtual time on a model of a site: instances that decide with the product's own
// code, engines of lib/enginemodel, and messages with a delay. It shows within seconds, without a real site, how a change to
// placement decisions behaves under heavy load.
//
// A seed yields the same streams under every policy, so policies are compared in pairs. The model has no migration of runs,
// and no store; its results say nothing about those.
package replay

import (
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
)

// Pattern describes the traffic of a simulation and the failures of its engines and instances.
type Pattern struct {
	Engines, Instances  int
	Domains             int                            // failure domains over which engines and instances are spread; 0: one
	LongRate, ShortRate float64                        // streams per second
	RateFactor          func(at time.Duration) float64 // factor on both rates; nil: 1
	ShortRateFactor     func(at time.Duration) float64 // additional factor on ShortRate; nil: 1
	LeaveEvery          time.Duration                  // interval at which a sixth of the engines leaves; 0: never
	ReplaceAfter        time.Duration                  // delay until as many empty engines join
	LeaveByDomain       bool                           // engines that leave together share a failure domain
	HalfInstancesFailAt time.Duration                  // half of the instances fail with their streams; 0: never
	OwnersFailAt        time.Duration                  // the first-ranked instance of each shard fails with its streams; 0: never
	FaultyEngines       int                            // engines that fail half of their streams
	ShortTimeout        time.Duration                  // after which callers of short streams give up; 0: as callers of long ones
	Workspaces          Workspaces
	Duration            time.Duration

	Speed          func(i int) float64 // factor on the duration of the steps of engine i; nil: 1
	Noise          enginemodel.Noise   // momentary slowdowns of all engines
	TokensPerEvent int                 // of streams; 0: 1
	GapObjective   time.Duration       // of streams; 0: none
	EventLengths   bool                // streams have as many events as Uneven describes
	EngineTokens   int                 // KV memory of an engine in tokens; 0: kvTokens
}

// Uneven is a moderate load on engines of two speeds, each slowed down by 2.5 for 15 % of the time. A slower engine that prefills a prompt
// while it is slowed down exceeds the objective for pauses of the streams there by some percent; the faster quarter never does. Long streams
// have about 190 events of four tokens, with a heavy spread, short ones two or three.
func Uneven() Pattern {
	return Pattern{
		Engines: 44, Instances: 24, LongRate: 21, ShortRate: 24, Domains: 3, Duration: 40 * time.Second,
		Speed: func(i int) float64 {
			if i%4 == 0 {
				return 0.55
			}
			return 1.2
		},
		Noise:          enginemodel.Noise{Share: 0.15, Factor: 2.5, Window: 600 * time.Millisecond},
		TokensPerEvent: 4, GapObjective: 180 * time.Millisecond, EventLengths: true, EngineTokens: 26_000,
	}
}

// EqualEngines is the load of Uneven on engines of one speed without slowdowns.
func EqualEngines() Pattern {
	p := Uneven()
	p.Speed, p.Noise = nil, enginemodel.Noise{}
	return p
}

// Saturated is the overload that placement is designed for: a sixth of the engines leaves every 3.3 s and as many join empty
// 6 s later, so that for seconds at a time the engines have less memory than the streams need.
func Saturated() Pattern {
	return Pattern{
		Engines: 18, Instances: 24, LongRate: 13.6, ShortRate: 15.6,
		LeaveEvery: 3300 * time.Millisecond, ReplaceAfter: 6 * time.Second, Duration: 25 * time.Second,
	}
}

// SaturatedSite is Saturated on a site with the given number of instances and with engines and streams in proportion.
func SaturatedSite(instances int) Pattern {
	p := Saturated().Resized(instances)
	p.Domains = 5
	return p
}

// Resized returns the pattern for the given number of instances, with engines and streams in proportion.
func (p Pattern) Resized(instances int) Pattern {
	factor := float64(instances) / float64(p.Instances)
	p.Engines = max(6, int(float64(p.Engines)*factor))
	p.FaultyEngines = int(float64(p.FaultyEngines) * factor)
	p.LongRate *= factor
	p.ShortRate *= factor
	p.Instances = instances
	return p
}

// Bursts has no engines leaving, and three times as many short streams during 3 s of every 10 s.
func Bursts() Pattern {
	p := Saturated()
	p.LeaveEvery = 0
	p.ShortRateFactor = func(at time.Duration) float64 {
		if at%(10*time.Second) < 3*time.Second {
			return 3
		}
		return 1
	}
	return p
}

// ShortTimeouts is Saturated with callers of short streams that give up after 6 s. They accept a retry delay of at most a
// third of their remaining time.
func ShortTimeouts() Pattern {
	p := Saturated()
	p.ShortTimeout = 6 * time.Second
	return p
}

// ArrivalSpikes delivers all streams of every two seconds within 0.2 s.
func ArrivalSpikes() Pattern {
	p := Saturated()
	p.LeaveEvery, p.LongRate, p.ShortRate = 0, 12, 14
	p.RateFactor = func(at time.Duration) float64 {
		if at%(2*time.Second) < 200*time.Millisecond {
			return 10
		}
		return 0
	}
	return p
}

// HalfInstancesFail is a load under which half of the instances fail at once.
func HalfInstancesFail() Pattern {
	p := Saturated()
	p.LeaveEvery, p.LongRate, p.ShortRate = 0, 10, 12
	p.HalfInstancesFailAt = 8 * time.Second
	return p
}

// TransientOverload exceeds the engines' capacity for ten seconds and stays below it afterwards.
func TransientOverload() Pattern {
	p := Saturated()
	p.Duration = 35 * time.Second
	p.RateFactor = func(at time.Duration) float64 {
		if at < 10*time.Second {
			return 1.2
		}
		return 0.8
	}
	return p
}

// OwnersFail is Saturated with the first-ranked owner of every shard failing at 10 s.
func OwnersFail() Pattern {
	p := SaturatedSite(72)
	p.OwnersFailAt = 10 * time.Second
	return p
}

// DomainsLeaveInTurn is Saturated on a larger site whose engines leave one failure domain at a time.
func DomainsLeaveInTurn() Pattern {
	p := SaturatedSite(192)
	p.LeaveByDomain = true
	p.Duration = 12 * time.Second
	return p
}

// FaultyEngines is a moderate load on a larger site where a sixth of the engines fails half of its streams.
func FaultyEngines() Pattern {
	p := SaturatedSite(72)
	p.LeaveEvery = 0
	p.LongRate, p.ShortRate = 0.7*p.LongRate, 0.7*p.ShortRate
	p.FaultyEngines = p.Engines / 6
	return p
}

// Patterns maps the names used on command lines to load patterns.
var Patterns = map[string]func() Pattern{
	"crowded": Saturated, "hurried": ShortTimeouts, "bursts": Bursts, "bunches": ArrivalSpikes,
	"half-gone": HalfInstancesFail, "come-back": TransientOverload,
	"owners-gone": OwnersFail, "faulty": FaultyEngines, "domains-leave": DomainsLeaveInTurn,
	"unequal": UnequalWorkspaces,
	"uneven":  Uneven, "equal": EqualEngines,
}
