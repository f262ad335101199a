// Package replaypage makes a page of plots from the replay's comparisons. The page holds its plots and needs no other file.
package replaypage

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"regexp"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"anvilwick.example/anvilwick/lib/replay"
)

// Section is a load with how policies fared on it.
type Section struct {
	Load string
	Rows []replay.Row
}

const (
	plotWidth  = 9 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	barWidth   = 14 // points
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8">
<title>anvilwick: policies compared</title>
<style>
body { font: 15px sans-serif; margin: 2em; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
pre { background: #f4f4f4; padding: 1em; overflow-x: auto; }
</style>
<h1>Policies compared</h1>
<p>Bars are means over {{.Seeds}} seeds, lines their standard errors. The same streams come under each policy.</p>
{{range .Sections}}<h2>{{.Load}}</h2>
<div class="plots">{{range .Plots}}{{.}}{{end}}</div>
<pre>{{.Table}}</pre>
{{end}}`))

// barColor lets the lines of the errors be seen on the bars.
var barColor = color.Gray{Y: 0xb0}

type section struct {
	Load  string
	Plots []template.HTML
	Table string
}

// Write writes the page.
func Write(w io.Writer, seeds int, sections []Section) error {
	var out []section
	for _, s := range sections {
		v := section{Load: s.Load}
		for i, m := range replay.Measures {
			svg, err := bars(m.Name, s.Rows, i)
			if err != nil {
				return fmt.Errorf("replaypage: %s of %s: %w", m.Name, s.Load, err)
			}
			v.Plots = append(v.Plots, svg)
		}
		var table bytes.Buffer
		if err := replay.WriteTable(&table, s.Rows); err != nil {
			return err
		}
		v.Table = table.String()
		out = append(out, v)
	}
	return page.Execute(w, struct {
		Seeds    int
		Sections []section
	}{seeds, out})
}

// values are the bars of one measure with their errors.
type values struct {
	plotter.Values
	plotter.YErrors
}

// XY implements plotter.XYer.
func (v values) XY(i int) (x, y float64) { return float64(i), v.Values[i] }

// Len implements plotter.XYer.
func (v values) Len() int { return len(v.Values) }

// declaration is the head of an SVG file, which has no place within a page.
var declaration = regexp.MustCompile(`(?s)^.*?<svg`)

func bars(name string, rows []replay.Row, measure int) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = name
	p.Y.Min = 0
	var v values
	labels := make([]string, len(rows))
	for i, r := range rows {
		e := r.Means[measure]
		v.Values = append(v.Values, e.Mean)
		v.YErrors = append(v.YErrors, struct{ Low, High float64 }{e.Err, e.Err})
		labels[i] = r.Policy
	}
	chart, err := plotter.NewBarChart(v.Values, vg.Points(barWidth))
	if err != nil {
		return "", err
	}
	lines, err := plotter.NewYErrorBars(v)
	if err != nil {
		return "", err
	}
	chart.Color = barColor
	p.Add(chart, lines)
	p.NominalX(labels...)
	var b bytes.Buffer
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	if _, err := to.WriteTo(&b); err != nil {
		return "", err
	}
	// The SVG is the plotting library's own; labels are names of policies, which it escapes.
	return template.HTML(declaration.ReplaceAllString(b.String(), "<svg")), nil
}
