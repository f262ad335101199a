// Package loadgen sends an open-loop mix of requests to entries, measures what callers observe, and checks every answer.
//
// Open loop means that requests are sent at their planned times however fast the system responds: a slow system does not
// get less load, and its worst periods are not missing from the measurements. A plan is determined by its seed.
package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/workload"
)

// PlainClass is the class under which plain calls are counted.
const PlainClass = "plain"

// Mix configures a plan.
type Mix struct {
	Workload   workload.Mix
	Span       time.Duration
	Entries    int
	Seed       uint64
	PlainRate  float64 // calls of a plain service per second
	PlainRoute string  // path of the plain service
}

// Arrival is one planned request.
type Arrival struct {
	ID        string
	At        time.Duration // since the start
	Workspace string
	Class     string
	Entry     int
	Prompt    string // empty: a call of a plain service
	Tokens    int    // length of the complete answer
}

// Plain reports whether the arrival is a call of a plain service.
func (a Arrival) Plain() bool { return a.Prompt == "" }

// Scale reduces a workload to fit one machine: load multiplies rates and backlogs, length multiplies output lengths.
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

// Plan generates the arrivals, sorted by time.
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

// plainCalls generates plain calls as a Poisson process.
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
