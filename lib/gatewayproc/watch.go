package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/rendezvous"
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

// watchEngines asks engines themselves whether they leave, while the list can't tell. Each is asked by one instance,
// chosen by rendezvous, which tells the others: questions delay an engine's work and are paid for.
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
		for _, e := range p.fleet.Engines() {
			if p.watches(e.ID) {
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

// listAway reports whether the list of targets can't be relied on: it is old, or lost here or at a peer.
func (p *Process) listAway() bool {
	now := time.Now()
	if now.Sub(p.feeds.targets.Contact()) >= listSilent || p.listLost() {
		return true
	}
	for _, n := range p.news.Latest(now) {
		if n.ListLost {
			return true
		}
	}
	return false
}

// watches reports whether this instance is the one to ask an engine.
func (p *Process) watches(id string) bool {
	key := rendezvous.Hash(id)
	own := rendezvous.Rank(key, rendezvous.Hash(p.cfg.Instance))
	for _, n := range p.news.Latest(time.Now()) {
		if !n.Leaving && rendezvous.Rank(key, rendezvous.Hash(n.Instance)) > own {
			return false
		}
	}
	return true
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
