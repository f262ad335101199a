package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/routes"
)

// Errors that Engines return for a copy.
var (
	// ErrNoRun says that the engine runs no such request now: it has not begun, or has ended.
	ErrNoRun = errors.New("gateway: no such run")
	// ErrNoCapacity says that the destination has no room or can't be reached by the source.
	ErrNoCapacity = errors.New("gateway: no room for a copy")
)

const (
	// idleCopyTime is the time of a repeated copy under which the link is taken to be free. The last part is sent only then:
	// the run stands still for as long as that part queues, and a pause over the route's aim makes the answer late.
	idleCopyTime = 45 * time.Millisecond
	// maxCatchUp is how long after the notice the last part is sent even on a busy link: copies are kept for some seconds only.
	maxCatchUp = 4 * time.Second
	// catchUpPause is the pause before a copy on a busy link is brought up to date again: at 100 tokens a second it then lacks
	// less than the engine reads in one step or two.
	catchUpPause = 150 * time.Millisecond
	// maxStartDelay bounds the wait for a run's turn on the links: engines may leave 1.5 s after their notice.
	maxStartDelay = 1100 * time.Millisecond
	// moveTimeout is when no further destination is tried.
	moveTimeout = 4 * time.Second
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// runPoll is the pause before asking again for a run that has not begun.
	runPoll = 50 * time.Millisecond
	// remoteDomainCost is what another failure domain than the source's costs a destination: copies take twice as long there.
	remoteDomainCost = 0.5
)

// MoveRuns moves the runs of targets that are leaving to other engines. It returns at once. Targets of one service that
// leave together are planned together: their runs share the links of the same destinations.
func (g *Gateway) MoveRuns(targets []fleet.Info) {
	t := g.table.Load()
	if t == nil {
		return
	}
	byService := make(map[string][]fleet.Info)
	for _, target := range targets {
		byService[target.Service] = append(byService[target.Service], target)
	}
	for name, leaving := range byService {
		if svc := t.Service(name); svc != nil && svc.Engine != nil && svc.Engine.Moves {
			g.moveServiceRuns(svc, leaving)
		}
	}
}

func (g *Gateway) moveServiceRuns(svc *routes.Service, targets []fleet.Info) {
	notice := time.Now()
	from := make(map[string]fleet.Info)
	localRuns := make(map[uint64]*run)
	var runs []moveplan.Run
	for _, target := range targets {
		from[target.ID] = target
		for _, r := range g.runs.onTarget(target.ID) {
			if r.staysOnLeaving() {
				continue
			}
			m := r.planRun()
			localRuns[m.ID] = r
			runs = append(runs, m)
		}
	}
	if len(runs) == 0 {
		return
	}
	go func() {
		for _, step := range g.planMoves(svc, from, runs) {
			if r := localRuns[step.Run.ID]; r != nil {
				go g.move(r, from[step.Run.From], notice, step)
			}
		}
	}()
}

// planTimeout bounds the wait for the owners' plan. Engines may leave 1.5 s after their notice.
const planTimeout = 250 * time.Millisecond

// planMoves plans the moves of runs: as the owners say, which know of the other instances' runs there, or alone. A run that
// the owners have not heard of yet goes at once, to where they find room.
func (g *Gateway) planMoves(svc *routes.Service, from map[string]fleet.Info, runs []moveplan.Run) []moveplan.Step {
	leaving := make([]fleet.Info, 0, len(from))
	engines := make([]moveplan.Engine, 0, len(from))
	for _, e := range from {
		leaving = append(leaving, e)
		engines = append(engines, moveplan.Engine{ID: e.ID, Domain: e.Domain})
	}
	if g.Owners == nil {
		return moveplan.Plan(runs, engines, g.destinations(svc.Name, from), linkOf(svc.Engine))
	}
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	planned, err := g.Owners.Plan(ctx, leaving)
	if err != nil {
		g.Log.Warn("moves_planned_alone", svc.Name, err)
		return moveplan.Plan(runs, engines, g.destinations(svc.Name, from), linkOf(svc.Engine))
	}
	stepByRun := make(map[uint64]moveplan.Step, len(planned))
	for _, step := range planned {
		stepByRun[step.Run.ID] = step
	}
	out := make([]moveplan.Step, len(runs))
	for i, r := range runs {
		step := stepByRun[r.ID]
		step.Run = r
		out[i] = step
	}
	return out
}

// MoveLink is what a service's engines' links carry; ok is false when its runs don't move.
func (g *Gateway) MoveLink(service string) (link moveplan.Link, ok bool) {
	t := g.table.Load()
	if t == nil {
		return moveplan.Link{}, false
	}
	svc := t.Service(service)
	if svc == nil || svc.Engine == nil || !svc.Engine.Moves {
		return moveplan.Link{}, false
	}
	return linkOf(svc.Engine), true
}

// destinations lists the engines that the runs of leaving ones can go to.
func (g *Gateway) destinations(service string, leaving map[string]fleet.Info) []moveplan.Engine {
	var out []moveplan.Engine
	for _, candidate := range g.Fleet.MoveCandidates(time.Now(), service, nil) {
		if leaving[candidate.ID].ID == "" {
			out = append(out, moveplan.Engine{ID: candidate.ID, Domain: candidate.Domain, Free: candidate.Free})
		}
	}
	return out
}

