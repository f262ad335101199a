package entry

import (
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/result"
)

// finish ends a generation: caller, claim, record, limits, metrics and log, in that order.
func (s *Server) finish(g *generation, err *result.Error) {
	now := s.now()
	err = correctOutcome(g, err)
	g.end(now, err)
	g.cancel(nil)
	s.record(g, now, true)
	g.settleClaim()
	g.release()
	s.table.moveToFinished(g, now)
	s.reportEnd(g, now, codeOf(err))
}

func codeOf(err *result.Error) result.Code {
	if err == nil {
		return result.OK
	}
	return err.Code
}

// correctOutcome replaces an error code whose outcome would be false. "Not run" is kept only if no engine can have
// executed any part, whichever step failed last; a deadline that passed before anything was sent becomes "not run".
func correctOutcome(g *generation, err *result.Error) *result.Error {
	if err == nil {
		return nil
	}
	ran := g.possiblyRan()
	outcome := result.Lookup(err.Code).Outcome
	switch {
	case ran && outcome == result.NotRun:
		return result.Wrap(result.TargetFailed, err, "go on with it on another target: "+err.Error())
	case !ran && err.Code == result.DeadlinePassed:
		tooLate := result.Wrap(result.DeadlineTooNear, err, "start it before its deadline")
		tooLate.RetryAfter = defaultRetryAfter
		return tooLate
	case !ran && err.Code == result.TargetFailed:
		noTarget := result.Wrap(result.NoTarget, err, err.Detail)
		noTarget.RetryAfter = defaultRetryAfter
		return noTarget
	}
	return err
}

func (s *Server) reportEnd(g *generation, now time.Time, code result.Code) {
	g.mu.Lock()
	tokens, attempts, stalled := g.state.Next(), g.state.Attempt(), g.stalled
	g.mu.Unlock()
	elapsed := now.Sub(g.accepted)
	g.metrics.Duration.Update(elapsed.Seconds())
	g.metrics.Stall.Update(stalled.Seconds())
	g.metrics.CountResult(code)
	e := g.log(log.Info(), "request_end").Str("workspace", g.subject.Workspace).Str("class", g.subject.Class)
	e = e.Str("service", g.subject.Service).Uint16("code", uint16(code)).Str("result", result.Lookup(code).Name)
	e.Uint32("tokens", tokens).Uint32("attempts", attempts).Int64("took_ms", elapsed.Milliseconds()).Int64("stalled_ms", stalled.Milliseconds()).Msg("")
}
