package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// Bounds of the real entries: on the first token of an attempt, and on attempts in a row without one.
const (
	firstTokenBound = 30 * time.Second
	fruitlessBound  = 4
)

// giveUp leaves the engine of a flow whose stream is silent beyond Config.GiveUp. An engine that preempted the sequence is
// silent, too: it can't be told from one that is stuck.
func (s *sim) giveUp(i int) {
	f := &s.flows[i]
	if s.cfg.StallTimeout == 0 || f.state != flowGranted {
		return
	}
	started := f.last > f.grantedAt
	if started && s.now-f.last < s.cfg.StallTimeout || !started && s.now-f.grantedAt < firstTokenBound {
		return
	}
	f.fruitless++
	if started {
		f.fruitless = 0
	}
	f.avoid = []string{targetName(f.engine)}
	s.metrics.givenUp++
	if f.fruitless < fruitlessBound {
		s.leaveEngine(i, sched.EndStalled)
		return
	}
	s.line.add(event{
		at: s.now + s.delay, kind: atEngineCancel,
		flow: int32(i), attempt: f.attempt, engine: int32(f.engine),
	})
	s.end(i, sched.EndStalled)
	s.over(i, flowFailed)
}
