// Package moveplan plans how the runs of engines that leave at short notice go to other engines.
//
// Several instances have runs on such an engine, engines often leave together, and a link carries one copy after another.
// Each instance makes the whole plan from what all have told and carries out its own steps, so no message is needed at
// the moment of the notice. Plans made from slightly different news differ slightly; a copy that finds the link busy or
// no room is then tried again, which costs time but breaks nothing.
package moveplan

import (
	"cmp"
	"slices"
	"time"
)

// Run is a run on an engine that leaves.
type Run struct {
	ID         uint64
	From       string // id of the engine
	Tokens     int    // of engine memory to copy
	Expected   int    // tokens that it is expected to add, which its destination must hold, too
	Prefilling bool   // its prompt is still being read: there is nothing to copy yet
}

// Engine is one that leaves, or a possible destination.
type Engine struct {
	ID     string
	Domain string // failure domain
	Free   int    // tokens of memory not spoken for; of a destination
}

// Link is what the engines' links carry.
type Link struct {
	TokensPerSecond   float64 // within a failure domain
	CrossDomainFactor float64 // how many times longer a copy takes between failure domains
}

// Step is one run's move.
type Step struct {
	Run   Run
	To    string        // id of the destination; empty: no engine has room
	Start time.Duration // after the notice
}

const (
	// stepOverhead is the time of a move beyond its bytes: the catch-up copy, the last part and the calls themselves, some
	// 10 ms each. The link must be idle for them: a last part that queues behind the next run's copy stops its stream for
	// 0.2 to 0.5 s, which makes the answer late.
	stepOverhead = 60 * time.Millisecond
	// roomWeight is what a token of memory left at the destination is worth, in tokens to copy: of two that are about
	// equally soon, the one with more room is taken.
	roomWeight = 0.1
)

// Plan orders the runs of the leaving engines and gives each a destination. On each link one copy follows another, at
// the source as well as at the destination. Small runs go first: each is worth about the same to its caller, and more of
// them fit before the engine is gone.
func Plan(runs []Run, leaving, engines []Engine, link Link) []Step {
	p := planner{link: link, free: make(map[string]time.Duration), domain: make(map[string]string)}
	for _, e := range leaving {
		p.domain[e.ID] = e.Domain
	}
	p.engines = slices.Clone(engines)
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	waiting := slices.Clone(runs)
	slices.SortFunc(waiting, before)
	steps := make([]Step, 0, len(runs))
	for len(waiting) > 0 {
		i := p.soonest(waiting)
		steps = append(steps, p.step(waiting[i]))
		waiting = slices.Delete(waiting, i, i+1)
	}
	return steps
}

// before is the order of runs on one engine: what can be copied now, then small ones.
func before(a, b Run) int {
	if a.Prefilling != b.Prefilling {
		if b.Prefilling {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
}

type planner struct {
	link    Link
	engines []Engine
	domain  map[string]string        // of leaving engines
	free    map[string]time.Duration // when a link is free, by engine
}

// soonest returns the first run, in order, of the source whose link is free first.
func (p *planner) soonest(waiting []Run) int {
	best := 0
	for i, r := range waiting {
		if p.free[r.From] < p.free[waiting[best].From] {
			best = i
		}
	}
	return best
}

func (p *planner) step(r Run) Step {
	var to *Engine
	var start, end, least time.Duration
	for i := range p.engines {
		e := &p.engines[i]
		if e.Free < r.Tokens+r.Expected {
			continue
		}
		s := max(p.free[r.From], p.free[e.ID])
		f := s + p.link.time(r.Tokens, e.Domain == p.domain[r.From])
		cost := f - p.link.time(int(roomWeight*float64(e.Free)), true)
		if to == nil || cost < least {
			to, start, end, least = e, s, f, cost
		}
	}
	if to == nil {
		return Step{Run: r, Start: p.free[r.From]}
	}
	to.Free -= r.Tokens + r.Expected
	p.free[r.From] = end + stepOverhead
	p.free[to.ID] = end + stepOverhead
	return Step{Run: r, To: to.ID, Start: start}
}

func (l Link) time(tokens int, near bool) time.Duration {
	if l.TokensPerSecond <= 0 {
		return 0
	}
	s := float64(tokens) / l.TokensPerSecond
	if !near {
		s *= l.CrossDomainFactor
	}
	return time.Duration(s * float64(time.Second))
}
