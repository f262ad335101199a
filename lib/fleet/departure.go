package fleet

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// Departure is why a target counts as leaving.
type Departure uint8

// The causes.
const (
	NotLeaving Departure = iota
	Announced            // by the target itself, in its entry, a response or a report
	Delisted             // its entry was removed while the list could be read: it has left, or its entry has expired
	Missing              // its entry did not return after an outage of the list
)

// isPresumed reports whether the target has not said that it leaves. An entry that it writes again proves that it does not.
func (d Departure) isPresumed() bool { return d == Delisted || d == Missing }

// String returns the name used in logs.
func (d Departure) String() string {
	return [...]string{"none", "announced", "delisted", "missing"}[d]
}

// DepartureOf returns why a target counts as leaving.
func (f *Fleet) DepartureOf(id string) Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.departure
	}
	return NotLeaving
}

// LeftTarget is an incarnation of a target that has left, as instances report it to each other.
type LeftTarget struct {
	ID        string
	Born      int64 // as in Info
	Cause     Departure
	ListedOut feed.Position // of the list that lacked its entry, unless it has announced leaving
}

// revokedBy reports whether an entry was written after the list that the notice is about.
func (l *LeftTarget) revokedBy(e *Info) bool {
	return l.Cause.isPresumed() && l.ListedOut.Before(e.Written)
}

// Left returns the notice about a target for other instances; ok is false if it does not leave.
func (f *Fleet) Left(id string) (left LeftTarget, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || t.state != Leaving {
		return LeftTarget{}, false
	}
	return t.left(), true
}

func (t *Target) left() LeftTarget {
	return LeftTarget{ID: t.ID, Born: t.Born, Cause: t.departure, ListedOut: t.listedOut}
}

// LeftSince lists the targets that announced leaving, or were removed from the list, after a time. Those whose entries are only missing are left
// out: all instances find these themselves.
func (f *Fleet) LeftSince(at time.Time) []LeftTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []LeftTarget
	f.index.leftSince(at, func(t *Target) bool {
		if t.departure != Missing {
			out = append(out, t.left())
		}
		return true
	})
	return out
}

// MarkLeft applies another instance's notice. One about an earlier incarnation than the known one, or about a list from before the known entry was
// written, is stale and ignored.
func (f *Fleet) MarkLeft(now time.Time, l LeftTarget) Change {
	if !l.Cause.isPresumed() {
		return f.MarkLeaving(now, l.ID, l.Born)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var ch Change
	t := f.targets[l.ID]
	if t == nil || l.Born != 0 && l.Born < t.Born || l.revokedBy(&t.Info) {
		return ch
	}
	f.presumeLeft(now, t, l.Cause, l.ListedOut, &ch)
	return ch
}

// SetPosition sets the position of the list whose changes are applied next.
func (f *Fleet) SetPosition(at feed.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = at
}
