package replay

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"
)

// Measure is a named figure computed from a simulation's Tally.
type Measure struct {
	Name  string
	Value func(Tally) float64
}

// Measures are the figures that Compare reports, in column order.
var Measures = []Measure{
	{"in time", Tally.Share},
	{"work in time", Tally.WorkShare},
	{"large in time", Tally.LargeShare},
	{"small senders in time", func(t Tally) float64 { return t.SmallShare() }},
	{"late", func(t Tally) float64 { return ratio(t.Late, t.Streams) }},
	{"long pause", Tally.PauseShare},
	{"sent away", func(t Tally) float64 { return ratio(t.Refused, t.Streams) }},
	{"lost", func(t Tally) float64 { return ratio(t.Lost, t.Streams) }},
	{"preempted", func(t Tally) float64 { return ratio(t.Preempted, t.Streams) }},
	{"served", Tally.served},
	{"retried", func(t Tally) float64 { return ratio(t.Retried, t.Streams) }},
	{"refused at once", func(t Tally) float64 { return ratio(t.Refusals.AtOnce, t.Retried) }},
	{"s to refusal", Tally.refusalTime},
	{"s to retry", Tally.retryTime},
	{"retry found room", Tally.roomShare},
	{"room at once", func(t Tally) float64 { return ratio(t.Refusals.RoomAtOnce, t.Refusals.Returned) }},
	{"messages a stream", func(t Tally) float64 { return ratio(t.Messages, t.Streams) }},
}

// Estimate is a mean over seeds with its standard error.
type Estimate struct{ Mean, Err float64 }

// Row holds the results of one policy under one load pattern.
type Row struct {
	Policy string
	Means  []Estimate // in the order of Measures
	Diffs  []Estimate // paired by seed with the first policy; zero for the first policy itself
}

// Compare simulates a load pattern under the named Policies with the same seeds. workers bounds the concurrent simulations;
// the figures don't depend on it.
func Compare(pattern Pattern, policies []string, seeds []uint64, workers int) ([]Row, error) {
	tallies := make([][]Tally, len(policies))
	var work sync.WaitGroup
	slots := make(chan struct{}, max(1, workers))
	for i, name := range policies {
		policy, ok := Policies[name]
		if !ok {
			return nil, fmt.Errorf("replay: unknown policy %q", name)
		}
		tallies[i] = make([]Tally, len(seeds))
		for j, seed := range seeds {
			work.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				tallies[i][j] = Simulate(pattern, policy, seed)
			})
		}
	}
	work.Wait()
	rows := make([]Row, len(policies))
	for i, name := range policies {
		rows[i] = row(name, tallies[i], tallies[0])
	}
	return rows, nil
}

func row(name string, tallies, first []Tally) Row {
	r := Row{Policy: name}
	for _, m := range Measures {
		values, diffs := make([]float64, len(tallies)), make([]float64, len(tallies))
		for i := range tallies {
			values[i] = m.Value(tallies[i])
			diffs[i] = values[i] - m.Value(first[i])
		}
		r.Means = append(r.Means, estimate(values))
		r.Diffs = append(r.Diffs, estimate(diffs))
	}
	return r
}

// estimate returns the mean of values and its standard error, which is 0 for a single value.
func estimate(values []float64) Estimate {
	n := float64(len(values))
	if n == 0 {
		return Estimate{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	e := Estimate{Mean: sum / n}
	if n < 2 {
		return e
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - e.Mean) * (v - e.Mean)
	}
	e.Err = math.Sqrt(squares / (n - 1) / n)
	return e
}

// WriteTable writes rows as a table: the mean of each measure, and its difference to the first policy with the standard error.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(tw, "policy")
	for _, m := range Measures {
		fmt.Fprintf(tw, "\t%s", m.Name)
	}
	fmt.Fprintln(tw)
	for i, r := range rows {
		fmt.Fprint(tw, r.Policy)
		for j := range Measures {
			fmt.Fprintf(tw, "\t%.4f", r.Means[j].Mean)
			if i > 0 {
				fmt.Fprintf(tw, " %+.4f (%.4f)", r.Diffs[j].Mean, r.Diffs[j].Err)
			}
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}
