package bench

import (
	"fmt"
	"slices"
)

// AblationEffect is the effect of disabling one part of anvilwick: the ratio of each figure without the part to the figure with
// it, in runs with the same seed and fault.
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
	Refused     int // additional requests refused without the part
}

// AblationEffects compares each ablation in the results with the complete policy under the same fault.
func AblationEffects(results []Result) []AblationEffect {
	var out []AblationEffect
	for i := range results {
		r := &results[i]
		if r.Without == "" {
			continue
		}
		complete := slices.IndexFunc(results, func(w Result) bool {
			return w.Deployment == r.Deployment && w.Policy == PolicyAnvilwick && w.Fault == r.Fault && w.Without == ""
		})
		if complete >= 0 {
			out = append(out, ablationEffect(r, &results[complete]))
		}
	}
	return out
}

func ablationEffect(without, complete *Result) AblationEffect {
	return AblationEffect{
		Deployment:  complete.Deployment,
		Without:     without.Without,
		Fault:       complete.Fault,
		Stall:       ratio(without.StallS, complete.StallS),
		Preemptions: ratio(float64(without.Preemptions), float64(complete.Preemptions)),
		ITL:         ratio(without.ITLP99MS, complete.ITLP99MS),
		TTFT:        ratio(without.TTFTP95MS, complete.TTFTP95MS),
		Urgent:      ratio(without.UrgentP95MS, complete.UrgentP95MS),
		Wait:        ratio(without.WaitS, complete.WaitS),
		Tokens:      ratio(without.TokensPerS, complete.TokensPerS),
		Fairness:    ratio(without.Fairness, complete.Fairness),
		OverCap:     without.OverCapTicks,
		Refused:     without.Refused - complete.Refused,
	}
}

// MedianAblationEffects returns the median of each figure over the seeds, by deployment and part in order of first appearance.
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
		out = append(out, medianAblationEffect(group))
	}
	return out
}

func medianAblationEffect(group []AblationEffect) AblationEffect {
	out := group[0]
	medianOf := func(get func(*AblationEffect) float64) float64 { return median(group, get) }
	out.Stall = medianOf(func(w *AblationEffect) float64 { return w.Stall })
	out.Preemptions = medianOf(func(w *AblationEffect) float64 { return w.Preemptions })
	out.ITL = medianOf(func(w *AblationEffect) float64 { return w.ITL })
	out.TTFT = medianOf(func(w *AblationEffect) float64 { return w.TTFT })
	out.Urgent = medianOf(func(w *AblationEffect) float64 { return w.Urgent })
	out.Wait = medianOf(func(w *AblationEffect) float64 { return w.Wait })
	out.Tokens = medianOf(func(w *AblationEffect) float64 { return w.Tokens })
	out.Fairness = medianOf(func(w *AblationEffect) float64 { return w.Fairness })
	out.OverCap = int(medianOf(func(w *AblationEffect) float64 { return float64(w.OverCap) }))
	out.Refused = int(medianOf(func(w *AblationEffect) float64 { return float64(w.Refused) }))
	return out
}

// median returns the median of one figure over a group.
func median[T any](group []T, get func(*T) float64) float64 {
	vs := make([]float64, len(group))
	for i := range group {
		vs[i] = get(&group[i])
	}
	slices.Sort(vs)
	return (vs[(len(vs)-1)/2] + vs[len(vs)/2]) / 2
}

// Line formats the effect of disabling the part.
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
