package bench

import "anvilwick.example/anvilwick/lib/workload"

// fairness is Jain's index over workspaces of tokens served relative to the tokens each was entitled to.
func fairness(workspaces []workload.Workspace, served, asked map[string]int) float64 {
	due := entitled(workspaces, served, asked)
	var sum, squares, n float64
	for _, w := range workspaces {
		if due[w.Name] <= 0 {
			continue
		}
		x := float64(served[w.Name]) / due[w.Name]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// entitled shares all tokens served out by weight. What a workspace did not ask for goes to the others (max-min).
func entitled(workspaces []workload.Workspace, served, asked map[string]int) map[string]float64 {
	left := 0.0
	for _, n := range served {
		left += float64(n)
	}
	due := make(map[string]float64, len(workspaces))
	open := workspaces
	for len(open) > 0 {
		next, spent := satisfied(open, asked, left, due)
		if len(next) == len(open) {
			shareOut(open, left, due)
			return due
		}
		left -= spent
		open = next
	}
	return due
}

// satisfied gives what they asked for to the workspaces whose share covers it, and returns the others.
func satisfied(open []workload.Workspace, asked map[string]int, left float64, due map[string]float64) (rest []workload.Workspace, spent float64) {
	weights := totalWeight(open)
	for _, w := range open {
		want := float64(asked[w.Name])
		if want > left*w.Weight/weights {
			rest = append(rest, w)
			continue
		}
		due[w.Name] = want
		spent += want
	}
	return rest, spent
}

func shareOut(open []workload.Workspace, left float64, due map[string]float64) {
	weights := totalWeight(open)
	for _, w := range open {
		due[w.Name] = left * w.Weight / weights
	}
}

func totalWeight(ws []workload.Workspace) float64 {
	sum := 0.0
	for _, w := range ws {
		sum += w.Weight
	}
	return sum
}
