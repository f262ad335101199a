package fairqueue

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// HalfLife is the time after which what a workspace was granted counts half: about as long as engines stay full.
	HalfLife = 4 * time.Second
	// MaxWorkspaces bounds the accounts.
	MaxWorkspaces = 480
	// minTokens is the decayed usage below which a workspace counts as absent.
	minTokens = 1
	// maxHalfLives bounds the exponent to which usage is scaled up before it is rescaled, far below the range of a float64.
	maxHalfLives = 64
)

// Accounts records the tokens that each workspace was granted lately. The zero value is ready for use. It is not safe for concurrent use.
//
// Usage decays by half within HalfLife. All accounts decay alike, so new usage is scaled up with time instead, and accounts can be compared
// without updating any.
type Accounts struct {
	// Weight returns the weight of a workspace's share; nil: 1 for all. It must not change while the workspace has an account.
	Weight func(workspace uint64) float64

	used    map[uint64]float64 // scaled up by 2 to the number of half-lives since epoch
	total   float64            // sum of used
	weights float64            // sum of the weights of the workspaces in used
	epoch   time.Time
}

// Charge adds granted tokens to a workspace's account.
func (a *Accounts) Charge(now time.Time, workspace uint64, tokens int) {
	if tokens <= 0 {
		return
	}
	if a.used == nil {
		a.used = make(map[uint64]float64)
	}
	granted := float64(tokens) * a.scale(now)
	if _, known := a.used[workspace]; !known {
		if len(a.used) >= MaxWorkspaces {
			a.removeSmallest()
		}
		a.weights += a.weight(workspace)
	}
	a.used[workspace] += granted
	a.total += granted
}

// Ratio returns a workspace's usage relative to its share of all usage by weight: 1 means exactly its share, 0 that it was granted nothing
// lately. It is 1 while there are no accounts.
func (a *Accounts) Ratio(workspace uint64) float64 {
	if a == nil || len(a.used) == 0 {
		return 1
	}
	used, known := a.used[workspace]
	weight, weights := a.weight(workspace), a.weights
	if !known {
		weights += weight
	}
	return used * weights / (a.total * weight)
}

// Expire removes the accounts that have decayed, and reports whether none is left.
func (a *Accounts) Expire(now time.Time) (empty bool) {
	least := minTokens * a.scale(now)
	a.total, a.weights = 0, 0
	// Sums must not depend on the order of a map, so that a simulation can be repeated.
	for _, workspace := range slices.Sorted(maps.Keys(a.used)) {
		used := a.used[workspace]
		if used < least {
			delete(a.used, workspace)
			continue
		}
		a.total += used
		a.weights += a.weight(workspace)
	}
	return len(a.used) == 0
}

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.used) }

func (a *Accounts) weight(workspace uint64) float64 {
	if a.Weight == nil {
		return 1
	}
	return a.Weight(workspace)
}

// scale returns the factor on usage charged now, and rescales all usage before it grows too large. A time before the epoch counts as the
// epoch.
func (a *Accounts) scale(now time.Time) float64 {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	halfLives := max(0, float64(now.Sub(a.epoch))/float64(HalfLife))
	if halfLives <= maxHalfLives {
		return math.Exp2(halfLives)
	}
	factor := math.Exp2(-halfLives)
	for workspace := range a.used {
		a.used[workspace] *= factor
	}
	a.total *= factor
	a.epoch = now
	return 1
}

// removeSmallest removes the account with the least usage: its workspace loses least, as it goes ahead of nearly all with or without it.
func (a *Accounts) removeSmallest() {
	var smallest uint64
	least := math.Inf(1)
	for workspace, used := range a.used {
		if used < least || used == least && workspace < smallest {
			smallest, least = workspace, used
		}
	}
	delete(a.used, smallest)
	a.total -= least
	a.weights -= a.weight(smallest)
}
