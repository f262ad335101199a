package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// Limits of the real entries: time to the first token of an attempt, and consecutive attempts without a token.
const (
	firstTokenBound           = 30 * time.Second
	attemptsWithoutTokenBound = 4
)

// abortStalled aborts an attempt whose stream is silent for longer than Config.StallTimeout. The stream of a preempted sequence
// is silent as well and can't be distinguished from one whose engine is stuck.
func (s *sim) abortStalled(i int) {
	f := &s.flows[i]
	if s.cfg.StallTimeout == 0 || f.state != flowGranted {
		return
	}
	started := f.lastToken > f.grantedAt
	if started && s.now-f.lastToken < s.cfg.StallTimeout || !started && s.now-f.grantedAt < firstTokenBound {
		return
	}
	f.attemptsWithoutToken++
	if started {
		f.attemptsWithoutToken = 0
	}
	f.avoid = []string{targetName(f.engine)}
	s.metrics.aborted++
	if f.attemptsWithoutToken < attemptsWithoutTokenBound {
		s.leaveEngine(i, sched.EndStalled)
		return
	}
	s.timeline.add(event{
		at: s.now + s.delay, kind: atEngineCancel,
		flow: int32(i), attempt: f.attempt, engine: int32(f.engine),
	})
	s.endAttempt(i, sched.EndStalled)
	s.finish(i, flowFailed)
}
