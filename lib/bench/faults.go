package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// The faults of a run.
const (
	FaultNone   = ""
	FaultDeath  = "engine-death"
	FaultStall  = "link-stall"
	FaultDip    = "power-dip"
	FaultFreeze = "report-freeze"
)

// Faults lists those that the bench reports on.
var Faults = []string{FaultDeath, FaultStall, FaultDip, FaultFreeze}

// When and how long faults are in force.
const (
	faultAt      = 80 * time.Second
	faultAgainAt = 120 * time.Second
	faultLasts   = 40 * time.Second
	stallLasts   = 15 * time.Second
	stallBound   = 2 * time.Second // an engine that gives no token for so long is left by all its streams
	stallLook    = 100 * time.Millisecond
)

func (s *sim) scheduleFaults() {
	switch s.cfg.Fault {
	case FaultDeath:
		s.at(faultAt, func() { s.kill(2) })
		s.at(faultAgainAt, func() { s.kill(5) })
	case FaultStall:
		s.at(faultAt, func() { s.stall(3) })
		s.at(faultAgainAt, func() { s.stall(6) })
	case FaultDip:
		s.at(faultAt-powerNotice, func() {
			s.at(faultAt-powerNotice, s.grantPower)
		})
		s.at(faultAt, func() { s.capWatts = s.plant.capWatts * dipFactor })
		s.at(faultAt+faultLasts, func() { s.capWatts = s.plant.capWatts })
	case FaultFreeze:
		s.at(faultAt, func() { s.freeze(true) })
		s.at(faultAt+faultLasts, func() { s.freeze(false) })
	}
	s.at(stallLook, s.lookForStalls)
}

func (s *sim) at(when time.Duration, do func()) {
	s.line.add(event{at: when, kind: atFault, fault: do})
}

// announced is the cap that the holder of the budget may hand out now.
func (s *sim) announced() float64 {
	if s.cfg.Fault == FaultDip && s.now >= faultAt-powerNotice && s.now < faultAt+faultLasts {
		return s.plant.capWatts * dipFactor
	}
	return s.plant.capWatts
}

// kill ends an engine with all that it ran; an empty one takes its place later.
func (s *sim) kill(i int) {
	e := &s.engines[i]
	e.dead = true
	s.line.add(event{at: s.now + s.delay, kind: atEntryBroken, engine: int32(i)})
	s.at(s.now+faultLasts, func() { s.bear(i) })
}

// stall makes the link of an engine carry nothing for a while; what it held is delivered late.
func (s *sim) stall(i int) {
	s.engines[i].stalled = s.now + stallLasts
}

func (s *sim) freeze(v bool) {
	s.frozen = v
	for i := range s.engines {
		s.engines[i].model.FreezeReports(v)
	}
}

// lookForStalls is the entries' own detection, the same for every policy: an engine that runs streams and gives no
// token to any of them within stallBound is left by all.
func (s *sim) lookForStalls() {
	for i := range s.engines {
		e := &s.engines[i]
		if e.dead || s.now-e.heard <= stallBound || !s.anyOlder(i, s.now-stallBound) {
			continue
		}
		s.leaveAll(i, sched.EndStalled, true)
	}
	s.at(s.now+stallLook, s.lookForStalls)
}

// anyOlder reports whether a started flow on an engine got its last token before a time.
func (s *sim) anyOlder(engine int, before time.Duration) bool {
	for i := range s.flows {
		f := &s.flows[i]
		if f.state == flowGranted && f.engine == engine && f.tokens > 0 && f.last < before && f.grantedAt < before {
			return true
		}
	}
	return false
}
