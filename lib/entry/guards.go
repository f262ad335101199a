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

	"anvilwick.example/anvilwick/lib/breaker"
	"anvilwick.example/anvilwick/lib/pick"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

const (
	deathProbeTimeout = 300 * time.Millisecond
	lifeFresh         = time.Minute      // how long an engine's incarnation is believed
	plainDeathSpan    = 30 * time.Second // plain services have no incarnation; deaths within it count as one
	maxSettles        = 4                // waits for peers to tell who else was aboard
)

// outcomeOf says what an attempt's end tells of the link to its target.
func outcomeOf(r sched.EndReason) breaker.Outcome {
	switch r {
	case sched.EndCompleted:
		return breaker.Success
	case sched.EndTargetDied, sched.EndStalled:
		return breaker.Failure
	}
	return breaker.Ignored
}

// clean refuses content that is known to kill the targets that run it. Just after a second death it waits, a bounded
// time, until peers have told who else was aboard: an innocent request must not be refused for its neighbour.
func (s *Server) clean(ctx context.Context, fingerprint uint64) *result.Error {
	for range maxSettles {
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

// pause waits d, or less when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// lives remembers the incarnation of engines, so that one death has one name at every entry that saw it.
type lives struct {
	mu   sync.Mutex
	seen map[string]life
}

type life struct {
	incarnation uint64
	at          time.Time
}

func newLives() *lives { return &lives{seen: make(map[string]life)} }

func (l *lives) note(now time.Time, name string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[name] = life{incarnation, now}
}

func (l *lives) get(name string) (life, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, ok := l.seen[name]
	return seen, ok
}

// NoteIncarnation tells the incarnation that an engine reported.
func (s *Server) NoteIncarnation(name string, incarnation uint64) {
	s.lives.note(s.now(), name, incarnation)
}

// learnLife asks an engine for its incarnation in the background, unless it is known.
func (s *Server) learnLife(c *target.Client) {
	seen, ok := s.lives.get(c.Name())
	if ok && s.now().Sub(seen.at) < lifeFresh {
		return
	}
	s.background.Go(func() {
		if rep, err := c.Load(context.Background()); err == nil {
			s.lives.note(s.now(), c.Name(), rep.Incarnation)
		}
	})
}

// engineDied reports whether the engine process that ran an attempt is gone: nothing listens on its address, or another
// incarnation answers there. A cut link, a lost answer or a slow engine says nothing about the content, and is no death.
func (s *Server) engineDied(ctx context.Context, c *target.Client) (incarnation uint64, died bool) {
	seen, _ := s.lives.get(c.Name())
	ctx, cancel := context.WithTimeout(ctx, deathProbeTimeout)
	defer cancel()
	rep, err := c.Load(ctx)
	if err != nil {
		return seen.incarnation, errors.Is(err, syscall.ECONNREFUSED)
	}
	s.lives.note(s.now(), c.Name(), rep.Incarnation)
	return seen.incarnation, seen.incarnation != 0 && rep.Incarnation != seen.incarnation
}

// settlePoison tells how an attempt ended to the table that looks for content that kills. Each attempt that was aboard
// tells a death; the table counts it once.
func (s *Server) settlePoison(g *generation, c *target.Client, ran poison.Run, reason sched.EndReason) {
	switch reason {
	case sched.EndCompleted:
		s.opts.Poison.Finished(s.now(), ran)
		return
	case sched.EndTargetDied:
		if incarnation, died := s.engineDied(g.ctx, c); died {
			s.tellDeath(ran, c.Name(), incarnation)
			return
		}
	}
	s.opts.Poison.Stopped(ran)
}

func (s *Server) tellDeath(ran poison.Run, name string, incarnation uint64) {
	log.Warn().Str("event", "target_died").Str("target", name).Uint64("incarnation", incarnation).Msg("")
	s.opts.Poison.Lost(s.now(), ran, incarnation)
}

// picks holds the load of plain services' targets.
type picks struct {
	mu     sync.Mutex
	tables map[string]*pick.Table
}

func newPicks() *picks { return &picks{tables: make(map[string]*pick.Table)} }

// apply takes up a revision's plain services.
func (p *picks) apply(snap *settings.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, svc := range snap.Services {
		if svc.Kind != settings.KindPlain {
			continue
		}
		t, ok := p.tables[name]
		if !ok {
			t = pick.New(pick.DefaultConfig)
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

func pickTargets(svc *settings.Service) []pick.Target {
	out := make([]pick.Target, 0, len(svc.Targets))
	for i := range svc.Targets {
		t := &svc.Targets[i]
		out = append(out, pick.Target{Name: t.Name, FailureDomain: t.FailureDomain, Draining: t.Draining})
	}
	return out
}

func (p *picks) table(service string) *pick.Table {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tables[service]
}

// UpdateServiceLoad takes a load report of a plain service's target.
func (s *Server) UpdateServiceLoad(service, name string, rep pick.Report) {
	if t := s.picks.table(service); t != nil {
		t.Report(s.now(), name, rep)
	}
}

// pickTarget chooses the target of a plain call; avoid holds those that failed it.
func (s *Server) pickTarget(service string, avoid []string) (string, bool) {
	t := s.picks.table(service)
	if t == nil {
		return "", false
	}
	now := s.now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return t.Pick(now, rng, pick.Query{
		FailureDomain: s.opts.FailureDomain,
		Avoid:         avoid,
		Usable:        func(name string) bool { return s.opts.Breakers.Usable(now, name) },
	})
}

// avoidFor joins the targets that failed a request with those on which its content must not meet another suspect.
func (s *Server) avoidFor(failed []string, fingerprint uint64) []string {
	apart := s.opts.Poison.Avoid(s.now(), fingerprint)
	if len(apart) == 0 {
		return failed
	}
	return slices.Concat(failed, apart)
}
