package opsapi

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/entrymetrics"
)

// Each series of an entry must appear once. The entry's own set and the operators' port both wrote the process-wide
// metrics; a strict scraper rejects such a page, and one that sums lines counts every byte twice.
func TestEachSeriesIsWrittenOnce(t *testing.T) {
	own := entrymetrics.New()
	own.CountAttempt("completed")
	src := source()
	src.Metrics = own.Write
	resp, err := http.Get("http://" + serve(t, src) + PathMetrics)
	must.NoError(t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.StrContains(t, string(page), `anvilwick_attempts_total{reason="completed"} 1`)
	must.StrContains(t, string(page), "process_cpu_seconds_total ")
	seen := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if line[0] == '#' {
			continue
		}
		series := line[:strings.LastIndexByte(line, ' ')]
		must.False(t, seen[series], must.Sprint(series))
		seen[series] = true
	}
}

func TestReadMetrics(t *testing.T) {
	got := map[string]float64{}
	each := func(series string, v float64) { got[series] = v }
	must.NoError(t, ReadMetrics(strings.NewReader("# HELP x\nx_total{name=\"a b\"} 2.5\ny 1\n"), each))
	must.Eq(t, map[string]float64{`x_total{name="a b"}`: 2.5, "y": 1}, got)
	must.ErrorContains(t, ReadMetrics(strings.NewReader("z one\n"), each), "metric z")
}
