package replay

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func shortPattern() Pattern {
	p := Saturated()
	p.Duration = 3 * time.Second
	return p
}

// Figures depend on the seed alone, not on concurrent simulations; otherwise differences between policies could be noise.
func TestSameSeedSameFigures(t *testing.T) {
	for name, p := range Policies {
		must.Eq(t, Simulate(shortPattern(), p, 3), Simulate(shortPattern(), p, 3), must.Sprint(name))
	}
	one, err := Compare(shortPattern(), []string{"owners", "news"}, []uint64{1, 2}, 1)
	must.NoError(t, err)
	many, err := Compare(shortPattern(), []string{"owners", "news"}, []uint64{1, 2}, 4)
	must.NoError(t, err)
	must.Eq(t, one, many)
}

func TestDifferencesArePaired(t *testing.T) {
	rows, err := Compare(shortPattern(), []string{"owners", "force"}, []uint64{1, 2, 3}, 3)
	must.NoError(t, err)
	for i := range Measures {
		must.Eq(t, Estimate{}, rows[0].Diffs[i])
		must.InDelta(t, rows[1].Means[i].Mean-rows[0].Means[i].Mean, rows[1].Diffs[i].Mean, 1e-9)
	}
	must.Eq(t, Estimate{Mean: 2, Err: 1}, estimate([]float64{1, 3}))
	must.Eq(t, Estimate{Mean: 5}, estimate([]float64{5}))
	var b strings.Builder
	must.NoError(t, WriteTable(&b, rows))
	must.Eq(t, 3, strings.Count(b.String(), "\n"))
	_, err = Compare(shortPattern(), []string{"nobody"}, []uint64{1}, 1)
	must.Error(t, err)
}
