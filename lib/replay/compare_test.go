package replay

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func short() Pattern {
	l := Saturated()
	l.Duration = 3 * time.Second
	return l
}

// The same seed brings the same figures, whatever else runs beside: a difference of two policies is theirs.
func TestSameSeedSameFigures(t *testing.T) {
	for name, p := range Policies {
		must.Eq(t, Simulate(short(), p, 3), Simulate(short(), p, 3), must.Sprint(name))
	}
	one, err := Compare(short(), []string{"owners", "news"}, []uint64{1, 2}, 1)
	must.NoError(t, err)
	many, err := Compare(short(), []string{"owners", "news"}, []uint64{1, 2}, 4)
	must.NoError(t, err)
	must.Eq(t, one, many)
}

func TestDifferencesArePaired(t *testing.T) {
	rows, err := Compare(short(), []string{"owners", "force"}, []uint64{1, 2, 3}, 3)
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
	_, err = Compare(short(), []string{"nobody"}, []uint64{1}, 1)
	must.Error(t, err)
}
