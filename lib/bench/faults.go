package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// Faults that can be injected into a run.
const (
	FaultNone   = ""
	FaultDeath  = "engine-death"
	FaultStall  = "link-stall"
	FaultDip    = "power-dip"
	FaultFreeze = "report-freeze"
)

// Faults lists the faults that the bench reports on.
var Faults = []string{FaultDeath, FaultStall, FaultDip, FaultFreeze}

// Start and duration of faults.
const (
	faultAt            = 80 * time.Second
	secondFaultAt      = 120 * time.Second
	faultDuration      = 40 * time.Second
	stallDuration      = 15 * time.Second
	engineStallTimeout = 2 * time.Second // all streams leave an engine that has produced no token for this long
	stallCheckEvery    = 100 * time.Millisecond
)

func (s *sim) scheduleFaults() {
	switch s.cfg.Fault {
	case FaultDeath:
		s.schedule(faultAt, func() { s.kill(2) })
		s.schedule(secondFaultAt, func() { s.kill(5) })
	case FaultStall:
		s.schedule(faultAt, func() { s.stall(3) })
		s.schedule(secondFaultAt, func() { s.stall(6) })
	case FaultDip:
		s.schedule(faultAt-powerNotice, func() {
			s.schedule(faultAt-powerNotice, s.grantPower)
		})
		s.schedule(faultAt, func() { s.capWatts = s.cluster.capWatts * dipFactor })
		s.schedule(faultAt+faultDuration, func() { s.capWatts = s.cluster.capWatts })
	case FaultFreeze:
		s.schedule(faultAt, func() { s.freezeReports(true) })
		s.schedule(faultAt+faultDuration, func() { s.freezeReports(false) })
	}
	s.schedule(stallCheckEvery, s.detectStalls)
}

func (s *sim) schedule(at time.Duration, f func()) {
	s.timeline.add(event{at: at, kind: atFault, fault: f})
}

// announcedCap returns the cap that the budget holder may distribute now.
func (s *sim) announcedCap() float64 {
	if s.cfg.Fault == FaultDip && s.now >= faultAt-powerNotice && s.now < faultAt+faultDuration {
		return s.cluster.capWatts * dipFactor
	}
	return s.cluster.capWatts
}

// kill stops an engine with all its sequences; an empty one replaces it after faultDuration.
func (s *sim) kill(i int) {
	e := &s.engines[i]
	e.dead = true
	s.timeline.add(event{at: s.now + s.delay, kind: atEntryBroken, engine: int32(i)})
	s.schedule(s.now+faultDuration, func() { s.startEngine(i) })
}

// stall makes the link of an engine deliver nothing for stallDuration; messages are delivered late.
func (s *sim) stall(i int) {
	s.engines[i].stalledUntil = s.now + stallDuration
}

func (s *sim) freezeReports(v bool) {
	s.reportsFrozen = v
	for i := range s.engines {
		s.engines[i].model.FreezeReports(v)
	}
}

// detectStalls implements stall detection by the entries, which is the same for every policy: all streams leave an engine
// that has started streams and has produced no token within engineStallTimeout.
func (s *sim) detectStalls() {
	for i := range s.engines {
		e := &s.engines[i]
		if e.dead || s.now-e.lastTokens <= engineStallTimeout || !s.hasStalledFlow(i, s.now-engineStallTimeout) {
			continue
		}
		s.evacuate(i, sched.EndStalled, true)
	}
	s.schedule(s.now+stallCheckEvery, s.detectStalls)
}

// hasStalledFlow reports whether a started flow on an engine received its last token before the given time.
func (s *sim) hasStalledFlow(engine int, before time.Duration) bool {
	for i := range s.flows {
		f := &s.flows[i]
		if f.state == flowGranted && f.engine == engine && f.tokens > 0 && f.lastToken < before && f.grantedAt < before {
			return true
		}
	}
	return false
}
