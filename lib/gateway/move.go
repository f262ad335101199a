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
	// calmCopy is the time of a repeated copy under which the link is taken to be free. The last part is sent only then:
	// the run stands still for as long as that part queues, and a pause over the route's aim makes the answer late.
	calmCopy = 45 * time.Millisecond
	// moveBy is how long after the notice the last part is sent even on a busy link: copies are kept for some seconds only.
	moveBy = 4 * time.Second
	// catchUp is the pause before a copy on a busy link is brought up to date again: at 100 tokens a second it then lacks
	// less than the engine reads in one step or two.
	catchUp = 150 * time.Millisecond
	// maxStart bounds the wait for a run's turn on the links: engines may leave 1.5 s after their notice.
	maxStart = 1100 * time.Millisecond
	// moveGiveUp is when no further destination is tried.
	moveGiveUp = 4 * time.Second
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// runPoll is the pause before asking again for a run that has not begun.
	runPoll = 50 * time.Millisecond
	// domainWeight is what another failure domain than the source's costs a destination: copies take twice as long there.
	domainWeight = 0.5
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
			g.moveOff(svc, leaving)
		}
	}
}

func (g *Gateway) moveOff(svc *routes.Service, targets []fleet.Info) {
	notice := time.Now()
	from := make(map[string]fleet.Info)
	own := make(map[uint64]*run)
	var runs []moveplan.Run
	for _, target := range targets {
		from[target.ID] = target
		for _, r := range g.runs.on(target.ID) {
			if r.stays() {
				continue
			}
			m := r.moving()
			own[m.ID] = r
			runs = append(runs, m)
		}
	}
	if len(runs) == 0 {
		return
	}
	go func() {
		for _, step := range g.steps(svc, from, runs) {
			if r := own[step.Run.ID]; r != nil {
				go g.move(r, from[step.Run.From], notice, step)
			}
		}
	}()
}

// planTimeout bounds the wait for the owners' plan. Engines may leave 1.5 s after their notice.
const planTimeout = 250 * time.Millisecond

