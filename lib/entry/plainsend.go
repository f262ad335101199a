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

// sendPlain tries targets until one answers. A non-idempotent call is sent to another target only as long as it is proved
// that no byte of it was sent.
func (s *Server) sendPlain(ctx context.Context, pc *plainCall) (*http.Response, string, *result.Error) {
	var avoid []string
	mayHaveRun := false
	for try := 1; ; try++ {
		if !mayHaveRun && s.plainEndsTooLate(s.now(), pc) {
			return nil, "", stoppingError()
		}
		name, ok := s.pickTarget(pc.service.Name, s.targetsToAvoid(avoid, pc.subject.Fingerprint))
		if !ok {
			return nil, "", pc.noTargetError(mayHaveRun)
		}
		resp, name, err := s.send(ctx, pc, name, uint32(try), avoid)
		if err == nil {
			s.observeRetryAfter(pc.service.Name, name, resp)
			return resp, name, nil
		}
		sent := !errors.Is(err, target.ErrNotSent)
		mayHaveRun = mayHaveRun || sent
		pc.mayHaveSent = mayHaveRun
		logline.Send(log.Info().Str("event", "call_failed").Str("request", pc.id).Str("target", name).Bool("sent", sent), err)
		avoid = append(avoid, name)
		if final := s.checkRepeat(ctx, pc, try, sent, mayHaveRun, err); final != nil {
			return nil, name, final
		}
		pc.metrics.Retries.Inc()
	}
}

// observeRetryAfter pauses a target that answered 503 for the time in its Retry-After header.
func (s *Server) observeRetryAfter(service, name string, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if t := s.pickTables.table(service); t != nil {
		t.PauseUntil(name, s.now().Add(retry.ParseRetryAfter(resp.Header, s.now())))
	}
}

// send sends the call to a target, with hedging if the route is idempotent. It returns the name of the target that the
// response or error came from.
func (s *Server) send(ctx context.Context, pc *plainCall, name string, try uint32, avoid []string) (*http.Response, string, error) {
	if pc.route.Idempotent {
		return s.sendHedged(ctx, pc, name, try, avoid)
	}
	resp, err := s.sendOnce(ctx, pc, name, try)
	return resp, name, err
}

// sendOnce sends the call to one target. The caller must read and close the response body.
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
		return nil, errors.Join(target.ErrNotSent, errCircuitOpen)
	}
	if err := invariant.Check(!pc.call.NoResend || !pc.mayHaveSent, "sent_once", "request %s again to %s", pc.id, name); err != nil {
		return nil, err
	}
	if err := pc.markSent(ctx, name, try); err != nil {
		ticket.Done(s.now(), breaker.Ignored)
		return nil, errors.Join(target.ErrNotSent, err)
	}
	ran := s.opts.Poison.Started(name, pc.subject.Fingerprint)
	defer s.times.Sent(pc.kind())()
	resp, err := pc.doBounded(ctx, c)
	ticket.Done(s.now(), callOutcome(ctx, err))
	s.reportCallToPoison(ctx, c, ran, err)
	return resp, err
}

// callOutcome maps a call's result to a breaker outcome. A call whose caller disconnected is ignored. A hedged call that
// another target answered first was silent for at least the stall floor: it counts as a failure, so that the circuit
// opens and later calls need no hedging.
func callOutcome(ctx context.Context, err error) breaker.Outcome {
	switch {
	case err == nil:
		return breaker.Success
	case errors.Is(context.Cause(ctx), errOtherAnswered):
		return breaker.Failure
	case errors.Is(ctx.Err(), context.Canceled):
		return breaker.Ignored
	}
	return breaker.Failure
}

// reportCallToPoison reports a call's end to the poison table. A target that refuses connections right after it broke one
// is considered dead.
func (s *Server) reportCallToPoison(ctx context.Context, c *target.Client, ran poison.Run, err error) {
	switch {
	case err == nil:
		s.opts.Poison.Finished(s.now(), ran)
		return
	case errors.Is(err, target.ErrBroken) && ctx.Err() == nil:
		pctx, cancel := context.WithTimeout(ctx, deathProbeTimeout)
		defer cancel()
		if _, perr := c.ServiceLoad(pctx); errors.Is(perr, syscall.ECONNREFUSED) {
			s.reportDeath(ran, c.Name(), uint64(s.now().Unix())/uint64(plainDeathWindow.Seconds()))
			return
		}
	}
	s.opts.Poison.Stopped(ran)
}

// checkRepeat returns nil if the call may be sent to another target, else the error for the caller.
func (s *Server) checkRepeat(ctx context.Context, pc *plainCall, try int, sent, mayHaveRun bool, err error) *result.Error {
	var refusal *result.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case ctx.Err() != nil:
		return pc.endedError(ctx, mayHaveRun, err)
	case sent && !pc.route.Idempotent:
		return result.Wrap(unknownCode(err), err, "get the target's answer")
	case try >= max(1, pc.policy.MaxAttempts):
		return pc.giveUpError(mayHaveRun, err)
	}
	if !sent {
		return nil
	}
	if ok, _ := s.opts.Budgets.Take(s.now(), pc.subject.Workspace); !ok {
		return pc.giveUpError(mayHaveRun, err)
	}
	return s.checkPoison(ctx, pc.subject.Fingerprint)
}
