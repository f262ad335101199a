package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	maxAvoid               = 8                      // bound on the failed targets that an attempt avoids
	maxMoves               = 1000                   // bound on moves and preemptions of one generation
	placementRetryInterval = 100 * time.Millisecond // between placement retries of a started generation; the caller sees the stall
	defaultRetryAfter      = time.Second            // Retry-After if the refusal named none
	cancelTimeout          = 2 * time.Second
	avoidTimeout           = 300 * time.Millisecond // how long to wait for a placement that avoids failed targets
	placementGrace         = 5 * time.Second        // added to the policy's MaxWait in case the scheduler does not answer
)

// runState is the state kept between the attempts of a generation.
type runState struct {
	failedTargets []string  // targets that failed the generation since its last token
	anyTarget     bool      // placement without the targets to avoid timed out: allow any target
	emptyAttempts int       // consecutive attempts without a token
	preemptions   int       // moves and preemptions
	waitingSince  time.Time // since when a started generation waits for placement; zero if it does not
}

// run runs a generation to its end, over as many attempts as it needs.
func (s *Server) run(g *generation) {
	g.markOwned()
	var rs runState
	for {
		err, another := s.runOnce(g, &rs)
		if another {
			continue
		}
		s.finish(g, err)
		return
	}
}

// runOnce places and runs one attempt. It reports whether another attempt must follow.
func (s *Server) runOnce(g *generation, rs *runState) (err *result.Error, another bool) {
	if err := s.checkAttemptLimits(g, rs); err != nil {
		return err, false
	}
	number, beginErr := g.beginAttempt()
	if beginErr != nil {
		return result.Wrap(result.InvariantBroken, invariant.Broken("attempt_before_fenced", beginErr.Error()), "begin an attempt"), false
	}
	grant, placeErr := s.place(g, rs, number)
	if grant.Target == "" && placeErr == nil {
		g.fenceAttempt()
		return nil, true
	}
	rs.anyTarget = false
	if placeErr != nil {
		g.fenceAttempt()
		return s.afterRefusal(g, rs, placeErr)
	}
	rs.waitingSince = time.Time{}
	end := s.runAttempt(g, number, grant)
	g.fenceAttempt()
	s.reportAttemptEnd(g, number, grant.Target, end)
	return s.afterAttempt(g, rs, grant.Target, end)
}

// checkAttemptLimits returns an error if the generation may not start another attempt.
func (s *Server) checkAttemptLimits(g *generation, rs *runState) *result.Error {
	if g.ctx.Err() != nil {
		return causeError(context.Cause(g.ctx))
	}
	next := g.delivered()
	switch {
	case rs.emptyAttempts >= max(1, g.policy.MaxAttempts), rs.preemptions > maxMoves:
		return result.New(result.TargetFailed, "%d attempts in a row gave no token", rs.emptyAttempts)
	case next > 0 && !g.service.Resumes:
		return result.New(result.CannotResume, "the service's engines start at the first token only")
	case next > 0 && !s.view.Load().hasSoftware(g.service.Name, g.startedBy()):
		return result.New(result.CannotResume, "no engine of the service runs software %q, which began the stream", g.startedBy())
	}
	if err := s.checkPoison(g.ctx, g.subject.Fingerprint); err != nil {
		return err
	}
	return s.checkPrefixes(g)
}

// place submits the attempt to the scheduler and waits for the decision.
func (s *Server) place(g *generation, rs *runState, number uint32) (sched.Action, *result.Error) {
	g.mu.Lock()
	emitted, decisions, lapsed, software := int(g.state.Next()), g.attempt.decisions, g.attempt.lapsed, g.software
	g.mu.Unlock()
	submitted := s.now()
	avoid := s.avoidForAttempt(g, rs)
	s.opts.Placer.Submit(g.service.Name, sched.Request{
		Gen:          g.id,
		Workspace:    g.subject.Workspace,
		Class:        g.subject.Class,
		Attempt:      number,
		PromptTokens: g.completion.PromptTokens(),
		MaxTokens:    g.completion.MaxTokens,
		Emitted:      emitted,
		Software:     software,
		Preemptions:  rs.preemptions,
		Prefixes:     g.prefixes,
		Deadline:     s.schedDeadline(g, submitted),
		Avoid:        avoid,
		Fingerprint:  g.subject.Fingerprint,
	}, g.handleDecision)
	timeout := time.NewTimer(g.policy.MaxWait + placementGrace)
	defer timeout.Stop()
	avoidTimer := time.NewTimer(avoidTimeout)
	defer avoidTimer.Stop()
	if len(avoid) == 0 {
		avoidTimer.Stop()
	}
	var err *result.Error
	select {
	case decision := <-decisions:
		if decision.Kind == sched.ActGrant {
			g.metrics.QueueWait.Update(s.now().Sub(submitted).Seconds())
			return decision, nil
		}
		err = result.New(decision.Code, "no place for attempt %d", number)
		err.RetryAfter = decision.RetryAfter
		return decision, err
	case <-g.ctx.Done():
		err = causeError(context.Cause(g.ctx))
	case <-lapsed:
		err = stoppingError()
	case <-avoidTimer.C:
		rs.failedTargets, rs.anyTarget = nil, true
	case <-timeout.C:
		err = result.New(result.QueueFull, "no place within %s", g.policy.MaxWait)
		err.RetryAfter = defaultRetryAfter
	}
	s.opts.Placer.End(g.service.Name, g.id, number, emitted, sched.EndCancelled)
	return sched.Action{}, err
}

