package gateway

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/segmentpb"
)

// poisonConfig refuses a content after the third target that died executing it. Two deaths would identify it, but targets here
// also die for other reasons, whatever they run.
var poisonConfig = poison.Config{
	Weight: 3, NewestSuspects: 2, Window: 5 * time.Minute, RefusePeriod: time.Minute, SettleTime: 300 * time.Millisecond,
	ExonerationPeriod: 10 * time.Minute, MaxSize: 1024,
}

// maxBlames bounds the records in one message to peers. Recent records are repeated in each message.
const maxBlames = 24

// fingerprint identifies a call's content, independent of its id: the same content returns after each crash, on any instance.
func (c *call) fingerprint() uint64 {
	return poison.Fingerprint(strings.Join([]string{c.workspace, c.method, c.host, c.target}, "\x00"), c.body)
}

// causes lists what a call may be refused for: the segments of its prompt, and its whole content, which is convicted as if it were a segment of its
// own.
func (c *call) causes() []uint64 { return append(slices.Clip(c.segments), c.contentHash) }

// contentProbePause is the pause before the first probe of a content, which is one more run of what has crashed three targets.
const contentProbePause = 10 * time.Second

// convictContent makes the verdict on a content one of all instances, also of those that start later, and for longer than the table of this one
// keeps it: it gets a row in the store, and probes at growing pauses.
func (g *Gateway) convictContent(c *call) {
	now := time.Now()
	g.segments.Convict(now, poison.Conviction{
		Service: c.service, Model: c.model, Segments: []uint64{c.contentHash}, Deaths: int(poisonConfig.Weight), LastDeath: now,
		ProbeAt: now.Add(contentProbePause),
	})
}

// checkPoison refuses a call whose content has killed the targets that executed it, unless it is the probe that finds out whether it still does.
func (g *Gateway) checkPoison(c *call) *refusal {
	if c.mayProbe {
		return nil
	}
	now := time.Now()
	switch v, wait := g.poison.Check(now, c.contentHash); v {
	case poison.Poisoned, poison.Settling:
		return &refusal{status: 503, after: c.boundWait(max(wait, retryAfterStream)), reason: "content_" + v.String()}
	case poison.Suspect:
		for _, target := range g.poison.TargetsToAvoid(now, c.contentHash) {
			c.tried[target] = true
		}
	}
	return nil
}

// execution is one run of a call on a target, as the tables of suspects know it.
type execution struct {
	content  poison.Run
	segments *poison.SegmentRun
}

// beginExecution records that a call is sent to a target. cancel is called if the call turns out to be one that crashes targets.
func (g *Gateway) beginExecution(c *call, target fleet.Info, cancel func()) *execution {
	segments := c.segments
	if c.probe {
		cancel, segments = func() {}, c.causes()
	}
	return &execution{
		content:  g.poison.Started(target.ID, c.contentHash),
		segments: g.segments.Begin(time.Now(), c.service, c.model, segments, cancel),
	}
}

// endExecution records how a call's execution on a target ended. A broken one is blamed on its content only if the target has
// died: connections and targets also fail for reasons unrelated to the content.
func (g *Gateway) endExecution(c *call, run *execution, x *exchange, finished, broke bool) {
	run.segments.End(time.Now())
	switch {
	case finished && x.resp.CloseDelimited():
		// The end of the connection may be the target's crash.
		go g.checkAnswered(c, run, x, time.Now())
	case finished:
		g.recordSurvival(c, run)
	case !broke || g.Fleet.IsLeaving(x.target.ID):
		g.poison.Stopped(run.content)
	default:
		go g.checkAlive(c, run, x, false)
	}
}

// checkAnswered is checkAlive for an answer that ended with its connection. A target that is heard from meanwhile needs no further check.
func (g *Gateway) checkAnswered(c *call, run *execution, x *exchange, ended time.Time) {
	time.Sleep(aliveWatch)
	if g.Fleet.LastContact(x.target.ID).After(ended.Add(lastWordsTime)) {
		g.recordSurvival(c, run)
		return
	}
	g.checkAlive(c, run, x, true)
}

// recordSurvival records that a call was completed: neither its content nor its segments crash targets.
func (g *Gateway) recordSurvival(c *call, run *execution) {
	now := time.Now()
	g.poison.Finished(now, run.content)
	run.segments.Survive(now)
	g.segments.Acquit(now, poison.Cause{Service: c.service, Model: c.model, Segment: c.contentHash})
}

// checkAlive blames the content if the target has died.
func (g *Gateway) checkAlive(c *call, run *execution, x *exchange, finished bool) {
	target := x.target
	err := g.checkDeath(target)
	now := time.Now()
	switch {
	case err != nil && g.Fleet.IsLeaving(target.ID):
		g.poison.Stopped(run.content)
		return
	case err != nil && !provesDeath(err):
		g.poison.Stopped(run.content)
		g.Log.DeathUnknown(c.entry(), target.ID, err)
		return
	case err == nil && finished:
		g.recordSurvival(c, run)
		return
	case err == nil:
		g.poison.Stopped(run.content)
		g.Log.TargetAlive(c.entry(), target.ID)
		return
	}
	g.recordDeath(now, run, target, err)
	run.segments.EngineDied(now, poison.Death{
		ID: poison.DeathID(target.ID, uint64(target.Born)), Address: poison.DeathID(target.Addr, 0), Begun: x.resp != nil,
	})
	verdict, wait := g.poison.Check(now, c.contentHash)
	g.Log.TargetDied(c.entry(), target.ID, c.contentHash, verdict, err)
	c.count(metricDeaths, "verdict", verdict.String())
	if verdict == poison.Settling {
		time.Sleep(wait)
		verdict, _ = g.poison.Check(time.Now(), c.contentHash)
	}
	if verdict == poison.Poisoned {
		g.convictContent(c)
	}
}

// recordDeath blames the contents of a target that has died. One that refuses connections has ended: a run that it received since a known death was on a
// later process, which the list may not have yet. One that closes connections may be the same process all the time.
func (g *Gateway) recordDeath(now time.Time, run *execution, target fleet.Info, cause error) {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		g.poison.TargetDied(now, run.content, uint64(target.Born))
		return
	}
	g.poison.IncarnationDied(now, run.content, uint64(target.Born))
}

// BlamesChanged receives a value when there are blames not yet sent to peers.
func (g *Gateway) BlamesChanged() <-chan struct{} { return g.poison.Updates() }

// Blames lists this instance's newest blames on contents that were executing on targets when these died, with the number of the last.
func (g *Gateway) Blames() (list []*ownerpb.Blame, seq uint64) {
	recs, seq := g.poison.Own(time.Now(), maxBlames)
	out := make([]*ownerpb.Blame, len(recs))
	for i, r := range recs {
		out[i] = &ownerpb.Blame{
			Fingerprint: r.Fingerprint, Death: r.Death, Level: uint32(r.Level), Newest: r.Newest, AgeMs: uint32(r.Age.Milliseconds()),
		}
	}
	return out, seq
}

// MergeBlames applies the blames received from a peer.
func (g *Gateway) MergeBlames(body *ownerpb.Blames) {
	blames := body.GetBlames()
	if len(blames)+len(body.GetSegments()) > 0 {
		g.Log.BlamesMerged(len(blames), len(body.GetSegments()))
	}
	if list := body.GetSegments(); len(list) > 0 {
		now := time.Now()
		g.segments.Merge(now, segmentpb.Decode(now, list))
	}
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
