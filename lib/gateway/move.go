package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/routes"
)

// Errors that Engines return for a copy.
var (
	// ErrNoRun says that the engine runs no such request now: it has not begun, or has ended.
	ErrNoRun = errors.New("gateway: no such run")
	// ErrNoRoom says that the destination has no room or can't be reached by the source.
	ErrNoRoom = errors.New("gateway: no room for a copy")
)

const (
	// calmCopy is the time of a repeated copy under which the link is taken to be free. The last part is sent only then:
	// the run stands still for as long as that part queues, and a pause over the route's aim makes the answer late.
	calmCopy = 45 * time.Millisecond
	// moveBy is how long after the notice the last part is sent even on a busy link: engines may leave soon after.
	moveBy = 1100 * time.Millisecond
	// moveGiveUp is when no further destination is tried.
	moveGiveUp = 4 * time.Second
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	// runPoll is the pause before asking again for a run that has not begun.
	runPoll = 50 * time.Millisecond
	// domainWeight is what another failure domain than the source's costs a destination: copies take twice as long there.
	domainWeight = 0.5
)

// runTable finds the runs on a target.
type runTable struct {
	mu   sync.Mutex
	runs map[string]map[*run]bool
}

func newRunTable() runTable { return runTable{runs: make(map[string]map[*run]bool)} }

func (t *runTable) add(target string, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[target] == nil {
		t.runs[target] = make(map[*run]bool)
	}
	t.runs[target][r] = true
}

func (t *runTable) remove(target string, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs[target], r)
	if len(t.runs[target]) == 0 {
		delete(t.runs, target)
	}
}

func (t *runTable) on(target string) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*run, 0, len(t.runs[target]))
	for r := range t.runs[target] {
		out = append(out, r)
	}
	return out
}

// Evacuate moves the runs of a target that is leaving to other engines. others are the runs that peers have there. It
// returns at once.
func (g *Gateway) Evacuate(target fleet.Info, others []moveplan.Run) {
	t := g.table.Load()
	if t == nil {
		return
	}
	svc := t.Service(target.Service)
	if svc == nil || svc.Engine == nil || !svc.Engine.Moves {
		return
	}
	notice := time.Now()
	own := make(map[uint64]*run)
	runs := others
	for _, r := range g.runs.on(target.ID) {
		m := r.news()
		own[m.ID] = r
		runs = append(runs, m)
	}
	for _, step := range moveplan.Plan(runs, g.destinations(target), linkOf(svc.Engine)) {
		if r := own[step.Run.ID]; r != nil {
			go g.move(r, target, notice, step)
		}
	}
}

