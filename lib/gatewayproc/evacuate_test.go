package gatewayproc

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
)

// Guards against requests to a failure domain long after its evacuation was stored: just an evacuation that arrived as it was written leaves
// time, not one that was read at the start, after an outage or a restore, or that had been hidden.
func TestOnlyNewsOfEvacuationsLeaveTime(t *testing.T) {
	row := feed.Row{Key: "evacuate/z", Version: 9}
	at := feed.Position{Era: 1, Version: 8}
	for name, c := range map[string]struct {
		update feed.Update
		news   bool
	}{
		"a change":          {feed.Update{Previous: at}, true},
		"the first state":   {feed.Update{Initial: true}, false},
		"after an outage":   {feed.Update{Previous: at, Outage: time.Minute}, false},
		"after a restore":   {feed.Update{Previous: at, Restored: true}, false},
		"hidden until then": {feed.Update{Previous: feed.Position{Era: 1, Version: 9}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{fleet: fleet.New("z")}
			p.site.Evacuated = func(row feed.Row) (string, bool) { return strings.CutPrefix(row.Key, "evacuate/") }
			c.update.Rows = []feed.Row{row}
			p.evacuate(c.update)
			d, ok := p.fleet.EvacuatedFor(time.Now(), "z")
			must.True(t, ok)
			must.Eq(t, c.news, d != math.MaxInt64)
		})
	}
}
