package platform

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// purpose labels an exchange by its purpose in metrics.
type purpose string

const (
	useTxn       purpose = "txn"
	useOp        purpose = "op"
	useGet       purpose = "get"
	useRange     purpose = "range"
	useInstances purpose = "instances"
	useWeights   purpose = "weights"
	useObject    purpose = "object"
)

// outcomeNames are the metric labels of exchange outcomes.
var outcomeNames = map[fate]string{
	fateAnswered: "answered",
	fateNotSent:  "not_sent",
	fateRefused:  "refused",
	fateLost:     "lost",
}

var groupMembers = metrics.NewHistogram("anvilwick_platform_group_members")

// count records one exchange, and its duration if it reached the platform.
func (u purpose) count(start time.Time, err *exchangeError) {
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

// countBudget records a call that was rejected because the budget was spent.
func (u purpose) countBudget() {
	metrics.GetOrCreateCounter(fmt.Sprintf("anvilwick_platform_over_budget_total{use=%q}", string(u))).Inc()
}
