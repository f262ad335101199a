package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/stall"
)

const (
	tickInterval      = 20 * time.Millisecond
	standstill        = 10 * tickInterval // a longer time between two ticks is one in which the process stood still
	minRecordInterval = time.Second       // minimum interval between two records of a generation
	maxRecordText     = 1 << 20           // bytes of text; the records of longer answers hold only their start
)

// tick checks all generations in progress every tickInterval until ctx is done.
func (s *Server) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var gens []*generation
	last := s.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := s.now()
		gens = s.table.appendRunning(gens[:0])
		if pause := now.Sub(last); pause > standstill {
			s.excuseStandstill(now, pause, gens)
		}
		last = now
		s.watches.check(now)
		for _, g := range gens {
			s.tickOne(g, now)
		}
		clear(gens)
		s.table.expireFinished(now)
		s.opts.Prefixes.Judge(now)
	}
}

// excuseStandstill leaves a time in which the process stood still out of all judgements by silence: what targets and callers sent or read meanwhile has
// not been seen yet. Judged by the clock alone, each stream would be moved, and each slow caller be cut, at once.
func (s *Server) excuseStandstill(now time.Time, pause time.Duration, gens []*generation) {
	s.watches.monitor.Excuse(now, pause)
	for _, g := range gens {
		g.excuse(now, pause)
	}
	log.Warn().Str("event", "stood_still").Int64("ms", pause.Milliseconds()).Int("generations", len(gens)).Msg("")
}

func (g *generation) excuse(now time.Time, pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempt.lastActivity = stall.Later(g.attempt.lastActivity, pause, now)
	if g.sink != nil && !g.sink.slowSince.IsZero() {
		g.sink.slowSince = stall.Later(g.sink.slowSince, pause, now)
	}
	if !g.detachedAt.IsZero() {
		g.detachedAt = stall.Later(g.detachedAt, pause, now)
	}
}

func (s *Server) tickOne(g *generation, now time.Time) {
	checkStall(g, now)
	s.checkCaller(g, now)
	checkDeadline(g, now)
	s.checkStop(g, now)
	s.reportProgress(g, now)
	s.record(g, now, false)
}

// checkCaller cancels a generation whose caller has been too slow or absent for too long. A slow caller with a key is only
// disconnected first, and may return for the rest.
func (s *Server) checkCaller(g *generation, now time.Time) {
	g.mu.Lock()
	sk := g.sink
	slow, unread := false, 0
	if sk != nil {
		slow, unread = sk.slow(now, g.policy.SlowReaderWait), len(sk.buf)
	}
	gone := !g.detachedAt.IsZero() && now.Sub(g.detachedAt) > s.opts.CallerGrace
	g.mu.Unlock()
	if unread > smallSinkBytes && !s.opts.Memory.Fits(int64(unread), membudget.Bulk) {
		slow = true // its buffer is what memory is short of
	}
	switch {
	case slow && g.key != "":
		sk.abortWrites()
	case slow:
		g.cancel(errCallerSlow)
		sk.abortWrites()
	case gone:
		g.cancel(errCallerGone)
	}
}

func checkDeadline(g *generation, now time.Time) {
	if !g.deadline.IsZero() && now.After(g.deadline) {
		g.cancel(errDeadline)
	}
}

func (s *Server) reportProgress(g *generation, now time.Time) {
	interval := g.view.snapshot.Site.ProgressInterval
	g.mu.Lock()
	next, number := g.state.Next(), g.attempt.number
	due := g.attempt.cancel != nil && next != g.reportedTokens && now.Sub(g.reportedAt) >= interval
	if due {
		g.reportedTokens, g.reportedAt = next, now
	}
	g.mu.Unlock()
	if due {
		s.opts.Placer.Progress(g.service.Name, g.id, number, int(next))
	}
}

// record stores what another entry needs to resume a keyed generation if this entry dies.
func (s *Server) record(g *generation, now time.Time, last bool) {
	if g.key == "" {
		return
	}
	g.mu.Lock()
	superseded := context.Cause(g.ctx) == errTakenOver
	due := last || g.recordedAt.IsZero() || (g.text.Len() > g.recordedTokens && now.Sub(g.recordedAt) >= minRecordInterval)
	if !due || !g.owned || superseded || g.text.Size() > maxRecordText {
		g.mu.Unlock()
		return
	}
	from := g.recordedTokens
	rec := &Record{
		Generation:   g.id,
		Subject:      g.subject,
		Key:          g.key,
		Attempt:      g.state.Attempt(),
		Target:       g.attempt.target,
		Path:         g.completion.Path(),
		Request:      g.body,
		Tokens:       g.text.Tokens(from),
		Software:     g.software,
		Finished:     g.ended && !g.resumableLocked(),
		FinishReason: g.finishReason,
		Released:     g.resumableLocked(),
	}
	g.recordedTokens, g.recordedAt = g.text.Len(), now
	g.mu.Unlock()
	s.opts.Records.Put(rec, from)
}

// fullRecord returns the record of a generation that has ended, with all tokens.
func (g *generation) fullRecord() *Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Record{
		Generation: g.id,
		Subject:    g.subject,
		Key:        g.key,
		Attempt:    g.state.Attempt(),
		Path:       g.completion.Path(),
		Request:    g.body,
		Tokens:     g.text.Tokens(0),
		Software:   g.software,
		Released:   true,
	}
}

// resumable reports whether the generation was stopped for lack of a caller and can be resumed.
func (g *generation) resumable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumableLocked()
}

// expireFinished removes finished generations whose retention time has passed.
func (t *table) expireFinished(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}
