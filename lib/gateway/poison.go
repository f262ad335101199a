package gateway

import (
	"context"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/poison"
)

// poisonConfig refuses a content after the third target that died under it. Two would be enough to name it, but
// targets here also die of themselves, under whatever they run.
var poisonConfig = poison.Config{
	Weight: 3, Newest: 2, Window: 5 * time.Minute, Refuse: time.Minute, Settle: 300 * time.Millisecond,
	Vouch: 10 * time.Minute, MaxSize: 1024,
}

// blamesTold bounds the records in one news. They are told again with each news while they are young.
const blamesTold = 24

// fingerprint names what a call asks, whatever its id: the same comes again after each crash, at any instance.
func (c *call) fingerprint() uint64 {
	return poison.Fingerprint(strings.Join([]string{c.workspace, c.method, c.host, c.target}, "\x00"), c.body)
}

// checkPoison refuses a call that has killed the targets which ran it.
func (g *Gateway) checkPoison(c *call) *refusal {
	c.print = c.fingerprint()
	now := time.Now()
	switch v, wait := g.poison.Check(now, c.print); v {
	case poison.Poisoned, poison.Settling:
		return &refusal{status: 503, after: c.wait(max(wait, againStream)), reason: "content_" + v.String()}
	case poison.Suspect:
		for _, target := range g.poison.Avoid(now, c.print) {
			c.tried[target] = true
		}
	}
	return nil
}

// ended tells how a run of a call ended at a target. One that broke off is blamed only if the target is gone: links
// break, and targets break off, without anybody's fault.
func (g *Gateway) ended(run poison.Run, target fleet.Info, finished, broke bool) {
	switch {
	case finished:
		g.poison.Finished(time.Now(), run)
	case !broke || g.Fleet.IsLeaving(target.ID):
		g.poison.Stopped(run)
	default:
		go g.inquire(run, target)
	}
}

// inquire finds out whether a target died.
func (g *Gateway) inquire(run poison.Run, target fleet.Info) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := g.Pool.Dial(ctx, target.Addr)
	if err == nil {
		conn.Close()
		g.poison.Stopped(run)
		return
	}
	g.Log.Warn("target_died", target.ID, err)
	g.poison.Lost(time.Now(), run, 1)
}

// BlamesChanged has a value when there are blames that peers have not been told.
func (g *Gateway) BlamesChanged() <-chan struct{} { return g.poison.News() }

// Blames lists what peers should know of contents that were aboard dying targets.
func (g *Gateway) Blames() []*ownerpb.Blame {
	recs, _ := g.poison.Since(time.Now(), 0)
	if len(recs) > blamesTold {
		recs = recs[len(recs)-blamesTold:]
	}
	out := make([]*ownerpb.Blame, len(recs))
	for i, r := range recs {
		out[i] = &ownerpb.Blame{
			Fingerprint: r.Fingerprint, Death: r.Death, Level: uint32(r.Level), Newest: r.Newest, AgeMs: uint32(r.Age.Milliseconds()),
		}
	}
	return out
}

// MergeBlames takes in what a peer tells.
func (g *Gateway) MergeBlames(blames []*ownerpb.Blame) {
	if len(blames) == 0 {
		return
	}
	recs := make([]poison.Record, len(blames))
	for i, b := range blames {
		recs[i] = poison.Record{
			Fingerprint: b.Fingerprint, Death: b.Death, Level: poison.Level(b.Level), Newest: b.Newest,
			Age: time.Duration(b.AgeMs) * time.Millisecond,
		}
	}
	g.poison.Merge(time.Now(), recs)
}
