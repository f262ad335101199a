package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/balance"
	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	deathProbeTimeout = 300 * time.Millisecond
	incarnationTTL    = time.Minute      // how long a reported engine incarnation stays valid
	plainDeathWindow  = 30 * time.Second // plain services have no incarnation; deaths within this window count as one
	maxPoisonWaits    = 4                // waits for peers to report which other requests ran on a dead target
)

// outcomeOf maps an attempt's end reason to a breaker outcome for the target's link.
func outcomeOf(r sched.EndReason) breaker.Outcome {
	switch r {
	case sched.EndCompleted:
		return breaker.Success
	case sched.EndTargetDied, sched.EndStalled:
		return breaker.Failure
	}
	return breaker.Ignored
}

// checkPoison refuses content known to kill the targets that run it. Right after a second death it waits, for a bounded
// time, until peers have reported which other requests ran there: an innocent request must not be refused because it
// ran beside the cause.
func (s *Server) checkPoison(ctx context.Context, fingerprint uint64) *result.Error {
	for range maxPoisonWaits {
		verdict, wait := s.opts.Poison.Check(s.now(), fingerprint)
		switch verdict {
		case poison.Poisoned:
			err := result.New(result.Poisoned, "two or more died")
			err.RetryAfter = wait
			return err
		case poison.Settling:
			pause(ctx, wait)
		default:
			return nil
		}
	}
	return nil
}

// checkPrefixes refuses a generation whose prompt begins as those do that kill the engines that run them. While a probe is due, it admits the generation:
// the first one that is about to be sent to an engine takes the probe, since one that ends before would use it up.
func (s *Server) checkPrefixes(g *generation) *result.Error {
	now := s.now()
	v := s.opts.Prefixes.Check(now, g.service.Name, g.completion.Model, g.prefixes)
	if !v.Refused {
		return s.checkTrials(now, g)
	}
	if probeDue(now, v) {
		return nil
	}
	return prefixError(now, v)
}

// takeProbe makes a generation that is about to be sent to an engine the probe that is due, if its prompt is refused, or refuses it.
func (s *Server) takeProbe(g *generation) *result.Error {
	now := s.now()
	v := s.opts.Prefixes.Check(now, g.service.Name, g.completion.Model, g.prefixes)
	if !v.Refused || probeDue(now, v) && s.opts.Prefixes.TakeProbe(now, v.Conviction) {
		return nil
	}
	return prefixError(now, v)
}

// probeAt returns when a probe of a verdict is due. There is no early one: each entry makes its own, which costs an engine if the verdict holds.
func probeAt(v poison.SegmentVerdict) time.Time {
	if at := v.Conviction.LastDeath.Add(poison.FirstProbePause); at.After(v.Conviction.ProbeAt) {
		return at
	}
	return v.Conviction.ProbeAt
}

func probeDue(now time.Time, v poison.SegmentVerdict) bool {
	return v.ProbeDue && !now.Before(probeAt(v))
}

// prefixError refuses a generation by a verdict.
func prefixError(now time.Time, v poison.SegmentVerdict) *result.Error {
	err := result.New(result.Poisoned, "engines died under prompts with the same beginning: prefixes=%s deaths=%d", v.Conviction.Name(), v.Conviction.Deaths)
	err.RetryAfter = max(time.Second, probeAt(v).Sub(now))
	return err
}

