package gateway

import (
	"context"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// giveUpCopy gives up what a failed try has left, if the run goes on at its source. If the source has ended, the run takes
// the copy within the pause. A copy that was neither taken nor given up would count at its engine for good.
func (g *Gateway) giveUpCopy(r *run, from fleet.Info) {
	if r.copySource().ID == "" {
		return
	}
	time.Sleep(runPoll)
	if r.on(from.ID) {
		g.dropCopy(r, from)
	}
}

// earlyCopy is a copy of a run that goes on at its source.
type earlyCopy struct {
	from fleet.Info // the source; empty: there is no copy
	next next
}

// keepCopy notes a copy in case that its source ends before the last part.
func (r *run) keepCopy(from fleet.Info, n next) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.early = earlyCopy{from: from, next: n}
}

// takeCopy takes the copy made at a source, with its count; ok is false when there is none or it was taken before.
func (r *run) takeCopy(from string) (n next, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.early.from.ID == "" || r.early.from.ID != from {
		return next{}, false
	}
	n = r.early.next
	r.early = earlyCopy{}
	return n, true
}

// dropCopy gives up the copy made at a source, if the run has not gone on from it.
func (g *Gateway) dropCopy(r *run, from fleet.Info) {
	n, ok := r.takeCopy(from.ID)
	if !ok {
		return
	}
	g.unbook(r)
	_, handle, _ := strings.Cut(n.copyFrom, "/")
	go g.free(from, handle)
}

// copySource returns where the run has a copy from.
func (r *run) copySource() fleet.Info {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.early.from
}

func (g *Gateway) copyRun(from, to fleet.Info, id string, last bool) (CopyResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return g.Engines.Copy(ctx, from, to, id, last)
}

func (g *Gateway) free(from fleet.Info, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := g.Engines.ReleaseCopy(ctx, from, handle); err != nil {
		g.Log.Warn("copy_not_freed", from.ID, err)
	}
}