// destinations lists the engines that a leaving one's runs can go to.
func (g *Gateway) destinations(from fleet.Info) []moveplan.Engine {
	var out []moveplan.Engine
	for _, room := range g.Fleet.Rooms(from.Service) {
		if room.ID != from.ID {
			out = append(out, moveplan.Engine{ID: room.ID, Free: room.Free, Near: room.Domain == from.Domain})
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
	return moveplan.Link{TokensPerSecond: e.LinkMbps * 1e6 / 8 / e.KVBytes, FarFactor: farFactor}
}

// move copies a run to another engine while it goes on, stops it once little is left to copy, and hands the copy over.
func (g *Gateway) move(r *run, from fleet.Info, notice time.Time, step moveplan.Step) {
	if step.Start > 0 {
		time.Sleep(min(step.Start, moveBy))
	}
	without := map[string]bool{from.ID: true}
	first := step.To
	for r.on(from.ID) && time.Since(notice) < moveGiveUp {
		need := fleet.Need{
			Service: from.Service, Tokens: r.size().Tokens, Without: without, Near: from.Domain, AwayCost: domainWeight, Must: true,
		}
		to, ok := g.Fleet.AcquireAt(first, need)
		first = ""
		if !ok {
			to, ok = g.Fleet.Acquire(time.Now(), need)
		}
		if !ok {
			clear(without)
			without[from.ID] = true
			time.Sleep(runPoll)
			continue
		}
		err := g.moveTo(r, from, to, need.Tokens, notice)
		g.Log.Moved(r.c.entry(), from.ID, to.ID, time.Since(notice), err)
		r.c.count(metricMoves, "moved", strconv.FormatBool(err == nil))
		switch {
		case err == nil:
			return
		case errors.Is(err, ErrNoRun):
			time.Sleep(runPoll)
		default:
			without[to.ID] = true
		}
	}
}

// earlyCopy is a copy of a run that goes on at its source.
type earlyCopy struct {
	from string // id of the source; empty: there is no copy
	next next
	used bool // the source has ended, and the run goes on from it
}

// keepCopy notes a copy in case that its source ends before the last part.
func (r *run) keepCopy(from, to fleet.Info, handle string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.early = earlyCopy{from: from.ID, next: next{target: to, copyFrom: from.Addr + "/" + handle}}
}

// forgetCopy ends that, and reports whether the run goes on from the copy.
func (r *run) forgetCopy() (used bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	used = r.early.used
	r.early = earlyCopy{}
	return used
}

// fromEarlyCopy says how to go on after an engine ended in the middle of a move. The copy lacks what was made since; that
// is read again, a few tokens.
func (r *run) fromEarlyCopy(from string) (next, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.early.from != from || r.early.used {
		return next{}, false
	}
	r.early.used = true
	return r.early.next, true
}

// moveTo moves a run to one engine, where the caller has counted it. On success the count passes to the run.
func (g *Gateway) moveTo(r *run, from, to fleet.Info, tokens int, notice time.Time) (err error) {
	size := fleet.Load{Tokens: tokens}
	defer func() {
		if err != nil {
			g.Fleet.Release(time.Now(), to.ID, size, fleet.Abandoned)
		}
	}()
	copied, err := g.copyRun(from, to, r.c.id, false)
	if err != nil {
		return err
	}
	r.keepCopy(from, to, copied.Handle)
	defer func() {
		if err == nil || errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoRoom) {
			r.forgetCopy()
		}
	}()
	for time.Since(notice) < moveBy {
		start := time.Now()
		if copied, err = g.copyRun(from, to, r.c.id, false); err != nil {
			return err
		}
		if time.Since(start) < calmCopy {
			break
		}
	}
	ch := r.stopFor(from.ID)
	if ch == nil {
		if !r.forgetCopy() {
			g.free(from, copied.Handle)
		}
		return ErrNoRun
	}
	last, err := g.copyRun(from, to, r.c.id, true)
	switch {
	case err == nil:
		ch <- next{target: to, counted: size, copyFrom: from.Addr + "/" + last.Handle, source: from}
	case last.Handle != "":
		// The run has stopped, and its memory is at the source only.
		ch <- next{target: from, copyFrom: from.Addr + "/" + last.Handle}
	case errors.Is(err, ErrNoRun) || errors.Is(err, ErrNoRoom):
		r.goOn()
	default:
		// The source ended before the last part. The run's connection has ended with it.
		g.Log.Warn("last_part_lost", from.ID, err)
		ch <- next{target: to, counted: size, copyFrom: from.Addr + "/" + copied.Handle}
		return nil
	}
	return err
}

func (g *Gateway) copyRun(from, to fleet.Info, id string, last bool) (Moved, error) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return g.Engines.Copy(ctx, from, to, id, last)
}

func (g *Gateway) free(from fleet.Info, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := g.Engines.Free(ctx, from, handle); err != nil {
		g.Log.Warn("copy_not_freed", from.ID, err)
	}
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

// stopFor tells the run that its stream is about to be stopped, and returns where the copy is to be handed over; nil
// when the run is no longer there.
func (r *run) stopFor(target string) chan<- next {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.target.ID != target || r.handoff != nil {
		return nil
	}
	r.handoff = make(chan next, 1)
	return r.handoff
}

// goOn takes stopFor back: the engine says that it did not stop the run.
func (r *run) goOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handoff = nil
}
