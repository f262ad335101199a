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
	// listSilent is the age of the list from which engines are asked, when no call for it has failed yet: over the time of
	// one long poll and a page passed on.
	listSilent = 1100 * time.Millisecond
	// reportTimeout bounds one question.
	reportTimeout = 300 * time.Millisecond
)

// watchEngines asks engines themselves whether they leave, while the list can't tell. Each is asked by the owner of its
// shard, which tells those that have runs there: questions delay an engine's work and are paid for.
func (p *Process) watchEngines(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !p.listAway() {
			continue
		}
		for _, e := range p.fleet.Engines(fleet.Ready) {
			if p.link.Owns(e.ID) {
				go p.ask(ctx, e)
			}
		}
	}
}

// listLost reports whether a call for the list has failed and none has succeeded since, here or at the reader.
func (p *Process) listLost() bool {
	failed := p.listFailed.Load()
	return failed != nil && failed.After(p.feeds.targets.Contact())
}

// listAway reports whether the list of targets can't be relied on: it is old, or lost.
func (p *Process) listAway() bool {
	return time.Since(p.feeds.targets.Contact()) >= listSilent || p.listLost() || p.track.Lost()
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
	p.changed(p.fleet.Restart(now, e.ID, r.Born))
	if r.Leaving {
		p.changed(p.fleet.Leave(now, e.ID, r.Born))
	}
}
