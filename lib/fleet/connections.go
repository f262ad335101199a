package fleet

import "time"

// An instance may hold an equal share of the connections that a target accepts, and more while the target bears it: the balancer may hand most of
// the callers to one instance, and then the others leave their shares unused. How many are in use altogether is unknown, so the allowance grows in
// steps as long as nothing fails.
const (
	// minConns is the number of connections that an instance may always hold to a target, however many instances there are.
	minConns = 2
	// allowanceStep is the factor by which the allowance grows, at most once in allowancePause; a refused connection shows within it.
	allowanceStep  = 1.25
	allowancePause = 50 * time.Millisecond
	// maxAllowance is the largest allowance, as a share of the target's connections.
	maxAllowance = 0.75
	// allowanceTTL is how long an allowance that isn't used is kept.
	allowanceTTL = 5 * time.Second
	// allowanceCut is the factor on the connections in use to which a failure limits them, and allowanceHold how long they don't grow then.
	allowanceCut  = 0.9
	allowanceHold = 2 * time.Second
)

// allowance is the number of connections to a target that this instance may hold beyond its share.
type allowance struct {
	limit     float64 // 0: the share
	changedAt time.Time
	heldUntil time.Time
}

// mayConnect reports whether this instance may hold one more connection to a target.
func (f *Fleet) mayConnect(now time.Time, t *Target, spec *Spec) bool {
	if spec.ConnCap <= 0 {
		return true
	}
	share := max(minConns, f.share*float64(spec.ConnCap))
	open := float64(t.local.Runs)
	if open < share {
		if now.Sub(t.allowance.changedAt) >= allowanceTTL {
			t.allowance.limit = 0
		}
		return true
	}
	t.allowance.grow(now, open, share, maxAllowance*float64(spec.ConnCap))
	return open < t.allowance.limit
}

// grow raises an allowance that is used up.
func (a *allowance) grow(now time.Time, open, share, most float64) {
	limit := max(a.limit, share)
	if open < limit || now.Before(a.heldUntil) {
		return
	}
	if now.Sub(a.changedAt) >= allowanceTTL {
		a.changedAt = now // the first step waits, too
	}
	if now.Sub(a.changedAt) < allowancePause {
		return
	}
	a.limit = min(max(limit+1, limit*allowanceStep), max(share, most))
	a.changedAt = now
}

// cut reduces an allowance after a failure: the target may accept no more connections.
func (a *allowance) cut(now time.Time, open int) {
	a.limit = min(a.limit, allowanceCut*float64(open))
	a.heldUntil = now.Add(allowanceHold)
}
