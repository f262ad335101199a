// Package moveplan plans how the runs of an engine that leaves at short notice go to other engines.
//
// Several instances have runs on the engine, and its link carries one copy after another. Each instance makes the whole
// plan from what all have told and carries out its own steps, so no message is needed at the moment of the notice.
// Plans made from slightly different news differ slightly; a copy that finds the link busy or no room is then tried
// again, which costs time but breaks nothing.
package moveplan

import (
	"cmp"
	"slices"
	"time"
)

// Run is a run on the engine that leaves.
type Run struct {
	ID       uint64
	Tokens   int // of engine memory to copy
	Expected int // tokens that it is expected to add, which its destination must hold, too
}

// Engine is a possible destination.
type Engine struct {
	ID     string
	Free   int  // tokens of memory not spoken for
	Near   bool // in the failure domain of the engine that leaves
	Booked int  // runs that the plan sends there
}

// Link is what the engines' links carry.
type Link struct {
	TokensPerSecond float64 // within a failure domain
	FarFactor       float64 // how many times longer a copy takes between failure domains
}

// Step is one run's move.
type Step struct {
	Run   Run
	To    string        // id of the destination; empty: no engine has room
	Start time.Duration // after the notice
}

// stepOverhead is the time of a move beyond its bytes: two calls, and the last part.
const stepOverhead = 30 * time.Millisecond

// spread is the number of tokens of free memory that one more run sent to the same engine is worth: runs that arrive
// together slow each other's next tokens.
const spread = 2000

// Plan orders the runs and gives each a destination. Small runs go first: each is worth about the same to its caller,
// and more of them fit before the engine is gone.
func Plan(runs []Run, engines []Engine, link Link) []Step {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	steps := make([]Step, 0, len(runs))
	at := time.Duration(0)
	for _, r := range runs {
		e := destination(engines, r)
		if e == nil {
			steps = append(steps, Step{Run: r, Start: at})
			continue
		}
		e.Free -= r.Tokens + r.Expected
		e.Booked++
		steps = append(steps, Step{Run: r, To: e.ID, Start: at})
		at += link.time(r.Tokens, e.Near) + stepOverhead
	}
	return steps
}

// destination prefers engines that are near, then those with the most memory left.
func destination(engines []Engine, r Run) *Engine {
	var best *Engine
	for i := range engines {
		e := &engines[i]
		if e.Free < r.Tokens+r.Expected {
			continue
		}
		if best == nil || better(e, best) {
			best = e
		}
	}
	return best
}

func better(a, b *Engine) bool {
	if a.Near != b.Near {
		return a.Near
	}
	return a.Free-spread*a.Booked > b.Free-spread*b.Booked
}

func (l Link) time(tokens int, near bool) time.Duration {
	if l.TokensPerSecond <= 0 {
		return 0
	}
	s := float64(tokens) / l.TokensPerSecond
	if !near {
		s *= l.FarFactor
	}
	return time.Duration(s * float64(time.Second))
}
