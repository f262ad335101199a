// Package disturb remembers which parts of a test site were under a fault, and when, so that checks can tell a failure
// that a fault explains from one that nothing does.
package disturb

import (
	"sync"
	"time"
)

// Log is a list of disturbances. The zero value is empty and safe for concurrent use.
type Log struct {
	// GracePeriod is how long after a fault its traces may still be seen.
	GracePeriod time.Duration

	mu  sync.Mutex
	all []*entry
}

type entry struct {
	subject string
	kind    string
	from    time.Time
	to      time.Time // zero: it lasts
}

// Begin notes that a subject, a process or link, is under a fault until the returned function is called.
func (l *Log) Begin(subject, kind string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := &entry{subject: subject, kind: kind, from: time.Now()}
	l.all = append(l.all, it)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		it.to = time.Now()
	}
}

// Match accepts some subjects under some kinds of fault.
type Match func(subject, kind string) bool

// AnyFaultOf accepts any fault of the subjects.
func AnyFaultOf(subjects ...string) Match {
	return func(subject, _ string) bool {
		for _, s := range subjects {
			if s == subject {
				return true
			}
		}
		return false
	}
}

// Overlaps tells whether a subject that match accepts was disturbed between from and to.
func (l *Log) Overlaps(from, to time.Time, match Match) bool {
	_, _, found := l.FirstOverlap(from, to, match)
	return found
}

// FirstOverlap is like During and names the first such disturbance.
func (l *Log) FirstOverlap(from, to time.Time, match Match) (subject, kind string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range l.all {
		ended := !it.to.IsZero() && it.to.Add(l.GracePeriod).Before(from)
		if !ended && it.from.Before(to) && match(it.subject, it.kind) {
			return it.subject, it.kind, true
		}
	}
	return "", "", false
}
