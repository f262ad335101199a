package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
)

const (
	// watchEvery is the period of asking engines while the list of targets is out of reach: an engine leaves within two
	// seconds of its notice, and a move takes a good part of them.
	watchEvery = 300 * time.Millisecond
	// watchIdle is how often an instance that owns no engines looks whether it does now.
	watchIdle = time.Second
	// listSilent is the age of the list from which engines are asked, when no call for it has failed yet: over the time of
	// one long poll and a page passed on.
	listSilent = 1100 * time.Millisecond
	// watchLimited is the period of asking an engine that has named a limit, which the questions use up, too.
	watchLimited = time.Second
	// reportTimeout bounds one question.
	reportTimeout = 300 * time.Millisecond
	// idleAsked bounds the engines without runs that are asked in one period. A stream that is sent to one that leaves is told so, and
	// an owner of hundreds would ask thousands a second.
	idleAsked = 64
)

// askRound goes round the engines without runs.
type askRound struct{ at int }

// next returns the engines to ask now: all that have runs, which are lost with them, and some others.
func (r *askRound) next(busy, idle []string) []string {
	n := min(idleAsked, len(idle))
	for range n {
		r.at++
		busy = append(busy, idle[r.at%len(idle)])
	}
	return busy
}

// watchEngines asks engines themselves whether they leave, while the list can't tell. Each is asked by the owner of its
// shard, which tells those that have runs there: questions delay an engine's work and are paid for.
func (p *Process) watchEngines(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	asked := make(map[string]time.Time) // engines with a limit
	var round askRound
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		owned := p.link.OwnedEngines()
		if len(owned) == 0 {
			t.Reset(watchIdle)
			continue
		}
		t.Reset(watchEvery)
		if !p.listAway() {
			clear(asked)
			continue
		}
		now := time.Now()
		for _, id := range round.next(p.fleet.SplitBusy(owned)) {
			if e, known := p.fleet.Info(id); known && !p.fleet.IsLeaving(id) && p.mayAsk(now, id, asked) {
				go p.ask(ctx, e)
			}
		}
	}
}

// mayAsk reports whether an engine may be asked now. One that rests is not, and one that has named a limit is asked less often, and within its limit.
func (p *Process) mayAsk(now time.Time, engine string, asked map[string]time.Time) bool {
	if p.fleet.InBackoff(now, engine) {
		return false
	}
	if !p.fleet.LimitOf(engine).On {
		return true
	}
	if now.Sub(asked[engine]) < watchLimited {
		return false
	}
	permit, _ := p.fleet.Permit(now, engine, p.cfg.Instance, false)
	if permit.Granted {
		asked[engine] = now
	}
	return permit.Granted
}

// listLost reports whether a call for the list has failed and none has succeeded since, here or at the reader.
func (p *Process) listLost() bool {
	failed := p.listFailed.Load()
	return failed != nil && failed.After(p.feeds.targets.LastContact())
}

// listAway reports whether the list of targets can't be relied on: it is old, or lost.
func (p *Process) listAway() bool {
	return time.Since(p.feeds.targets.LastContact()) >= listSilent || p.listLost() || p.track.StoreLost()
}

func (p *Process) ask(ctx context.Context, e fleet.Info) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := p.site.Engines.Report(ctx, e)
	if err != nil {
		logline.Cause(log.Info().Str("event", "engine_not_asked").Str("target", e.ID), err)
		return
	}
	now := time.Now()
	p.changed(p.fleet.MarkRestarted(now, e.ID, r.Born))
	if r.Leaving {
		p.changed(p.fleet.MarkLeaving(now, e.ID, r.Born))
	}
}
