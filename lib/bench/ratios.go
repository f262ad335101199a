package bench

import (
	"fmt"
	"math"
	"strings"
)

// Objectives of anvilwick relative to the baselines in one run.
const (
	objectiveStall       = 0.4  // stall time relative to least-loaded, at most
	objectiveOracle      = 1.15 // stall time relative to the oracle, at most
	objectivePreemptions = 0.2  // preemptions relative to least-loaded, at most
	objectiveITL         = 0.7  // 99th percentile of gaps between tokens relative to least-loaded, at most
	objectiveTokens      = 0.98 // tokens per second relative to the best baseline, at least
	objectiveUrgent      = 0.3  // urgent 95th percentile of the time to the first token relative to least-loaded, at most
)

// Ratios compares anvilwick with the baselines in runs of one seed and deployment.
type Ratios struct {
	Deployment  string
	Seeds       string
	Stall       float64 // anvilwick / least-loaded
	Oracle      float64 // stall time, anvilwick / oracle
	Preemptions float64 // anvilwick / least-loaded
	ITL         float64 // anvilwick / least-loaded
	Tokens      float64 // anvilwick / best baseline
	Urgent      float64 // anvilwick / least-loaded
	Lost        int     // sum over all runs, including those with faults
	OverCap     int     // ticks, sum over all runs of anvilwick, including those with faults
}

// RatiosOf computes the ratios of a deployment; ok is false if a policy was not run.
func RatiosOf(deployment string, seed uint64, results []Result) (r Ratios, ok bool) {
	byPolicy := make(map[string]*Result)
	r = Ratios{Deployment: deployment, Seeds: fmt.Sprint(seed)}
	for i := range results {
		result := &results[i]
		if result.Deployment != deployment || result.Without != "" {
			continue
		}
		r.Lost += result.Lost
		if result.Policy == PolicyAnvilwick {
			r.OverCap += result.OverCapTicks
		}
		if result.Fault == FaultNone {
			byPolicy[result.Policy] = result
		}
	}
	for _, p := range Policies {
		if byPolicy[p] == nil {
			return r, false
		}
	}
	anvilwick, leastLoaded, oracle := byPolicy[PolicyAnvilwick], byPolicy[PolicyLeastLoaded], byPolicy[PolicyOracle]
	r.Stall = ratio(anvilwick.StallS, leastLoaded.StallS)
	r.Oracle = ratio(anvilwick.StallS, oracle.StallS)
	r.Preemptions = ratio(float64(anvilwick.Preemptions), float64(leastLoaded.Preemptions))
	r.ITL = ratio(anvilwick.ITLP99MS, leastLoaded.ITLP99MS)
	r.Tokens = ratio(anvilwick.TokensPerS, max(leastLoaded.TokensPerS, byPolicy[PolicyRoundRobin].TokensPerS))
	r.Urgent = ratio(anvilwick.UrgentP95MS, leastLoaded.UrgentP95MS)
	return r, true
}

func ratio(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 1
		}
		return math.Inf(1)
	}
	return a / b
}

// MedianRatios returns the median of each ratio over several seeds, and the sums of the counts that must be zero.
func MedianRatios(all []Ratios) Ratios {
	var seeds []string
	out := Ratios{Deployment: all[0].Deployment}
	for _, r := range all {
		seeds = append(seeds, r.Seeds)
		out.Lost += r.Lost
		out.OverCap += r.OverCap
	}
	medianOf := func(get func(*Ratios) float64) float64 { return median(all, get) }
	out.Seeds = strings.Join(seeds, ",")
	out.Stall = medianOf(func(r *Ratios) float64 { return r.Stall })
	out.Oracle = medianOf(func(r *Ratios) float64 { return r.Oracle })
	out.Preemptions = medianOf(func(r *Ratios) float64 { return r.Preemptions })
	out.ITL = medianOf(func(r *Ratios) float64 { return r.ITL })
	out.Tokens = medianOf(func(r *Ratios) float64 { return r.Tokens })
	out.Urgent = medianOf(func(r *Ratios) float64 { return r.Urgent })
	return out
}

// Missed returns the names of the objectives that are not met.
func (r *Ratios) Missed() []string {
	var out []string
	check := func(met bool, name string) {
		if !met {
			out = append(out, name)
		}
	}
	check(r.Stall <= objectiveStall, "stall")
	check(r.Oracle <= objectiveOracle, "stall_oracle")
	check(r.Preemptions <= objectivePreemptions, "preemptions")
	check(r.ITL <= objectiveITL, "itl_p99")
	check(r.Tokens >= objectiveTokens, "tokens")
	check(r.Urgent <= objectiveUrgent, "urgent_ttft")
	check(r.Lost == 0, "lost")
	check(r.OverCap == 0, "over_cap")
	return out
}

// Line formats the ratios, each with its objective.
func (r *Ratios) Line() string {
	missed := "none"
	if m := r.Missed(); len(m) > 0 {
		missed = strings.Join(m, ",")
	}
	return fmt.Sprintf("ratios deployment=%s seeds=%s stall=%.3f(aim<=%g) stall_oracle=%.2f(aim<=%g) "+
		"preemptions=%.3f(aim<=%g) itl_p99=%.3f(aim<=%g) tokens=%.3f(aim>=%g) urgent_ttft=%.3f(aim<=%g) "+
		"lost=%d(aim=0) over_cap_ticks=%d(aim=0) missed=%s",
		r.Deployment, r.Seeds, r.Stall, objectiveStall, r.Oracle, objectiveOracle,
		r.Preemptions, objectivePreemptions, r.ITL, objectiveITL, r.Tokens, objectiveTokens, r.Urgent, objectiveUrgent,
		r.Lost, r.OverCap, missed)
}
