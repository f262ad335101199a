// Package loadgen sends an open-loop mix of requests to entries, measures what callers see, and checks every answer.
//
// Open loop: arrivals follow the plan whatever the system does, so that a slow system is not asked less and its worst
// moments are not left out of the figures. A plan is fixed by its seed.
package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/workload"
)

// PlainClass is what plain calls are counted under.
const PlainClass = "plain"

// Mix is what a plan is drawn from.
type Mix struct {
	Workload   workload.Mix
	Span       time.Duration
	Entries    int
	Seed       uint64
	PlainRate  float64 // calls of a plain service a second
	PlainRoute string  // path of the plain service
}

// Arrival is one request of a plan.
type Arrival struct {
	ID        string
	At        time.Duration // since the start
	Workspace string
	Class     string
	Entry     int
	Prompt    string // empty: a plain call
	Tokens    int    // of the whole answer
}

// Plain reports whether the arrival is a call of a plain service.
func (a Arrival) Plain() bool { return a.Prompt == "" }

// Scale makes a workload smaller, for one machine: load multiplies rates and backlogs, length the outputs.
func Scale(m workload.Mix, load, length float64) workload.Mix {
	m.Load *= load
	m.MaxTokens = max(1, int(float64(m.MaxTokens)*length))
	m.Workspaces = slices.Clone(m.Workspaces)
	for i := range m.Workspaces {
		m.Workspaces[i].Length *= length
	}
	m.Classes = slices.Clone(m.Classes)
	for i := range m.Classes {
		m.Classes[i].Backlog = int(float64(m.Classes[i].Backlog) * load)
		m.Classes[i].Flood = int(float64(m.Classes[i].Flood) * load)
	}
	return m
}

// Plan draws the arrivals in order of time.
func Plan(m Mix) []Arrival {
	rng := rand.New(rand.NewPCG(m.Seed, 0x6c6f6164))
	plan := plainCalls(m, rng)
	for _, r := range m.Workload.Arrivals(m.Seed, m.Span) {
		plan = append(plan, Arrival{
			ID:        fmt.Sprintf("load-%d-%d", m.Seed, r.Index),
			At:        r.At,
			Workspace: r.Workspace,
			Class:     r.Class.Name,
			Entry:     rng.IntN(m.Entries),
			Prompt:    r.Text(),
			Tokens:    r.Length,
		})
	}
	slices.SortStableFunc(plan, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// plainCalls draws a Poisson process.
func plainCalls(m Mix, rng *rand.Rand) []Arrival {
	var calls []Arrival
	at := time.Duration(0)
	for m.PlainRate > 0 {
		at += time.Duration(rng.ExpFloat64() / m.PlainRate * float64(time.Second))
		if at >= m.Span {
			break
		}
		calls = append(calls, Arrival{
			ID:        fmt.Sprintf("plain-%d-%d", m.Seed, len(calls)),
			At:        at,
			Workspace: m.Workload.Workspaces[rng.IntN(len(m.Workload.Workspaces))].Name,
			Class:     PlainClass,
			Entry:     rng.IntN(m.Entries),
		})
	}
	return calls
}
