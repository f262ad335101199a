package ownerlink

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fairqueue"
	"anvilwick.example/anvilwick/lib/owner"
)

var (
	// waits and refusedWaits are the waits of streams decided here, by how fairness and urgency moved them in the order of deadlines.
	waits        = newWaits("anvilwick_owner_wait_seconds")
	refusedWaits = newWaits("anvilwick_owner_refused_wait_seconds")
	// keptTurns counts streams placed before others that fairness or urgency had moved further ahead.
	keptTurns = metrics.NewCounter(`anvilwick_owner_kept_turns_total`)
)

type waitsByMove [fairqueue.Back + 1]*metrics.Histogram

func newWaits(name string) (out waitsByMove) {
	for m := range out {
		out[m] = metrics.NewHistogram(fmt.Sprintf("%s{moved=%q}", name, fairqueue.Move(m)))
	}
	return out
}

// observeWait records how long a waiting request took to be decided.
func observeWait(a *owner.Answer) {
	by := &waits
	if a.Action == admit.RetryLater {
		by = &refusedWaits
	}
	by[a.Move].Update(a.Waited.Seconds())
	if a.KeptTurn {
		keptTurns.Inc()
	}
}
