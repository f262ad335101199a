package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFitOfExactLine(t *testing.T) {
	l := Fit([]Point{{4, 11}, {8, 19}, {16, 35}})
	must.InDelta(t, 3, l.Base, 1e-9)
	must.InDelta(t, 2, l.Slope, 1e-9)
	must.InDelta(t, 0, l.SlopeErr, 1e-9)
	must.InDelta(t, 863, l.At(430), 1e-6)
}

func TestFitReturnsStandardError(t *testing.T) {
	l := Fit([]Point{{0, 0}, {1, 2}, {2, 0}, {3, 2}})
	must.InDelta(t, 0.4, l.Slope, 1e-9)
	must.Positive(t, l.SlopeErr)
}