// avoidForAttempt returns the targets that the next attempt must avoid: those that failed it, and those where its content
// would run beside another suspect. The scheduler treats the list as a hard constraint. The list is therefore empty if no
// other target is left, or if none had capacity in time: otherwise a generation that failed on each of a few engines could
// never be placed again, and after an engine's death there can be more suspects than engines to separate them.
func (s *Server) avoidForAttempt(g *generation, rs *runState) []string {
	svc := s.view.Load().snapshot.Services[g.service.Name]
	if svc == nil || rs.anyTarget {
		return nil
	}
	avoid := s.targetsToAvoid(rs.failedTargets, g.subject.Fingerprint)
	for i := range svc.Targets {
		t := &svc.Targets[i]
		if !t.Draining && !slices.Contains(avoid, t.Name) {
			return avoid
		}
	}
	return nil
}

func (s *Server) schedDeadline(g *generation, now time.Time) sched.Time {
	if g.deadline.IsZero() {
		return 0
	}
	return s.opts.Placer.Now().Add(g.deadline.Sub(now))
}

// runAttempt runs the attempt on the granted target, unless the circuit to the target is open or the target asked for a
// back-off.
func (s *Server) runAttempt(g *generation, number uint32, grant sched.Action) attemptEnd {
	c := s.client(g, grant.Target)
	if c == nil {
		return attemptEnd{reason: sched.EndTargetRefused, cause: errNoClient, nothingToCancel: true}
	}
	if s.backoffs.active(s.now(), grant.Target) {
		return attemptEnd{reason: sched.EndTargetRefused, cause: errBackedOff, nothingToCancel: true}
	}
	ticket, _, ok := s.opts.Breakers.Allow(s.now(), grant.Target)
	if !ok {
		return attemptEnd{reason: sched.EndTargetRefused, cause: errCircuitOpen, nothingToCancel: true}
	}
	if s.notSentInTime(s.now(), g) {
		ticket.Done(s.now(), breaker.Ignored)
		return attemptEnd{reason: sched.EndCancelled, cause: errStopLimit, final: stoppingError(), nothingToCancel: true}
	}
	if err := s.takeProbe(g); err != nil {
		ticket.Done(s.now(), breaker.Ignored)
		return attemptEnd{reason: sched.EndCancelled, cause: err, final: err, nothingToCancel: true}
	}
	if err := s.markSent(g, grant.Target, number); err != nil {
		ticket.Done(s.now(), breaker.Ignored)
		return attemptEnd{reason: sched.EndCancelled, cause: err, final: err, nothingToCancel: true}
	}
	g.log(log.Debug(), "attempt_start").Str("target", grant.Target).Uint32("attempt", number).Msg("")
	s.refreshIncarnation(c)
	ran := s.opts.Poison.Started(grant.Target, g.subject.Fingerprint)
	prefixes := s.opts.Prefixes.Begin(s.now(), g.service.Name, g.completion.Model, g.prefixes, func() {})
	r := &attemptRun{server: s, g: g, client: c, number: number, priority: grant.Priority, ticket: ticket}
	end := r.execute()
	g.fenceAttempt()
	s.backoffs.observe(s.now(), grant.Target, end.cause)
	if r.tokens == 0 {
		ticket.Done(s.now(), outcomeOf(end.reason))
	}
	s.reportAttemptToPoison(g, c, ran, prefixes, end)
	return end
}

var (
	errNoClient      = errors.New("the target is unknown")
	errCircuitOpen   = errors.New("the circuit to the target is open")
	errOtherSoftware = errors.New("the engine names another software version than the one that began the stream")
)

// client returns the client of a target from the settings in force, else from those the request was accepted under.
func (s *Server) client(g *generation, name string) *target.Client {
	if c := s.view.Load().clients[name]; c != nil {
		return c
	}
	return g.view.clients[name]
}

