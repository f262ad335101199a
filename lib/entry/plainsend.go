package entry

import (
	"context"
	"errors"
	"net/http"
	"syscall"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/target"
)

// sendPlain tries targets until one answers. A call that may not be repeated goes on to another target only while it is
// proved that no byte of it was sent.
func (s *Server) sendPlain(ctx context.Context, pc *plainCall) (*http.Response, string, *result.Error) {
	var avoid []string
	mayHaveRun := false
	for try := 1; ; try++ {
		name, ok := s.pickTarget(pc.service.Name, s.avoidFor(avoid, pc.subject.Fingerprint))
		if !ok {
			return nil, "", pc.noTarget(mayHaveRun)
		}
		resp, name, err := s.send(ctx, pc, name, uint32(try), avoid)
		if err == nil {
			s.readRest(pc.service.Name, name, resp)
			return resp, name, nil
		}
		sent := !errors.Is(err, target.ErrNotSent)
		mayHaveRun = mayHaveRun || sent
		pc.maySent = mayHaveRun
		logline.Cause(log.Info().Str("event", "call_failed").Str("request", pc.id).Str("target", name).Bool("sent", sent), err)
		avoid = append(avoid, name)
		if final := s.mayRepeat(ctx, pc, try, sent, mayHaveRun, err); final != nil {
			return nil, name, final
		}
		pc.metrics.Retries.Inc()
	}
}

// readRest takes in that a target which turns a call away wants no other from this entry for some time.
func (s *Server) readRest(service, name string, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if t := s.picks.table(service); t != nil {
		t.PauseUntil(name, s.now().Add(retry.After(resp.Header, s.now())))
	}
}

// send sends the call to a target, or also to a second one when it may be repeated, and tells which of them it speaks of.
func (s *Server) send(ctx context.Context, pc *plainCall, name string, try uint32, avoid []string) (*http.Response, string, error) {
	if pc.route.Idempotent {
		return s.sendHedged(ctx, pc, name, try, avoid)
	}
	resp, err := s.sendOnce(ctx, pc, name, try)
	return resp, name, err
}

// sendOnce sends the call to one target. The answer's body is still to be read.
func (s *Server) sendOnce(ctx context.Context, pc *plainCall, name string, try uint32) (*http.Response, error) {
	c := s.Client(name)
	if c == nil {
		c = pc.view.clients[name]
	}
	if c == nil {
		return nil, errors.Join(target.ErrNotSent, errNoClient)
	}
	ticket, _, ok := s.opts.Breakers.Allow(s.now(), name)
	if !ok {
		return nil, errors.Join(target.ErrNotSent, errOpen)
	}
	if err := invariant.Check(!pc.call.Once || !pc.maySent, "sent_once", "request %s again to %s", pc.id, name); err != nil {
		return nil, err
	}
	if err := pc.markSent(ctx, name, try); err != nil {
		ticket.Done(s.now(), breaker.Ignored)
		return nil, errors.Join(target.ErrNotSent, err)
	}
	ran := s.opts.Poison.Started(name, pc.subject.Fingerprint)
	resp, err := pc.doBounded(ctx, c)
	ticket.Done(s.now(), callOutcome(ctx, err))
	s.settleCall(ctx, c, ran, err)
	return resp, err
}

// callOutcome says what a call tells of the link. A caller that left says nothing. A call that another overtook was silent
// for the stall floor and longer: counted, the circuit opens, and later calls need no second one.
func callOutcome(ctx context.Context, err error) breaker.Outcome {
	switch {
	case err == nil:
		return breaker.Success
	case errors.Is(context.Cause(ctx), errOvertaken):
		return breaker.Failure
	case errors.Is(ctx.Err(), context.Canceled):
		return breaker.Ignored
	}
	return breaker.Failure
}

// settleCall tells how the call ended to the table that looks for content that kills. A target that refuses connections
// right after it broke one is taken for dead.
func (s *Server) settleCall(ctx context.Context, c *target.Client, ran poison.Run, err error) {
	switch {
	case err == nil:
		s.opts.Poison.Finished(s.now(), ran)
		return
	case errors.Is(err, target.ErrBroken) && ctx.Err() == nil:
		pctx, cancel := context.WithTimeout(ctx, deathProbeTimeout)
		defer cancel()
		if _, perr := c.ServiceLoad(pctx); errors.Is(perr, syscall.ECONNREFUSED) {
			s.tellDeath(ran, c.Name(), uint64(s.now().Unix())/uint64(plainDeathSpan.Seconds()))
			return
		}
	}
	s.opts.Poison.Stopped(ran)
}

// mayRepeat returns nil when the call may be sent to another target, else what the caller is told.
func (s *Server) mayRepeat(ctx context.Context, pc *plainCall, try int, sent, mayHaveRun bool, err error) *result.Error {
	var refusal *result.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case ctx.Err() != nil:
		return pc.ended(ctx, mayHaveRun, err)
	case sent && !pc.route.Idempotent:
		return result.Wrap(unknownCode(err), err, "get the target's answer")
	case try >= max(1, pc.policy.MaxAttempts):
		return pc.gaveUp(mayHaveRun, err)
	}
	if !sent {
		return nil
	}
	if ok, _ := s.opts.Budgets.Take(s.now(), pc.subject.Workspace); !ok {
		return pc.gaveUp(mayHaveRun, err)
	}
	return s.clean(ctx, pc.subject.Fingerprint)
}
