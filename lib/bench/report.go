package bench

import (
	"fmt"
	"strings"
)

// Line formats a result as the bench prints it.
func (r *Result) Line() string {
	var b strings.Builder
	fmt.Fprintf(&b, "bench deployment=%s policy=%s", r.Deployment, r.Policy)
	if r.Fault != FaultNone {
		fmt.Fprintf(&b, " fault=%s", r.Fault)
	}
	if r.Without != "" {
		fmt.Fprintf(&b, " without=%s", r.Without)
	}
	fmt.Fprintf(&b, " offered=%d completed=%d refused=%d lost=%d", r.Offered, r.Completed, r.Refused, r.Lost)
	fmt.Fprintf(&b, " stall_s=%.1f preemptions=%d", r.StallS, r.Preemptions)
	fmt.Fprintf(&b, " itl_p99_ms=%.1f ttft_p95_ms=%.0f", r.ITLP99MS, r.TTFTP95MS)
	fmt.Fprintf(&b, " tokens_per_s=%.0f fairness=%.3f", r.TokensPerS, r.Fairness)
	fmt.Fprintf(&b, " urgent_ttft_p95_ms=%.0f wait_s=%.0f over_cap_ticks=%d", r.UrgentP95MS, r.WaitS, r.OverCapTicks)
	return b.String()
}

// DivisionLine formats a result with the cost of dividing the decisions: messages between entries and owners, and the
// generations listed in progress messages, both per second of the run.
func (r *Result) DivisionLine() string {
	messages, items := float64(r.Messages), float64(r.Items)
	if r.Policy == PolicyPerEntry {
		messages, items = 0, 0
	}
	return fmt.Sprintf("%s messages_per_s=%.0f progress_items_per_s=%.0f", r.Line(), messages/r.EndS, items/r.EndS)
}
