package member

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

var (
	deaths      = metrics.NewCounter(`anvilwick_member_deaths_total`)
	refutations = metrics.NewCounter(`anvilwick_member_refutations_total`)
)

// changedMembers returns the members of v whose incarnation, state or leaving differs from old.
func changedMembers(old, v *View) []Member {
	var out []Member
	for _, m := range v.Members {
		before, known := old.Get(m.Instance)
		same := before.Incarnation == m.Incarnation && before.State == m.State && before.Leaving == m.Leaving
		if !known || !same {
			out = append(out, m)
		}
	}
	return out
}

// logChanges logs and counts the changes between two views.
func logChanges(old, v *View) {
	for _, m := range changedMembers(old, v) {
		if m.State == Dead {
			deaths.Inc()
		}
		log.Info().Str("event", "member_changed").Str("instance", m.Instance).Uint64("incarnation", m.Incarnation).
			Str("state", m.State.String()).Bool("leaving", m.Leaving).Str("failure_domain", m.FailureDomain).Msg("")
	}
	if v.Self.Refutation > old.Self.Refutation {
		refutations.Inc()
		log.Warn().Str("event", "member_refuted").Str("instance", v.Self.Instance).Msg("")
	}
	if v.Replaced && !old.Replaced {
		log.Warn().Str("event", "member_replaced").Str("instance", v.Self.Instance).Uint64("incarnation", v.Self.Incarnation).Msg("")
	}
}
