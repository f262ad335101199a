package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/routes"
)

// Names of the metrics of calls.
const (
	metricAnswer = "anvilwick_gateway_answer_seconds"        // from a call's arrival to its whole answer
	metricFirst  = "anvilwick_gateway_first_event_seconds"   // to a stream's first event
	metricSent   = "anvilwick_gateway_sent_total"            // exchanges with targets, by outcome
	metricRefuse = "anvilwick_gateway_refused_total"         // answers of our own, by reason
	metricCut    = "anvilwick_gateway_cut_total"             // streams broken off, by reason
	metricRepeat = "anvilwick_gateway_repeated_events_total" // sent by targets to callers that had them, and left out
	metricMoves  = "anvilwick_gateway_moves_total"           // moves of runs, by whether they succeeded
)

// Metrics have a workspace and a kind of route as labels. Both come from settings, never from callers, so that the
// number of series is bounded by them.

// observe adds the time since a call arrived to a histogram.
func (c *call) observe(name string) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("%s{%s}", name, c.labels())).UpdateDuration(c.arrived)
}

// observeGap adds the time between two events of a stream.
func (c *call) observeGap(d time.Duration) {
	metrics.GetOrCreateHistogram("anvilwick_gateway_gap_seconds{" + c.labels() + "}").Update(d.Seconds())
}

// count adds one to a counter of a call's outcomes.
func (c *call) count(name, label, value string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{%s,%s=%q}", name, c.labels(), label, value)).Inc()
}

func (c *call) labels() string {
	kind := "none"
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	return fmt.Sprintf("workspace=%q,kind=%q", c.workspace, kind)
}

// ExportBudget serves what is left of the budget of repeats, by service.
func (g *Gateway) ExportBudget(t *routes.Table) {
	t.Services(func(s *routes.Service) {
		name := s.Name
		metrics.GetOrCreateGauge(fmt.Sprintf("anvilwick_gateway_repeats_left{service=%q}", name), func() float64 {
			return g.Budget.Left(time.Now(), name)
		})
	})
}