// reportAttemptEnd reports the end of an attempt to the scheduler, the engine and the log. The attempt is already fenced;
// the cancel request only frees the engine's memory sooner, so it runs in the background.
func (s *Server) reportAttemptEnd(g *generation, number uint32, name string, end attemptEnd) {
	s.opts.Placer.End(g.service.Name, g.id, number, int(g.delivered()), end.reason)
	s.metrics.CountAttempt(reasonName(end.reason))
	e := g.log(log.Info(), "attempt_end").Str("target", name).Uint32("attempt", number).Str("reason", reasonName(end.reason))
	logline.Send(e.Uint32("tokens", g.delivered()), end.cause)
	if end.nothingToCancel {
		return
	}
	if c := s.client(g, name); c != nil {
		s.cancelAttempt(g, c, number)
	}
}

func (s *Server) cancelAttempt(g *generation, c *target.Client, number uint32) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if _, err := c.Cancel(ctx, g.id, number); err != nil {
			logline.Send(g.log(log.Debug(), "cancel_failed").Str("target", c.Name()), err)
		}
	}()
}

// afterRefusal decides how to continue when the scheduler refuses placement. A request that no engine can have run is
// refused at once; one that may have run retries placement for a bounded time.
func (s *Server) afterRefusal(g *generation, rs *runState, err *result.Error) (*result.Error, bool) {
	if result.Lookup(err.Code).RetryAdvice != result.RetryLater || !g.possiblyRan() {
		return err, false
	}
	now := s.now()
	if rs.waitingSince.IsZero() {
		rs.waitingSince = now
	}
	if now.Sub(rs.waitingSince) > max(s.opts.ResumeTimeout, g.policy.MaxWait) {
		return err, false
	}
	pause := time.NewTimer(placementRetryInterval)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-g.ctx.Done():
	}
	return nil, true
}

// afterAttempt decides whether the generation has ended or another attempt follows.
func (s *Server) afterAttempt(g *generation, rs *runState, name string, end attemptEnd) (*result.Error, bool) {
	switch {
	case end.final != nil:
		return end.final, false
	case end.reason == sched.EndCompleted:
		return nil, false
	case end.reason == sched.EndMoved || end.reason == sched.EndPreempted:
		rs.preemptions++
		g.metrics.Preemptions.Inc()
		return nil, true
	}
	noteFailure(g, rs, name)
	return s.retry(g, end)
}

func noteFailure(g *generation, rs *runState, name string) {
	rs.emptyAttempts++
	if g.attemptTokens() > 0 {
		rs.emptyAttempts = 0
		rs.failedTargets = rs.failedTargets[:0]
	}
	if !slices.Contains(rs.failedTargets, name) {
		rs.failedTargets = append(rs.failedTargets, name)
	}
	if len(rs.failedTargets) > maxAvoid {
		rs.failedTargets = rs.failedTargets[1:]
	}
}

// retry charges the workspace's retry budget, which limits the additional load on a failing service. Attempts exempt from
// the budget cost their target nothing. A generation that has delivered tokens is not charged either: restarting it would
// cost more than resuming it, and its attempts are bounded.
func (s *Server) retry(g *generation, end attemptEnd) (*result.Error, bool) {
	if g.delivered() == 0 && !exemptFromBudget(end.cause) {
		if ok, wait := s.opts.Budgets.Take(s.now(), g.subject.Workspace); !ok {
			err := result.Wrap(result.RetryBudget, end.cause, "try another target")
			err.RetryAfter = max(wait, defaultRetryAfter)
			return err, false
		}
	}
	g.metrics.Retries.Inc()
	return nil, true
}

// exemptFromBudget reports whether an attempt cost its target nothing: it was never sent, or the target refused it because
// it is draining. Load reports announce a drain with a delay, during which every request placed there is refused; charged
// to the budget, a planned shutdown of one target would exhaust it, and callers would be refused.
func exemptFromBudget(cause error) bool {
	var refusal *target.RefusedError
	leaving := errors.As(cause, &refusal) && refusal.Err.NotRun && refusal.Err.Type == engineapi.ErrDraining
	return leaving || errors.Is(cause, target.ErrNotSent)
}

// attemptTokens returns the number of tokens delivered by the current attempt.
func (g *generation) attemptTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempt.tokens
}

var reasonNames = map[sched.EndReason]string{
	sched.EndCompleted:     "completed",
	sched.EndCancelled:     "cancelled",
	sched.EndTargetDied:    "target_died",
	sched.EndTargetRefused: "target_refused",
	sched.EndStalled:       "stalled",
	sched.EndPreempted:     "preempted",
	sched.EndMoved:         "moved",
}

func reasonName(r sched.EndReason) string { return reasonNames[r] }
