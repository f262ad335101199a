package ownerlink

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fairqueue"
	"anvilwick.example/anvilwick/lib/owner"
)

// The series of waits have a fixed number of labels, none of them a workspace.
func TestWaitsAreObservedByMove(t *testing.T) {
	before := keptTurns.Get()
	observeWait(&owner.Answer{Action: admit.Admit, Move: fairqueue.Back, Waited: time.Second, KeptTurn: true})
	observeWait(&owner.Answer{Action: admit.RetryLater, Move: fairqueue.Back, Waited: time.Second})
	must.Eq(t, before+1, keptTurns.Get())
	var page strings.Builder
	metrics.WritePrometheus(&page, false)
	must.StrContains(t, page.String(), `anvilwick_owner_wait_seconds_count{moved="back"}`)
	must.StrContains(t, page.String(), `anvilwick_owner_refused_wait_seconds_count{moved="back"}`)
}