// checkTrials refuses a generation whose prompt begins as those do that may kill engines, while another one tests that.
func (s *Server) checkTrials(now time.Time, g *generation) *result.Error {
	wait, held := s.opts.Prefixes.Held(now, g.service.Name, g.completion.Model, g.prefixes, nil)
	if !held {
		return nil
	}
	err := result.New(result.Poisoned, "engines died under prompts with the same beginning, and another request with it is under way")
	err.RetryAfter = max(time.Second, wait)
	return err
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// incarnations caches the incarnations of engines, so that every entry identifies the same engine death by the same number.
type incarnations struct {
	mu   sync.Mutex
	seen map[string]engineIncarnation
}

type engineIncarnation struct {
	value  uint64
	seenAt time.Time
}

func newIncarnations() *incarnations { return &incarnations{seen: make(map[string]engineIncarnation)} }

func (c *incarnations) record(now time.Time, name string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[name] = engineIncarnation{incarnation, now}
}

func (c *incarnations) get(name string) (engineIncarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.seen[name]
	return cached, ok
}

// NoteIncarnation records the incarnation that an engine reported.
func (s *Server) NoteIncarnation(name string, incarnation uint64) {
	s.incarnations.record(s.now(), name, incarnation)
}

// refreshIncarnation queries an engine's incarnation in the background if no valid one is cached.
func (s *Server) refreshIncarnation(c *target.Client) {
	cached, ok := s.incarnations.get(c.Name())
	if ok && s.now().Sub(cached.seenAt) < incarnationTTL {
		return
	}
	s.background.Go(func() {
		if rep, err := c.Load(context.Background()); err == nil {
			s.incarnations.record(s.now(), c.Name(), rep.Incarnation)
		}
	})
}

// engineDied reports whether the engine process that ran an attempt is gone: nothing listens on its address, or another
// incarnation answers there. A broken link, a lost answer or a slow engine is no evidence against the content and does
// not count as a death.
func (s *Server) engineDied(ctx context.Context, c *target.Client) (incarnation uint64, died bool) {
	cached, _ := s.incarnations.get(c.Name())
	ctx, cancel := context.WithTimeout(ctx, deathProbeTimeout)
	defer cancel()
	rep, err := c.Load(ctx)
	if err != nil {
		return cached.value, errors.Is(err, syscall.ECONNREFUSED)
	}
	s.incarnations.record(s.now(), c.Name(), rep.Incarnation)
	return cached.value, cached.value != 0 && rep.Incarnation != cached.value
}

// reportAttemptToPoison reports an attempt's end to the poison table. Every attempt that was running reports the death;
// the table counts it once. An attempt of which nothing was sent has not run on the engine that died.
func (s *Server) reportAttemptToPoison(g *generation, c *target.Client, ran poison.Run, prefixes *poison.SegmentRun, end attemptEnd) {
	prefixes.End(s.now())
	switch {
	case end.reason == sched.EndCompleted:
		s.opts.Poison.Finished(s.now(), ran)
		prefixes.Survive(s.now())
		return
	case end.reason == sched.EndTargetDied && !errors.Is(end.cause, target.ErrNotSent):
		if incarnation, died := s.engineDied(g.ctx, c); died {
			s.reportDeath(ran, c.Name(), incarnation)
			prefixes.EngineDied(s.now(), poison.Death{ID: poison.DeathID(c.Name(), incarnation), Address: poison.DeathID(c.Name(), 0)})
			return
		}
	}
	s.opts.Poison.Stopped(ran)
}

func (s *Server) reportDeath(ran poison.Run, name string, incarnation uint64) {
	log.Warn().Str("event", "target_died").Str("target", name).Uint64("incarnation", incarnation).Msg("")
	s.opts.Poison.TargetDied(s.now(), ran, incarnation)
}

// pickTables holds the load-balancing tables of plain services, by service name.
type pickTables struct {
	mu     sync.Mutex
	tables map[string]*balance.Table
}

func newPickTables() *pickTables { return &pickTables{tables: make(map[string]*balance.Table)} }

// apply updates the tables for the plain services of a settings revision.
func (p *pickTables) apply(snap *settings.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, svc := range snap.Services {
		if svc.Kind != settings.KindPlain {
			continue
		}
		t, ok := p.tables[name]
		if !ok {
			t = balance.New(balance.DefaultConfig)
			p.tables[name] = t
		}
		t.SetTargets(pickTargets(svc))
	}
	for name := range p.tables {
		if snap.Services[name] == nil {
			delete(p.tables, name)
		}
	}
}

func pickTargets(svc *settings.Service) []balance.Target {
	out := make([]balance.Target, 0, len(svc.Targets))
	for i := range svc.Targets {
		t := &svc.Targets[i]
		out = append(out, balance.Target{Name: t.Name, FailureDomain: t.FailureDomain, Draining: t.Draining})
	}
	return out
}

func (p *pickTables) table(service string) *balance.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tables[service]
}

// UpdateServiceLoad applies a load report of a plain service's target.
func (s *Server) UpdateServiceLoad(service, name string, rep balance.Report) {
	if t := s.pickTables.table(service); t != nil {
		t.Report(s.now(), name, rep)
	}
}

// pickTarget chooses the target of a plain call; avoid lists the targets on which it already failed.
func (s *Server) pickTarget(service string, avoid []string) (string, bool) {
	t := s.pickTables.table(service)
	if t == nil {
		return "", false
	}
	now := s.now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return t.Pick(now, rng, balance.Query{
		FailureDomain: s.opts.FailureDomain,
		Avoid:         avoid,
		Usable:        func(name string) bool { return s.opts.Breakers.Usable(now, name) },
	})
}

// targetsToAvoid joins the targets that failed a request with those where its content would run beside another suspect.
func (s *Server) targetsToAvoid(failed []string, fingerprint uint64) []string {
	separate := s.opts.Poison.TargetsToAvoid(s.now(), fingerprint)
	if len(separate) == 0 {
		return failed
	}
	return slices.Concat(failed, separate)
}
