package platform

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// use names what an exchange is for, in metrics.
type use string

const (
	useTxn       use = "txn"
	useOp        use = "op"
	useGet       use = "get"
	useRange     use = "range"
	useInstances use = "instances"
	useWeights   use = "weights"
	useObject    use = "object"
)

// outcomeNames label exchanges by what their answer proves.
var outcomeNames = map[fate]string{
	fateAnswered: "answered",
	fateNotSent:  "not_sent",
	fateRefused:  "refused",
	fateLost:     "lost",
}

var groupMembers = metrics.NewHistogram("anvilwick_platform_group_members")

// count records one exchange, and how long those took that reached the platform.
func (u use) count(start time.Time, err *exchangeError) {
	f := fateAnswered
	if err != nil {
		f = err.fate
	}
	name := fmt.Sprintf("anvilwick_platform_exchanges_total{use=%q,outcome=%q}", string(u), outcomeNames[f])
	metrics.GetOrCreateCounter(name).Inc()
	if f != fateNotSent {
		metrics.GetOrCreateHistogram(fmt.Sprintf("anvilwick_platform_seconds{use=%q}", string(u))).UpdateDuration(start)
	}
}

// countBudget records a use that the budget held up.
func (u use) countBudget() {
	metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_platform_over_budget_total{use=%q}", string(u))).Inc()
}
