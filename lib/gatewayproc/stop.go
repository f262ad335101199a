package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// stopPoll is the longest interval between two steps of a stop: at each it looks for the end of the last request and for time that the machine was
// suspended.
const stopPoll = 50 * time.Millisecond

// standstill is how long a pause of stopPoll lasts if the process, or its machine, stood still meanwhile.
const standstill = 4 * stopPoll

// stop takes the instance out of rotation, lets open responses end, and aborts the rest just before the kill. Its grace period counts from start.
// It returns until when the log may be written.
func (p *Process) stop(start time.Time) (logBy time.Time) {
	log.Info().Str("event", "stop").Str("instance", p.cfg.Instance).Msg("")
	s := p.beginStop(start)
	p.carrier.Stop()
	// Other instances switch to another owner and another reader now, while this one still answers.
	p.link.Coordinator.Leave()
	p.goWork(func() { p.unregister(context.Background()) })
	p.goWork(func() { p.handOver(context.Background()) })
	s.awaitOutOfRotation()
	s.drain()
	unfinished := p.gate.OpenRequests()
	_ = p.front.Close() // the listener is closed already
	p.handOverBy(s.refresh().recordsBy)
	p.cancel()
	log.Info().Str("event", "stopped").Int64("after_ms", time.Since(s.start).Milliseconds()).Int64("aborted", s.aborted).
		Int64("unfinished", unfinished).Msg("")
	return s.refresh().logBy
}

// stopRun is a planned stop in progress.
type stopRun struct {
	p       *Process
	start   time.Time
	before  time.Duration // how long the machine had been suspended before
	asleep  time.Duration // how long it has been since
	steps   stopSteps
	aborted int64 // requests
}

// beginStop makes this instance report that it is not ready, and the gateway refuse what it can't answer any more.
func (p *Process) beginStop(start time.Time) *stopRun {
	s := &stopRun{p: p, start: start, before: suspended()}
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	s.steps = planStop(s.start, 0, p.cfg.Grace)
	p.gate.Stop(s.steps.Schedule)
	return s
}

// refresh brings the steps up to date with the time that the machine has been suspended.
func (s *stopRun) refresh() stopSteps {
	if asleep := suspended() - s.before; asleep > s.asleep+minSuspension {
		s.asleep = asleep
		s.steps = planStop(s.start, asleep, s.p.cfg.Grace)
		s.p.gate.Stop(s.steps.Schedule)
	}
	return s.steps
}

// awaitOutOfRotation waits until balancers send no new connections.
func (s *stopRun) awaitOutOfRotation() {
	for {
		left := time.Until(s.refresh().InRotation)
		if left <= 0 {
			return
		}
		began := time.Now()
		time.Sleep(min(left, stopPoll))
		s.settleAfter(began)
	}
}

// settleAfter waits a moment if the process stood still since a pause of at most stopPoll began: requests and answers that have arrived meanwhile are
// read first, before connections are closed and calls aborted.
func (s *stopRun) settleAfter(began time.Time) {
	if time.Since(began) > standstill && time.Now().Add(stopPoll).Before(s.refresh().lastClose) {
		time.Sleep(stopPoll)
	}
}

// drain closes the callers' listener and each connection that serves no request, until none is left, also none that this instance carries for peers.
// At their time it aborts the requests that are still open.
func (s *stopRun) drain() {
	var abortedAt time.Time
	for {
		now, steps := time.Now(), s.refresh()
		next := steps.By
		if abortedAt.IsZero() && !now.Before(steps.By) {
			abortedAt = now
			s.aborted = s.p.gate.OpenRequests()
			s.p.gate.AbortOpen()
		}
		if !abortedAt.IsZero() {
			next = steps.closeAfter(abortedAt)
		}
		left := next.Sub(now)
		if left <= 0 || s.drainFor(min(left, stopPoll)) {
			return
		}
		s.settleAfter(now)
	}
}

// drainFor is drain for a short time. It reports whether no connection is left. The server's Shutdown by itself would check less and less often, up
// to twice a second.
func (s *stopRun) drainFor(d time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	if s.p.front.Shutdown(ctx) != nil {
		return false
	}
	s.p.carrier.Drain(ctx)
	return ctx.Err() == nil
}
