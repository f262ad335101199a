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

// Errors returned by Engines.Copy.
var (
	// ErrNoRun means that the engine has no such run: it has not begun, or has ended.
	ErrNoRun = errors.New("gateway: no such run")
	// ErrNoCapacity means that the destination lacks free memory or can't be reached by the source.
	ErrNoCapacity = errors.New("gateway: no capacity for a copy")
)

const (
	// idleCopyTime is the duration of a repeated copy below which the link counts as idle. Only then is the final copy made:
	// the run is paused while that copy queues, and a pause above the route's objective makes the response late.
	idleCopyTime = 45 * time.Millisecond
	// maxCatchUp is how long after the notice the final copy is made even on a congested link: copies expire after some seconds.
	maxCatchUp = 4 * time.Second
	// catchUpPause is the pause before a copy on a congested link is brought up to date again. At 100 tokens a second the copy
	// then lacks less than the engine reads in one or two steps.
	catchUpPause = 150 * time.Millisecond
	// maxStartDelay bounds how long a run waits for its turn on the links: engines may terminate 1.5 s after their notice.
	maxStartDelay = 1100 * time.Millisecond
	// moveTimeout is the time after the notice from which no further destination is tried.
	moveTimeout = 4 * time.Second
	// copyTimeout bounds one copy or release call.
	copyTimeout = 3 * time.Second
	// runPoll is the pause before retrying the move of a run that has no output yet or no destination.
	runPoll = 50 * time.Millisecond
	// remoteDomainCost penalises destinations outside the source's failure domain: copies to them take twice as long.
	remoteDomainCost = 0.5
)

