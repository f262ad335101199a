package replaypage

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/replay"
)

// The page contains a plot of each measure for each load pattern and references no external resource.
func TestPageIsSelfContained(t *testing.T) {
	pattern := replay.Saturated()
	pattern.Duration = time.Second
	rows, err := replay.Compare(pattern, []string{"owners", "news"}, []uint64{1, 2}, 2)
	must.NoError(t, err)
	var b bytes.Buffer
	must.NoError(t, Write(&b, 2, []Section{{"crowded <>", rows}, {"again", rows}}))
	page := b.String()
	must.Eq(t, 2*len(replay.Measures), strings.Count(page, "<svg"))
	must.StrContains(t, page, "crowded &lt;&gt;")
	for _, outside := range []string{"src=", "href=", "<?xml"} {
		must.StrNotContains(t, strings.ReplaceAll(page, "xlink:href=", ""), outside)
	}
}
