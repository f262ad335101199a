package bench

import (
	"fmt"
	"math"
	"strings"
)

// Aims of anvilwick against the baselines in one run.
const (
	aimStall       = 0.4  // of least-loaded, at most
	aimOracle      = 1.15 // stall time of the oracle's, at most
	aimPreemptions = 0.2  // of least-loaded, at most
	aimITL         = 0.7  // 99th percentile between tokens of least-loaded, at most
	aimTokens      = 0.98 // tokens a second of the best baseline, at least
	aimUrgent      = 0.3  // urgent 95th percentile to the first token of least-loaded, at most
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
	Lost        int     // over all runs, faults too
	OverCap     int     // ticks, over all runs of anvilwick, faults too
}

// RatiosOf works the ratios of a deployment out; ok is false when a policy was not run.
func RatiosOf(deployment string, seed uint64, results []Result) (r Ratios, ok bool) {
	byPolicy := make(map[string]*Result)
	r = Ratios{Deployment: deployment, Seeds: fmt.Sprint(seed)}
	for i := range results {
		one := &results[i]
		if one.Deployment != deployment || one.Without != "" {
			continue
		}
		r.Lost += one.Lost
		if one.Policy == PolicyAnvilwick {
			r.OverCap += one.OverCapTicks
		}
		if one.Fault == FaultNone {
			byPolicy[one.Policy] = one
		}
	}
	for _, p := range Policies {
		if byPolicy[p] == nil {
			return r, false
		}
	}
	ours, least, oracle := byPolicy[PolicyAnvilwick], byPolicy[PolicyLeastLoaded], byPolicy[PolicyOracle]
	r.Stall = over(ours.StallS, least.StallS)
	r.Oracle = over(ours.StallS, oracle.StallS)
	r.Preemptions = over(float64(ours.Preemptions), float64(least.Preemptions))
	r.ITL = over(ours.ITLP99MS, least.ITLP99MS)
	r.Tokens = over(ours.TokensPerS, max(least.TokensPerS, byPolicy[PolicyRoundRobin].TokensPerS))
	r.Urgent = over(ours.UrgentP95MS, least.UrgentP95MS)
	return r, true
}

func over(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 1
		}
		return math.Inf(1)
	}
	return a / b
}

// MedianRatios takes the median of each ratio over several seeds, and the sums of what must be zero.
func MedianRatios(all []Ratios) Ratios {
	var seeds []string
	out := Ratios{Deployment: all[0].Deployment}
	for _, r := range all {
		seeds = append(seeds, r.Seeds)
		out.Lost += r.Lost
		out.OverCap += r.OverCap
	}
	mid := func(get func(*Ratios) float64) float64 { return median(all, get) }
	out.Seeds = strings.Join(seeds, ",")
	out.Stall = mid(func(r *Ratios) float64 { return r.Stall })
	out.Oracle = mid(func(r *Ratios) float64 { return r.Oracle })
	out.Preemptions = mid(func(r *Ratios) float64 { return r.Preemptions })
	out.ITL = mid(func(r *Ratios) float64 { return r.ITL })
	out.Tokens = mid(func(r *Ratios) float64 { return r.Tokens })
	out.Urgent = mid(func(r *Ratios) float64 { return r.Urgent })
	return out
}

// Missed names the aims that the ratios fall short of.
func (r *Ratios) Missed() []string {
	var out []string
	note := func(met bool, name string) {
		if !met {
			out = append(out, name)
		}
	}
	note(r.Stall <= aimStall, "stall")
	note(r.Oracle <= aimOracle, "stall_oracle")
	note(r.Preemptions <= aimPreemptions, "preemptions")
	note(r.ITL <= aimITL, "itl_p99")
	note(r.Tokens >= aimTokens, "tokens")
	note(r.Urgent <= aimUrgent, "urgent_ttft")
	note(r.Lost == 0, "lost")
	note(r.OverCap == 0, "over_cap")
	return out
}

// Line formats the ratios, each with its aim.
func (r *Ratios) Line() string {
	missed := "none"
	if m := r.Missed(); len(m) > 0 {
		missed = strings.Join(m, ",")
	}
	return fmt.Sprintf("ratios deployment=%s seeds=%s stall=%.3f(aim<=%g) stall_oracle=%.2f(aim<=%g) "+
		"preemptions=%.3f(aim<=%g) itl_p99=%.3f(aim<=%g) tokens=%.3f(aim>=%g) urgent_ttft=%.3f(aim<=%g) "+
		"lost=%d(aim=0) over_cap_ticks=%d(aim=0) missed=%s",
		r.Deployment, r.Seeds, r.Stall, aimStall, r.Oracle, aimOracle,
		r.Preemptions, aimPreemptions, r.ITL, aimITL, r.Tokens, aimTokens, r.Urgent, aimUrgent,
		r.Lost, r.OverCap, missed)
}
