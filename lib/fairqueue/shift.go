// Package fairqueue orders streams that wait for engines, so that a few workspaces that send many do not take the capacity of the others.
//
// The load it answers: for seconds at a time more streams wait than engines have room for, and most of them are from a few workspaces.
// Ordered by deadline alone, each workspace gets capacity in proportion to what it sends. Streams therefore move in that order: those of
// workspaces that were granted less than their share lately go ahead, and of about equal ones the more urgent. The moves are bounded by a
// part of the time that a stream can wait, so that nobody is overtaken until that time is over.
//
// The package is pure: the caller passes the time in.
package fairqueue

import (
	"math"
	"time"
)

const (
	// usageShift is by how much of its wait a stream moves for each doubling of its workspace's usage relative to its share. Usage within a
	// factor of the square root of 2 counts as equal.
	usageShift = 3. / 16
	// maxDoublings bounds the doublings that count, in both directions.
	maxDoublings = 2
	// urgencyShift is by how much of its wait the least urgent stream moves back, less than for one doubling of usage.
	urgencyShift = 1. / 8
	// sizeShift is by how much of its wait a stream that takes all of an engine's memory moves ahead of a small one, and maxSizeShift the
	// most that counts.
	sizeShift    = 5. / 3
	maxSizeShift = 1. / 2
	// MaxShift is by how much of its wait a stream moves at most relative to another of its size: one that has waited so long goes ahead of
	// any that arrives from then on and can wait as long.
	MaxShift = 2*maxDoublings*usageShift + urgencyShift
)

// Waiter describes a waiting stream.
type Waiter struct {
	Workspace uint64 // 0: unknown; all such streams share an account
	Priority  int    // 0 is the most urgent
	Wait      time.Duration
	Size      float64 // share of an engine's memory that it takes
	IsRetry   bool    // the caller has returned after a refusal
}

// Urgencies is the range of priorities of the streams that wait. The zero value is the empty range.
type Urgencies struct {
	most, least int
	known       bool
}

// Include extends the range by a priority.
func (u *Urgencies) Include(priority int) {
	if !u.known {
		*u = Urgencies{most: priority, least: priority, known: true}
		return
	}
	u.most, u.least = min(u.most, priority), max(u.least, priority)
}

// rank returns 0 for the most urgent priority of the range and 1 for the least.
func (u Urgencies) rank(priority int) float64 {
	if u.least == u.most {
		return 0
	}
	return float64(priority-u.most) / float64(u.least-u.most)
}

// Shift returns by how much a stream moves in the order of deadlines; negative values move it ahead. It is 0 for all streams if all
// accounts are equal and all streams have the same priority. a may be nil: no workspace has an account.
//
// A returned stream does not move: it has its turn before it would be refused again, behind streams that can still start in time.
func Shift(a *Accounts, u Urgencies, w Waiter) time.Duration {
	if w.IsRetry {
		return 0
	}
	share := usageShift*doublings(a.Ratio(w.Workspace)) + urgencyShift*u.rank(w.Priority)
	return time.Duration(share * float64(w.Wait))
}

// IsUnequal reports whether the usage of a stream's workspace moves it.
func IsUnequal(a *Accounts, w Waiter) bool { return Shift(a, Urgencies{}, w) != 0 }

// SizeShift returns by how much a large stream moves in addition while workspaces are unequal.
//
// Small streams that go ahead take in pieces the capacity that a large one needs at once; large ones of all workspaces would be refused.
func SizeShift(w Waiter) time.Duration {
	if w.IsRetry {
		return 0
	}
	return -time.Duration(min(maxSizeShift, sizeShift*w.Size) * float64(w.Wait))
}

// doublings returns how often usage of a share of 1 must double to get to ratio, rounded and within maxDoublings.
func doublings(ratio float64) float64 {
	if ratio <= 0 {
		return -maxDoublings
	}
	return min(maxDoublings, max(-maxDoublings, math.Round(math.Log2(ratio))))
}

// Move is the direction in which a stream was moved in the order of deadlines.
type Move uint8

// Values of Move.
const (
	Unmoved Move = iota
	Ahead
	Back
)

// MoveOf returns the direction of a shift.
func MoveOf(shift time.Duration) Move {
	switch {
	case shift < 0:
		return Ahead
	case shift > 0:
		return Back
	}
	return Unmoved
}

var moveNames = [...]string{Unmoved: "no", Ahead: "ahead", Back: "back"}

// String returns the name used in metrics.
func (m Move) String() string { return moveNames[m] }