// MoveRuns moves the runs of targets that are leaving to other engines. It returns at once. Targets of one service that
// leave together are planned together, because their runs share the links of the same destinations.
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
		if svc := t.Service(name); svc != nil && svc.Engine != nil && svc.Engine.SupportsMoves {
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

// planTimeout bounds the wait for the owners' plan. Engines may terminate 1.5 s after their notice.
const planTimeout = 250 * time.Millisecond

// planMoves plans the moves of runs: by the owners, which know the runs of all instances, or locally if they don't answer. A
// run that the owners do not know yet starts at once, to a destination that they choose then.
func (g *Gateway) planMoves(svc *routes.Service, from map[string]fleet.Info, runs []moveplan.Run) []moveplan.Step {
	leaving := make([]fleet.Info, 0, len(from))
	engines := make([]moveplan.Engine, 0, len(from))
	for _, e := range from {
		leaving = append(leaving, e)
		engines = append(engines, moveplan.Engine{ID: e.ID, Domain: e.Domain, Software: e.Software.ID})
	}
	if g.Owners == nil {
		return moveplan.Plan(runs, engines, g.destinations(svc.Name, from), linkOf(svc.Engine))
	}
	ctx, cancel := context.WithTimeout(context.Background(), planTimeout)
	defer cancel()
	planned, err := g.Owners.RequestMoves(ctx, leaving)
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

// MoveLink returns the link capacity of a service's engines; ok is false when its runs can't be moved.
func (g *Gateway) MoveLink(service string) (link moveplan.Link, ok bool) {
	t := g.table.Load()
	if t == nil {
		return moveplan.Link{}, false
	}
	svc := t.Service(service)
	if svc == nil || svc.Engine == nil || !svc.Engine.SupportsMoves {
		return moveplan.Link{}, false
	}
	return linkOf(svc.Engine), true
}

// destinations lists the engines that can receive the runs of leaving ones.
func (g *Gateway) destinations(service string, leaving map[string]fleet.Info) []moveplan.Engine {
	var out []moveplan.Engine
	for _, candidate := range g.Fleet.MoveCandidates(time.Now(), service, nil) {
		if leaving[candidate.ID].ID == "" {
			out = append(out, moveplan.Engine{ID: candidate.ID, Domain: candidate.Domain, Free: candidate.Free, Software: candidate.Software.ID})
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

// move copies a run to another engine while it continues, stops it once little is left to copy, and hands the copy over.
func (g *Gateway) move(r *run, from fleet.Info, notice time.Time, step moveplan.Step) {
	excluded := map[string]bool{from.ID: true}
	// The memory is reserved before the run's turn on the links, so that neither this instance nor its peers send new streams
	// there meanwhile: a moved run is placed ahead of all that wait on an engine, and those streams would be late.
	need := g.moveNeed(r, from, excluded)
	need.RequireMemory, need.FoundByOwner = g.Owners == nil, true // the owner's view of the destination's load is more complete
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
		if !r.provenAt(g.openCtx, from) {
			break // no engine is known to run its version
		}
		err := g.moveTo(r, from, to, notice)
		reserved = false
		g.Log.Moved(r.c.entry(), from, to, time.Since(notice), err)
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

// moveNeed returns a run's requirements on a destination.
func (g *Gateway) moveNeed(r *run, from fleet.Info, excluded map[string]bool) fleet.Need {
	return fleet.Need{
		Service: from.Service, Tokens: r.currentLoad().Tokens, Exclude: excluded, PreferredDomain: from.Domain,
		CrossDomainCost: remoteDomainCost, RequireMemory: true, Regions: g.regions(r.c), Software: r.currentTarget().Software.ID,
	}
}

// moveTo moves a run to an engine on which the caller has reserved memory. On success the reservation passes to the run.
//
// The final copy is made only over an idle link, because the run is paused while that copy queues, and only from a source that may take the
// run back if the destination rejects it. Otherwise the run continues at its source until that terminates, and then resumes from the
// copy, which lacks the output produced since it was last brought up to date: some tens of tokens, read in one step.
func (g *Gateway) moveTo(r *run, from, to fleet.Info, notice time.Time) error {
	size := fleet.Load{Tokens: r.currentReservation().tokens}
	start := time.Now()
	copied, err := g.copyRun(from, to, r.c.id, false)
	if err != nil {
		g.releaseReservation(r)
		return err
	}
	copyFrom := from.Addr + "/" + copied.Handle
	r.setPartialCopy(from, placement{target: to, load: size, copyFrom: copyFrom, kept: r.keep(copyFrom, start, to)})
	for idle := false; (!idle || g.Fleet.Evacuated(from.Domain)) && time.Since(notice) < maxCatchUp; {
		start = time.Now()
		if _, err = g.copyRun(from, to, r.c.id, false); err != nil {
			if errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity) {
				g.releasePartialCopy(r, from)
			}
			return err
		}
		r.markPartialCopyUpdated(start)
		idle = time.Since(start) < idleCopyTime
		if !idle || g.Fleet.Evacuated(from.Domain) {
			time.Sleep(catchUpPause)
		}
	}
	return g.finalCopy(r, from, to, size)
}

// finalCopy stops the run at its source, copies the remainder and hands the run over.
func (g *Gateway) finalCopy(r *run, from, to fleet.Info, size fleet.Load) error {
	if g.Fleet.Evacuated(to.Domain) {
		// Nothing may be sent to this domain any more. If the source's domain is evacuated too, a run stopped now would be lost.
		g.releasePartialCopy(r, from)
		return ErrNoCapacity
	}
	ch := r.beginHandoff(from.ID)
	if ch == nil {
		g.releasePartialCopy(r, from)
		return ErrNoRun
	}
	stopped := time.Now()
	last, err := g.copyRun(from, to, r.c.id, true)
	copyFrom := from.Addr + "/" + last.Handle
	partial, ok := r.takePartialCopy(from.ID)
	switch {
	case !ok:
		return err // the run has already resumed from the copy
	case err == nil:
		r.completeHandoff(ch, placement{target: to, load: size, copyFrom: copyFrom, kept: r.keep(copyFrom, stopped, to, from)})
		return nil
	case last.Handle != "":
		// The run has stopped, and its memory exists at the source only.
		r.completeHandoff(ch, placement{target: from, copyFrom: copyFrom, kept: r.keep(copyFrom, stopped, from), recounted: true})
	case errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity):
		r.cancelHandoff(ch)
	default:
		// The source terminated before the final copy, which also ended the run's connection.
		g.Log.Warn("last_part_lost", from.ID, err)
		r.completeHandoff(ch, partial)
		return nil
	}
	g.releaseReservation(r)
	return err
}

// runsOn reports whether the run executes on a target and is not being handed off.
func (r *run) runsOn(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && !r.waiting && r.target.ID == target && r.handoff == nil
}

// currentLoad returns the load that the run counts for on its target.
func (r *run) currentLoad() fleet.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load
}
