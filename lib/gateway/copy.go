package gateway

import (
	"context"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// discardFailedCopy releases the copy left by a failed attempt if the run continues at its source. If the source has ended,
// the run takes the copy during the pause. A copy neither taken nor released would count on its engine forever.
func (g *Gateway) discardFailedCopy(r *run, source fleet.Info) {
	if r.partialCopySource().ID == "" {
		return
	}
	time.Sleep(runPoll)
	if r.runsOn(source.ID) {
		g.releasePartialCopy(r, source)
	}
}

// partialCopy is a copy of a run that still continues at its source.
type partialCopy struct {
	source    fleet.Info // empty: there is no copy
	placement placement
}

// setPartialCopy records a copy to resume from in case the source ends before the final copy.
func (r *run) setPartialCopy(source fleet.Info, n placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial = partialCopy{source: source, placement: n}
}

// markPartialCopyUpdated records that the copy holds the run as of a time, and is kept from then on.
func (r *run) markPartialCopyUpdated(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.partial.placement.kept; k != nil {
		k.updated = at
	}
}

// takePartialCopy returns and clears the copy made at a source; ok is false when there is none or it was taken before.
func (r *run) takePartialCopy(source string) (n placement, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partial.source.ID == "" || r.partial.source.ID != source {
		return placement{}, false
	}
	n = r.partial.placement
	r.partial = partialCopy{}
	return n, true
}

// releasePartialCopy releases the copy made at a source, unless the run has resumed from it.
func (g *Gateway) releasePartialCopy(r *run, source fleet.Info) {
	n, ok := r.takePartialCopy(source.ID)
	if !ok {
		return
	}
	g.releaseReservation(r)
	_, handle, _ := strings.Cut(n.copyFrom, "/")
	go g.releaseCopy(source, handle)
}

// partialCopySource returns the source of the run's partial copy.
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
