package forecast

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/length"
)

// An engine ran out of memory although all lengths were known: a generation that ends between two grid points was last counted at the
// earlier point, and grew after it unnoticed.
func TestExactCoversEndsBetweenGridPoints(t *testing.T) {
	var grid Load
	var e Exact
	for range 10 {
		c := length.Fixed(500)
		grid.Add(Generation{Held: 100}, &c)
		e.Add(Generation{Held: 100}, 500)
	}
	test.EqOp(t, 10*(100+384), grid.Peak(0, Steps))
	test.EqOp(t, 10*(100+500), e.Peak(Grid[Steps-1]))
}

// For any batch, Peak equals a step-by-step simulation.
func TestExactMatchesSimulation(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	var e Exact
	for range 200 {
		e.Reset()
		gens := make([]activeGeneration, 1+rng.IntN(12))
		for i := range gens {
			gens[i] = activeGeneration{1 + rng.IntN(500), rng.IntN(400)}
			if i > 0 {
				e.Add(Generation{Held: gens[i].held, Output: 10}, gens[i].remaining+10)
			}
		}
		must.EqOp(t, simulatedPeak(gens, 1000), e.PeakWith(Generation{Held: gens[0].held, Output: 10}, gens[0].remaining+10))
		must.EqOp(t, simulatedPeak(gens[1:], 50), e.Peak(50))
	}
}

func simulatedPeak(gens []activeGeneration, ahead int) float64 {
	peak := 0
	for at := range ahead + 1 {
		sum := 0
		for _, g := range gens {
			if at <= g.remaining {
				sum += g.held + at
			}
		}
		peak = max(peak, sum)
	}
	return float64(peak)
}
