package entry

import (
	"context"
	"time"
)

const (
	tickInterval  = 20 * time.Millisecond
	recordMinimum = time.Second // between two records of a generation
	maxRecordText = 1 << 20     // bytes of text; longer answers are recorded at their start only
)

// tick runs the systems over the table of generations until ctx is done.
func (s *Server) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var gens []*generation
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := s.now()
		s.watches.check(now)
		gens = s.table.running(gens[:0])
		for _, g := range gens {
			s.tickOne(g, now)
		}
		clear(gens)
		s.table.tidy(now)
	}
}

func (s *Server) tickOne(g *generation, now time.Time) {
	checkStall(g, now)
	s.checkCaller(g, now)
	checkDeadline(g, now)
	s.tellProgress(g, now)
	s.record(g, now, false)
}

// checkCaller gives up on a generation whose caller is slow beyond its bounds, or gone for too long. A slow caller with a
// key loses its connection first, and can come back for the rest.
func (s *Server) checkCaller(g *generation, now time.Time) {
	g.mu.Lock()
	sk := g.sink
	slow := sk != nil && sk.slow(now, g.policy.SlowReaderWait)
	gone := !g.detached.IsZero() && now.Sub(g.detached) > s.opts.CallerGrace
	g.mu.Unlock()
	switch {
	case slow && g.key != "":
		sk.cut()
	case slow:
		g.cancel(errCallerSlow)
		sk.cut()
	case gone:
		g.cancel(errCallerGone)
	}
}

func checkDeadline(g *generation, now time.Time) {
	if !g.deadline.IsZero() && now.After(g.deadline) {
		g.cancel(errDeadline)
	}
}

func (s *Server) tellProgress(g *generation, now time.Time) {
	interval := g.view.snap.Site.ProgressInterval
	g.mu.Lock()
	next, number := g.state.Next(), g.attempt.number
	due := g.attempt.cancel != nil && next != g.reported && now.Sub(g.reportedAt) >= interval
	if due {
		g.reported, g.reportedAt = next, now
	}
	g.mu.Unlock()
	if due {
		s.opts.Placer.Progress(g.service.Name, g.id, number, int(next))
	}
}

// record leaves what another entry needs to go on with a keyed generation, should this one die.
func (s *Server) record(g *generation, now time.Time, last bool) {
	if g.key == "" {
		return
	}
	g.mu.Lock()
	lost := context.Cause(g.ctx) == errTakenOver
	due := last || g.recordedAt.IsZero() || (g.text.Len() > g.recorded && now.Sub(g.recordedAt) >= recordMinimum)
	if !due || !g.begun || lost || g.text.Size() > maxRecordText {
		g.mu.Unlock()
		return
	}
	from := g.recorded
	rec := &Record{
		Generation:   g.id,
		Subject:      g.subject,
		Key:          g.key,
		Attempt:      g.state.Attempt(),
		Target:       g.attempt.target,
		Path:         g.asked.Path(),
		Request:      g.body,
		Tokens:       g.text.Tokens(from),
		Finished:     g.ended && !g.released(),
		FinishReason: g.finish,
		Released:     g.released(),
	}
	g.recorded, g.recordedAt = g.text.Len(), now
	g.mu.Unlock()
	s.opts.Records.Put(rec, from)
}

// wholeRecord is the record of a generation that has ended, with every token.
func (g *generation) wholeRecord() *Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Record{
		Generation: g.id,
		Subject:    g.subject,
		Key:        g.key,
		Attempt:    g.state.Attempt(),
		Path:       g.asked.Path(),
		Request:    g.body,
		Tokens:     g.text.Tokens(0),
		Released:   true,
	}
}

// stopped reports whether the generation was stopped for want of a caller.
func (g *generation) stopped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released()
}

// tidy forgets finished generations whose time is over.
func (t *table) tidy(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}
