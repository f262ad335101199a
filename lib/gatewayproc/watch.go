package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
)

const (
	// watchInterval is the polling period of engines while the list of targets is unavailable: an engine leaves within two
	// seconds of its notice, and a move takes a good part of that time.
	watchInterval = 300 * time.Millisecond
	// watchIdleInterval is how often an instance that owns no engines checks whether it does now.
	watchIdleInterval = time.Second
	// listStaleAfter is the age of the list from which engines are polled even if no call for the list has failed yet: longer
	// than one long poll and the relaying of its page.
	listStaleAfter = 1100 * time.Millisecond
	// watchLimitedInterval is the polling period of an engine with a rate limit, since polls count against the limit.
	watchLimitedInterval = time.Second
	// reportTimeout bounds one poll.
	reportTimeout = 300 * time.Millisecond
	// idlePolled bounds the engines without runs that are polled in one period. A stream sent to a leaving engine is told so in the
	// response, and an owner of hundreds of engines would poll thousands a second.
	idlePolled = 64
)

// idleRound is a round robin over the engines without runs.
type idleRound struct{ pos int }

// next returns the engines to poll now: all that have runs, which are lost if the engine leaves unnoticed, and some others.
func (r *idleRound) next(busy, idle []string) []string {
	n := min(idlePolled, len(idle))
	for range n {
		r.pos++
		busy = append(busy, idle[r.pos%len(idle)])
	}
	return busy
}

// watchEngines polls engines for their leaving while the list of targets is unavailable. Each engine is polled only by the owner of its
// shard, which notifies the instances with runs there: polls delay an engine's work and count against its limits.
func (p *Process) watchEngines(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	polled := make(map[string]time.Time) // engines with a limit
	var round idleRound
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		owned := p.link.OwnedEngines()
		if len(owned) == 0 {
			t.Reset(watchIdleInterval)
			continue
		}
		t.Reset(watchInterval)
		if !p.listUnavailable() {
			clear(polled)
			continue
		}
		now := time.Now()
		for _, id := range round.next(p.fleet.SplitBusy(owned)) {
			if e, known := p.fleet.Info(id); known && !p.fleet.IsLeaving(id) && p.mayPoll(now, id, polled) {
				go p.pollEngine(ctx, e)
			}
		}
	}
}

// mayPoll reports whether an engine may be polled now: not while it is in backoff, and less often and within its limit if it has one.
func (p *Process) mayPoll(now time.Time, engine string, polled map[string]time.Time) bool {
	if p.fleet.InBackoff(now, engine) {
		return false
	}
	if !p.fleet.LimitOf(engine).On {
		return true
	}
	if now.Sub(polled[engine]) < watchLimitedInterval {
		return false
	}
	permit, _ := p.fleet.Permit(now, engine, p.cfg.Instance, false)
	if permit.Granted {
		polled[engine] = now
	}
	return permit.Granted
}

// listLost reports whether a call for the list has failed and none has succeeded since, at this instance or at its reader.
func (p *Process) listLost() bool {
	failed := p.listFailed.Load()
	return failed != nil && failed.After(p.feeds.targets.LastContact())
}

// listUnavailable reports whether the list of targets is unreliable: it is old, or its feed is lost.
func (p *Process) listUnavailable() bool {
	return time.Since(p.feeds.targets.LastContact()) >= listStaleAfter || p.listLost() || p.syncer.StoreLost()
}

// noticeRestart applies what a target has said of its incarnation, and tells all instances if that is news.
func (p *Process) noticeRestart(target string, born int64) {
	ch := p.fleet.MarkRestarted(time.Now(), target, born)
	p.onFleetChange(ch)
	p.link.BroadcastRestarted(ch.Restarted)
}

func (p *Process) pollEngine(ctx context.Context, e fleet.Info) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := p.site.Engines.Report(ctx, e)
	if err != nil {
		logline.Send(log.Info().Str("event", "engine_not_asked").Str("target", e.ID), err)
		return
	}
	now := time.Now()
	p.noticeRestart(e.ID, r.Born)
	if r.Leaving {
		p.onFleetChange(p.fleet.MarkLeaving(now, e.ID, r.Born))
	}
}
