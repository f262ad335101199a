package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/routes"
)

// Metrics of calls.
const (
	metricAnswer = "anvilwick_gateway_answer_seconds"        // from a call's arrival to its complete response
	metricFirst  = "anvilwick_gateway_first_event_seconds"   // from a call's arrival to its stream's first event
	metricSent   = "anvilwick_gateway_sent_total"            // exchanges with targets, by outcome
	metricRefuse = "anvilwick_gateway_refused_total"         // responses of the gateway itself, by reason
	metricCut    = "anvilwick_gateway_cut_total"             // aborted streams, by reason
	metricRepeat = "anvilwick_gateway_repeated_events_total" // events dropped because the caller had them
	metricDeaths = "anvilwick_gateway_target_deaths_total"   // calls that were on a target when it died, by the verdict on their content
	metricMoves  = "anvilwick_gateway_moves_total"           // moves of runs, by success
)

// requestBodyBytes is the size of the bodies of open calls, as far as they have arrived.
var requestBodyBytes = metrics.NewCounter(`anvilwick_gateway_request_body_bytes`)

// OpenRequests returns the number of requests of callers that are being served.
func (g *Gateway) OpenRequests() int64 { return g.openRequests.Load() }

// BodyBytes returns the size of the bodies of open calls, as far as they have arrived.
func (g *Gateway) BodyBytes() int64 { return int64(requestBodyBytes.Get()) }

// The metrics of calls are labelled by workspace and kind of route. Both come from settings, never from callers, which bounds
// the number of series.

// observe adds the time since the call's arrival to a histogram.
func (c *call) observe(name string) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("%s{%s}", name, c.labels())).UpdateDuration(c.arrived)
}

// observeGap adds the time between two events of a stream.
func (c *call) observeGap(d time.Duration) {
	metrics.GetOrCreateHistogram("anvilwick_gateway_gap_seconds{" + c.labels() + "}").Update(d.Seconds())
}

// count increments a counter of a call's outcomes.
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

// ExportBudget registers gauges of the remaining retry budget of each service.
func (g *Gateway) ExportBudget(t *routes.Table) {
	t.EachService(func(s *routes.Service) {
		name := s.Name
		metrics.GetOrCreateGauge(fmt.Sprintf("anvilwick_gateway_repeats_left{service=%q}", name), func() float64 {
			return g.Budget.Remaining(time.Now(), name)
		})
	})
}
