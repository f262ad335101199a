// Package capacity measures what one node costs in processor time, memory and bytes at several sizes, and fits lines to the
// results.
//
// One machine holds sizes far below the one that the system is designed for. The slope and its standard error bound what
// may be claimed beyond the measured sizes.
package capacity

import (
	"fmt"
	"math"
)

// Point is a measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is the least-squares fit Value = Base + Slope * Size.
type Line struct {
	Base     float64
	Slope    float64
	SlopeErr float64 // standard error of Slope; 0 for two points
}

// Fit returns the least-squares line through at least two points of different sizes.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
	}
	mx, my := sx/n, sy/n
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - mx) * (p.Size - mx)
		sxy += (p.Size - mx) * (p.Value - my)
	}
	l := Line{Slope: sxy / sxx}
	l.Base = my - l.Slope*mx
	if len(points) > 2 {
		l.SlopeErr = math.Sqrt(l.residuals(points) / (n - 2) / sxx)
	}
	return l
}

func (l Line) residuals(points []Point) float64 {
	var sum float64
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		sum += d * d
	}
	return sum
}

// At returns the fitted value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// String returns base, slope and standard error in key=value form.
func (l Line) String() string {
	return fmt.Sprintf("base=%.4g slope=%.4g slope_err=%.2g", l.Base, l.Slope, l.SlopeErr)
}