// steps plans the moves of runs: as the owners say, which know of the other instances' runs there, or alone. A run that
// the owners have not heard of yet goes at once, to where they find room.
func (g *Gateway) steps(svc *routes.Service, from map[string]fleet.Info, runs []moveplan.Run) []moveplan.Step {
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
	planned, err := g.Owners.RequestMoves(ctx, leaving)
	if err != nil {
		g.Log.Warn("moves_planned_alone", svc.Name, err)
		return moveplan.Plan(runs, engines, g.destinations(svc.Name, from), linkOf(svc.Engine))
	}
	told := make(map[uint64]moveplan.Step, len(planned))
	for _, step := range planned {
		told[step.Run.ID] = step
	}
	out := make([]moveplan.Step, len(runs))
	for i, r := range runs {
		step := told[r.ID]
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
	for _, room := range g.Fleet.MoveCandidates(time.Now(), service, nil) {
		if leaving[room.ID].ID == "" {
			out = append(out, moveplan.Engine{ID: room.ID, Domain: room.Domain, Free: room.Free})
		}
	}
	return out
}

// farFactor is how many times longer a copy takes between failure domains.
const farFactor = 2

func linkOf(e *routes.Engine) moveplan.Link {
	if e.KVBytes <= 0 {
		return moveplan.Link{}
	}
	return moveplan.Link{TokensPerSecond: e.LinkMbps * 1e6 / 8 / e.KVBytes, CrossDomainFactor: farFactor}
}

// move copies a run to another engine while it goes on, stops it once little is left to copy, and hands the copy over.
func (g *Gateway) move(r *run, from fleet.Info, notice time.Time, step moveplan.Step) {
	without := map[string]bool{from.ID: true}
	// The room is booked before the run's turn on the links, so that neither this instance nor its peers send new streams
	// there meanwhile: a run that moves in goes before all that wait at an engine, and these would be late.
	need := g.moveNeed(r, from, without)
	need.RequireMemory, need.FoundByOwner = g.Owners == nil, true // an owner that has chosen the destination knows better what it holds
	to, booked := g.bookAt(r, step.To, need)
	if step.Start > 0 {
		time.Sleep(min(step.Start, maxStart))
	}
	for r.on(from.ID) && time.Since(notice) < moveGiveUp {
		if !r.hasBegun() {
			time.Sleep(runPoll)
			continue
		}
		if !booked {
			to, booked = g.book(r, g.moveNeed(r, from, without))
		}
		if !booked {
			clear(without)
			without[from.ID] = true
			time.Sleep(runPoll)
			continue
		}
		err := g.moveTo(r, from, to, notice)
		booked = false
		g.Log.Moved(r.c.entry(), from.ID, to.ID, time.Since(notice), err)
		r.c.count(metricMoves, "moved", strconv.FormatBool(err == nil))
		switch {
		case err == nil:
			return
		case errors.Is(err, ErrNoRun):
			time.Sleep(runPoll)
		default:
			without[to.ID] = true
			g.giveUpCopy(r, from)
		}
	}
	if booked {
		g.unbook(r)
	}
}

// moveNeed is what a run asks of a destination.
func (g *Gateway) moveNeed(r *run, from fleet.Info, without map[string]bool) fleet.Need {
	return fleet.Need{
		Service: from.Service, Tokens: r.size().Tokens, Exclude: without, PreferredDomain: from.Domain, CrossDomainCost: domainWeight, RequireMemory: true,
		Regions: g.regions(r.c),
	}
}

// moveTo moves a run to one engine, where the caller has counted it. On success the count passes to the run.
//
// The last part is sent only over an idle link: the run stands still for as long as that part queues. On a busy link the
// run goes on at its source for as long as that lives, and then from the copy, which lacks what was made since it was
// last brought up to date: some tens of tokens, read in one step.
func (g *Gateway) moveTo(r *run, from, to fleet.Info, notice time.Time) error {
	size := fleet.Load{Tokens: r.bookedAt().tokens}
	copied, err := g.copyRun(from, to, r.c.id, false)
	if err != nil {
		g.unbook(r)
		return err
	}
	r.keepCopy(from, next{target: to, counted: size, copyFrom: from.Addr + "/" + copied.Handle})
	for calm := false; !calm && time.Since(notice) < moveBy; {
		start := time.Now()
		if _, err = g.copyRun(from, to, r.c.id, false); err != nil {
			if errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity) {
				g.dropCopy(r, from)
			}
			return err
		}
		calm = time.Since(start) < calmCopy
		if !calm {
			time.Sleep(catchUp)
		}
	}
	return g.lastPart(r, from, to, size)
}

// lastPart stops the run at its source and hands it over with what the copy lacks.
func (g *Gateway) lastPart(r *run, from, to fleet.Info, size fleet.Load) error {
	if g.Fleet.Evacuated(to.Domain) {
		// Nothing may be sent there any more: a run that is stopped for it would be lost where its source may get nothing either.
		g.dropCopy(r, from)
		return ErrNoCapacity
	}
	ch := r.stopFor(from.ID)
	if ch == nil {
		g.dropCopy(r, from)
		return ErrNoRun
	}
	last, err := g.copyRun(from, to, r.c.id, true)
	early, held := r.takeCopy(from.ID)
	switch {
	case !held:
		return err // the run has gone on from the copy already
	case err == nil:
		r.handOver(ch, next{target: to, counted: size, copyFrom: from.Addr + "/" + last.Handle, source: from})
		return nil
	case last.Handle != "":
		// The run has stopped, and its memory is at the source only.
		r.handOver(ch, next{target: from, copyFrom: from.Addr + "/" + last.Handle})
	case errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoCapacity):
		r.goOn(ch)
	default:
		// The source ended before the last part. The run's connection has ended with it.
		g.Log.Warn("last_part_lost", from.ID, err)
		r.handOver(ch, early)
		return nil
	}
	g.unbook(r)
	return err
}

// on reports whether the run is still on a target and goes on.
func (r *run) on(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended && r.target.ID == target && r.handoff == nil
}

// size is what the run counts for at its target.
func (r *run) size() fleet.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counted
}