// crossDomainFactor is how many times longer a copy takes between failure domains.
const crossDomainFactor = 2

func linkOf(e *routes.Engine) moveplan.Link {
	if e.KVBytes <= 0 {
		return moveplan.Link{}
	}
	return moveplan.Link{TokensPerSecond: e.LinkMbps * 1e6 / 8 / e.KVBytes, CrossDomainFactor: crossDomainFactor}
}

// move copies a run to another engine while it goes on, stops it once little is left to copy, and hands the copy over.
func (g *Gateway) move(r *run, from fleet.Info, notice time.Time, step moveplan.Step) {
	excluded := map[string]bool{from.ID: true}
	// The room is booked before the run's turn on the links, so that neither this instance nor its peers send new streams
	// there meanwhile: a run that moves in goes before all that wait at an engine, and these would be late.
	need := g.moveNeed(r, from, excluded)
	need.RequireMemory, need.FoundByOwner = g.Owners == nil, true // an owner that has chosen the destination knows better what it holds
	to, reserved := g.reserveAt(r, step.To, need)
	if step.Start > 0 {
		time.Sleep(min(step.Start, maxStartDelay))
	}
	for r.runsOn(from.ID) && time.Since(notice) < moveTimeout {
		if !r.hasOutput() {
			time.Sleep(runPoll)
			continue
		}
		if !reserved {
			to, reserved = g.reserve(r, g.moveNeed(r, from, excluded))
		}
		if !reserved {
			clear(excluded)
			excluded[from.ID] = true
			time.Sleep(runPoll)
			continue
		}
		err := g.moveTo(r, from, to, notice)
		reserved = false
		g.Log.Moved(r.c.entry(), from.ID, to.ID, time.Since(notice), err)
		r.c.count(metricMoves, "moved", strconv.FormatBool(err == nil))
		switch {
		case err == nil:
			return
		case errors.Is(err, ErrNoRun):
			time.Sleep(runPoll)
		default:
			excluded[to.ID] = true
			g.discardFailedCopy(r, from)
		}
	}
	if reserved {
		g.releaseReservation(r)
	}
}

// moveNeed is what a run asks of a destination.
func (g *Gateway) moveNeed(r *run, from fleet.Info, excluded map[string]bool) fleet.Need {
	return fleet.Need{
		Service: from.Service, Tokens: r.currentLoad().Tokens, Exclude: excluded, PreferredDomain: from.Domain, CrossDomainCost: remoteDomainCost, RequireMemory: true,
		Regions: g.regions(r.c),
	}
}

// moveTo moves a run to one engine, where the caller has counted it. On success the count passes to the run.
//
// The last part is sent only over an idle link: the run stands still for as long as that part queues. On a busy link the
// run goes on at its source for as long as that lives, and then from the copy, which lacks what was made since it was
// last brought up to date: some tens of tokens, read in one step.
func (g *Gateway) moveTo(r *run, from, to fleet.Info, notice time.Time) error {
	size := fleet.Load{Tokens: r.currentReservation().tokens}
	copied, err := g.copyRun(from, to, r.c.id, false)
	if err != nil {
		g.releaseReservation(r)
		return err
	}
	r.setPartialCopy(from, placement{target: to, load: size, copyFrom: from.Addr + "/" + copied.Handle})
	for idle := false; !idle && time.Since(notice) < maxCatchUp; {
		start := time.Now()
		if _, err = g.copyRun(from, to, r.c.id, false); err != nil {
			if errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity) {
				g.releasePartialCopy(r, from)
			}
			return err
		}
		idle = time.Since(start) < idleCopyTime
		if !idle {
			time.Sleep(catchUpPause)
		}
	}
	return g.finalCopy(r, from, to, size)
}

// finalCopy stops the run at its source and hands it over with what the copy lacks.
func (g *Gateway) finalCopy(r *run, from, to fleet.Info, size fleet.Load) error {
	if g.Fleet.Evacuated(to.Domain) {
		// Nothing may be sent there any more: a run that is stopped for it would be lost where its source may get nothing either.
		g.releasePartialCopy(r, from)
		return ErrNoCapacity
	}
	ch := r.beginHandoff(from.ID)
	if ch == nil {
		g.releasePartialCopy(r, from)
		return ErrNoRun
	}
	last, err := g.copyRun(from, to, r.c.id, true)
	partial, ok := r.takePartialCopy(from.ID)
	switch {
	case !ok:
		return err // the run has gone on from the copy already
	case err == nil:
		r.completeHandoff(ch, placement{target: to, load: size, copyFrom: from.Addr + "/" + last.Handle, source: from})
		return nil
	case last.Handle != "":
		// The run has stopped, and its memory is at the source only.
		r.completeHandoff(ch, placement{target: from, copyFrom: from.Addr + "/" + last.Handle})
	case errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity):
		r.cancelHandoff(ch)
	default:
		// The source ended before the last part. The run's connection has ended with it.
		g.Log.Warn("last_part_lost", from.ID, err)
		r.completeHandoff(ch, partial)
		return nil
	}
	g.releaseReservation(r)
	return err
}

// runsOn reports whether the run is still on a target and goes on.
func (r *run) runsOn(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.target.ID == target && r.handoff == nil
}

// currentLoad is what the run counts for at its target.
func (r *run) currentLoad() fleet.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}
