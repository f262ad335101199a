package bench

import (
	"fmt"
	"slices"
)

// AblationEffect tells what grows without one part of anvilwick: each figure without it over the figure with it, in runs of the
// same seed and fault.
type AblationEffect struct {
	Deployment  string
	Without     string
	Fault       string
	Stall       float64
	Preemptions float64
	ITL         float64
	TTFT        float64
	Urgent      float64
	Wait        float64
	Tokens      float64
	Fairness    float64
	OverCap     int // ticks over the cap without the part
	Refused     int // more requests refused without the part
}

// AblationEffects compares each ablation among the results with the whole policy under the same fault.
func AblationEffects(results []Result) []AblationEffect {
	var out []AblationEffect
	for i := range results {
		r := &results[i]
		if r.Without == "" {
			continue
		}
		whole := slices.IndexFunc(results, func(w Result) bool {
			return w.Deployment == r.Deployment && w.Policy == PolicyAnvilwick && w.Fault == r.Fault && w.Without == ""
		})
		if whole >= 0 {
			out = append(out, worthOf(r, &results[whole]))
		}
	}
	return out
}

func worthOf(without, whole *Result) AblationEffect {
	return AblationEffect{
		Deployment:  whole.Deployment,
		Without:     without.Without,
		Fault:       whole.Fault,
		Stall:       over(without.StallS, whole.StallS),
		Preemptions: over(float64(without.Preemptions), float64(whole.Preemptions)),
		ITL:         over(without.ITLP99MS, whole.ITLP99MS),
		TTFT:        over(without.TTFTP95MS, whole.TTFTP95MS),
		Urgent:      over(without.UrgentP95MS, whole.UrgentP95MS),
		Wait:        over(without.WaitS, whole.WaitS),
		Tokens:      over(without.TokensPerS, whole.TokensPerS),
		Fairness:    over(without.Fairness, whole.Fairness),
		OverCap:     without.OverCapTicks,
		Refused:     without.Refused - whole.Refused,
	}
}

// MedianAblationEffects takes the median of each figure over the seeds, by deployment and part, in order of first appearance.
func MedianAblationEffects(all []AblationEffect) []AblationEffect {
	var out []AblationEffect
	for i := range all {
		same := func(w AblationEffect) bool { return w.Deployment == all[i].Deployment && w.Without == all[i].Without }
		if slices.ContainsFunc(out, same) {
			continue
		}
		var group []AblationEffect
		for _, w := range all {
			if same(w) {
				group = append(group, w)
			}
		}
		out = append(out, medianWorth(group))
	}
	return out
}

func medianWorth(group []AblationEffect) AblationEffect {
	out := group[0]
	mid := func(get func(*AblationEffect) float64) float64 { return median(group, get) }
	out.Stall = mid(func(w *AblationEffect) float64 { return w.Stall })
	out.Preemptions = mid(func(w *AblationEffect) float64 { return w.Preemptions })
	out.ITL = mid(func(w *AblationEffect) float64 { return w.ITL })
	out.TTFT = mid(func(w *AblationEffect) float64 { return w.TTFT })
	out.Urgent = mid(func(w *AblationEffect) float64 { return w.Urgent })
	out.Wait = mid(func(w *AblationEffect) float64 { return w.Wait })
	out.Tokens = mid(func(w *AblationEffect) float64 { return w.Tokens })
	out.Fairness = mid(func(w *AblationEffect) float64 { return w.Fairness })
	out.OverCap = int(mid(func(w *AblationEffect) float64 { return float64(w.OverCap) }))
	out.Refused = int(mid(func(w *AblationEffect) float64 { return float64(w.Refused) }))
	return out
}

// median of one figure over a group.
func median[T any](group []T, get func(*T) float64) float64 {
	vs := make([]float64, len(group))
	for i := range group {
		vs[i] = get(&group[i])
	}
	slices.Sort(vs)
	return (vs[(len(vs)-1)/2] + vs[len(vs)/2]) / 2
}

// Line formats what the part is worth.
func (w *AblationEffect) Line() string {
	fault := ""
	if w.Fault != FaultNone {
		fault = " fault=" + w.Fault
	}
	return fmt.Sprintf("ablation deployment=%s without=%s%s stall=x%.2f preemptions=x%.2f itl_p99=x%.3f ttft_p95=x%.2f "+
		"urgent_ttft_p95=x%.2f wait=x%.2f tokens=x%.3f fairness=x%.3f refused=%+d over_cap_ticks=%d",
		w.Deployment, w.Without, fault, w.Stall, w.Preemptions, w.ITL, w.TTFT, w.Urgent, w.Wait, w.Tokens, w.Fairness,
		w.Refused, w.OverCap)
}
