package bench

import "anvilwick.example/anvilwick/lib/workload"

// fairness returns Jain's index over workspaces of tokens served relative to each workspace's entitlement.
func fairness(workspaces []workload.Workspace, served, requested map[string]int) float64 {
	entitled := entitlements(workspaces, served, requested)
	var sum, squares, n float64
	for _, w := range workspaces {
		if entitled[w.Name] <= 0 {
			continue
		}
		x := float64(served[w.Name]) / entitled[w.Name]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// entitlements divides all tokens served by weight. Shares that a workspace did not request go to the others (max-min fairness).
func entitlements(workspaces []workload.Workspace, served, requested map[string]int) map[string]float64 {
	left := 0.0
	for _, n := range served {
		left += float64(n)
	}
	entitled := make(map[string]float64, len(workspaces))
	open := workspaces
	for len(open) > 0 {
		next, spent := grantSatisfied(open, requested, left, entitled)
		if len(next) == len(open) {
			distribute(open, left, entitled)
			return entitled
		}
		left -= spent
		open = next
	}
	return entitled
}

// grantSatisfied grants full requests to the workspaces whose share covers them, and returns the others and the tokens granted.
func grantSatisfied(
	open []workload.Workspace, requested map[string]int, left float64, entitled map[string]float64,
) (rest []workload.Workspace, spent float64) {
	weights := totalWeight(open)
	for _, w := range open {
		request := float64(requested[w.Name])
		if request > left*w.Weight/weights {
			rest = append(rest, w)
			continue
		}
		entitled[w.Name] = request
		spent += request
	}
	return rest, spent
}

func distribute(open []workload.Workspace, left float64, entitled map[string]float64) {
	weights := totalWeight(open)
	for _, w := range open {
		entitled[w.Name] = left * w.Weight / weights
	}
}

func totalWeight(ws []workload.Workspace) float64 {
	sum := 0.0
	for _, w := range ws {
		sum += w.Weight
	}
	return sum
}
