// Package moveplan plans how the runs of engines that leave at short notice move to other engines.
//
// Several instances have runs on such an engine, engines often leave together, and each link carries one copy at a time. Each instance
// computes the whole plan from the state that all instances have published and carries out its own steps, so no coordination is needed when
// the notice arrives. Plans based on slightly different states differ slightly; a copy that finds the link busy or no capacity is retried,
// which costs time but breaks nothing.
package moveplan

import (
	"cmp"
	"slices"
	"time"
)

// Run is a run on an engine that is leaving.
type Run struct {
	ID         uint64
	From       string // id of the engine
	Tokens     int    // of engine memory to copy
	Expected   int    // tokens that it is expected to add, for which its destination needs memory too
	Prefilling bool   // its prompt is still being prefilled: there is nothing to copy yet
}

// Engine is a leaving engine or a possible destination.
type Engine struct {
	ID     string
	Domain string // failure domain
	Free   int    // unreserved memory in tokens; destinations only

	Software uint64 // identifies the version of its software; a run moves only to an engine of the same one
}

// Link is the capacity of the engines' links.
type Link struct {
	TokensPerSecond   float64 // within a failure domain
	CrossDomainFactor float64 // how many times longer a copy between failure domains takes
}

// Step is the move of one run.
type Step struct {
	Run   Run
	To    string        // id of the destination; empty: no engine has enough free memory
	Start time.Duration // after the notice
}

const (
	// stepOverhead is the time of a move beyond its bytes: the catch-up copy, the last part and the calls themselves, about 10 ms each.
	// The link must be idle for them: a last part that queues behind the next run's copy stalls its stream for 0.2 to 0.5 s, which makes
	// the response late.
	stepOverhead = 60 * time.Millisecond
	// freeWeight is the value of a token of free memory at the destination, in tokens to copy: of two destinations that finish at about
	// the same time, the one with more free memory is chosen.
	freeWeight = 0.1
)

// Plan orders the runs of the leaving engines and assigns each a destination. Each link carries one copy at a time, at the source as
// well as at the destination. Small runs go first: each run is worth about the same to its caller, and more small ones fit before the
// engine is gone.
func Plan(runs []Run, leaving, engines []Engine, link Link) []Step {
	p := planner{link: link, linkFreeAt: make(map[string]time.Duration), source: make(map[string]Engine)}
	for _, e := range leaving {
		p.source[e.ID] = e
	}
	p.engines = slices.Clone(engines)
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	waiting := slices.Clone(runs)
	slices.SortFunc(waiting, compareRuns)
	steps := make([]Step, 0, len(runs))
	for len(waiting) > 0 {
		i := p.nextRun(waiting)
		steps = append(steps, p.place(waiting[i]))
		waiting = slices.Delete(waiting, i, i+1)
	}
	return steps
}

// compareRuns orders the runs on one engine: those that can be copied now first, then by size.
func compareRuns(a, b Run) int {
	if a.Prefilling != b.Prefilling {
		if b.Prefilling {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
}

type planner struct {
	link       Link
	engines    []Engine
	source     map[string]Engine        // the leaving engines
	linkFreeAt map[string]time.Duration // when an engine's link becomes free
}

// nextRun returns the index of the first run, in order, whose source link becomes free first.
func (p *planner) nextRun(waiting []Run) int {
	best := 0
	for i, r := range waiting {
		if p.linkFreeAt[r.From] < p.linkFreeAt[waiting[best].From] {
			best = i
		}
	}
	return best
}

func (p *planner) place(r Run) Step {
	var to *Engine
	var start, end, bestCost time.Duration
	source := p.source[r.From]
	for i := range p.engines {
		e := &p.engines[i]
		if e.Software != source.Software || e.Free < r.Tokens+r.Expected {
			continue
		}
		s := max(p.linkFreeAt[r.From], p.linkFreeAt[e.ID])
		finish := s + p.link.transferTime(r.Tokens, e.Domain == source.Domain)
		cost := finish - p.link.transferTime(int(freeWeight*float64(e.Free)), true)
		if to == nil || cost < bestCost {
			to, start, end, bestCost = e, s, finish, cost
		}
	}
	if to == nil {
		return Step{Run: r, Start: p.linkFreeAt[r.From]}
	}
	to.Free -= r.Tokens + r.Expected
	p.linkFreeAt[r.From] = end + stepOverhead
	p.linkFreeAt[to.ID] = end + stepOverhead
	return Step{Run: r, To: to.ID, Start: start}
}

func (l Link) transferTime(tokens int, sameDomain bool) time.Duration {
	if l.TokensPerSecond <= 0 {
		return 0
	}
	s := float64(tokens) / l.TokensPerSecond
	if !sameDomain {
		s *= l.CrossDomainFactor
	}
	return time.Duration(s * float64(time.Second))
}
