package gateway

import (
	"context"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// discardFailedCopy gives up what a failed try has left, if the run goes on at its source. If the source has ended, the run takes
// the copy within the pause. A copy that was neither taken nor given up would count at its engine for good.
func (g *Gateway) discardFailedCopy(r *run, from fleet.Info) {
	if r.partialCopySource().ID == "" {
		return
	}
	time.Sleep(runPoll)
	if r.runsOn(from.ID) {
		g.releasePartialCopy(r, from)
	}
}

// partialCopy is a copy of a run that goes on at its source.
type partialCopy struct {
	source    fleet.Info // the source; empty: there is no copy
	placement placement
}

// setPartialCopy notes a copy in case that its source ends before the last part.
func (r *run) setPartialCopy(from fleet.Info, n placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial = partialCopy{source: from, placement: n}
}

// takePartialCopy takes the copy made at a source, with its count; ok is false when there is none or it was taken before.
func (r *run) takePartialCopy(from string) (n placement, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partial.source.ID == "" || r.partial.source.ID != from {
		return placement{}, false
	}
	n = r.partial.placement
	r.partial = partialCopy{}
	return n, true
}

// releasePartialCopy gives up the copy made at a source, if the run has not gone on from it.
func (g *Gateway) releasePartialCopy(r *run, from fleet.Info) {
	n, ok := r.takePartialCopy(from.ID)
	if !ok {
		return
	}
	g.releaseReservation(r)
	_, handle, _ := strings.Cut(n.copyFrom, "/")
	go g.releaseCopy(from, handle)
}

// partialCopySource returns where the run has a copy from.
func (r *run) partialCopySource() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partial.source
}

func (g *Gateway) copyRun(from, to fleet.Info, id string, last bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return g.Engines.Copy(ctx, from, to, id, last)
}

func (g *Gateway) releaseCopy(from fleet.Info, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := g.Engines.ReleaseCopy(ctx, from, handle); err != nil {
		g.Log.Warn("copy_not_freed", from.ID, err)
	}
}
