package gatewayproc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/gateway"
)

const (
	// outOfRotation is how long after SIGTERM the balancer may still send new connections: it checks once a second and
	// takes an instance out of rotation after two failed checks.
	outOfRotation = 2500 * time.Millisecond
	// abortMargin is how long before the kill open responses are aborted, at most one abortShare-th of the grace period, and closeMargin
	// how long before it the connections of callers are closed that still wait, with nothing to read or a reader that is slow. Aborted
	// calls are answered in between, on a busy machine, too; the records and the log are written after it.
	abortMargin = 700 * time.Millisecond
	closeMargin = abortMargin / 2
	abortShare  = 8
	// shutdownPoll is the longest interval at which the server checks for the end of the last request.
	shutdownPoll = 50 * time.Millisecond
)

// stop takes the instance out of rotation, lets open responses end, and aborts the rest just before the kill.
func (p *Process) stop() {
	start := time.Now()
	log.Info().Str("event", "stop").Str("instance", p.cfg.Instance).Msg("")
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	schedule, closeAt := stopSchedule(start, p.cfg.Grace)
	p.gate.Stop(schedule)
	p.carrier.Stop()
	// Other instances switch to another owner and another reader now, while this one still answers.
	p.link.Coordinator.Leave()
	p.goWork(func() { p.unregister(context.Background()) })
	p.goWork(func() { p.handOver(context.Background()) })
	time.Sleep(time.Until(schedule.InRotation))
	var aborted atomic.Int64 // requests
	abort := time.AfterFunc(time.Until(schedule.By), func() {
		aborted.Store(p.gate.OpenRequests())
		p.gate.AbortOpen()
	})
	defer abort.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	p.shutDownFront(ctx)
	p.carrier.Drain(ctx)
	unfinished := p.gate.OpenRequests()
	_ = p.front.Close() // the listener is closed already
	p.handOver(context.Background())
	p.cancel()
	log.Info().Str("event", "stopped").Int64("after_ms", time.Since(start).Milliseconds()).Int64("aborted", aborted.Load()).
		Int64("unfinished", unfinished).Msg("")
}

// stopSchedule returns the course of a stop that began at start, and when the connections of callers are closed.
func stopSchedule(start time.Time, grace time.Duration) (s gateway.StopSchedule, closeAt time.Time) {
	abort := min(abortMargin, grace/abortShare)
	end := start.Add(grace)
	s = gateway.StopSchedule{InRotation: start.Add(min(outOfRotation, grace/2)), By: end.Add(-abort)}
	return s, end.Add(-abort * closeMargin / abortMargin)
}

// shutDownFront closes the callers' listener, and each connection that serves no request, until none is left or ctx is done.
func (p *Process) shutDownFront(ctx context.Context) {
	for ctx.Err() == nil {
		// Shutdown itself would check less and less often, up to twice a second.
		poll, cancel := context.WithTimeout(ctx, shutdownPoll)
		err := p.front.Shutdown(poll)
		cancel()
		if err == nil {
			return
		}
	}
}
