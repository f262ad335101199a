// Package faultlog records which parts of a test site were under an injected fault, and when, so that checks can distinguish
// failures caused by a fault from unexplained ones.
package faultlog

import (
	"sync"
	"time"
)

// Log is a list of injected faults. The zero value is empty; a Log is safe for concurrent use.
type Log struct {
	// GracePeriod is how long the effects of a fault may be visible after it ends.
	GracePeriod time.Duration

	mu      sync.Mutex
	entries []*entry
}

type entry struct {
	subject string
	kind    string
	from    time.Time
	to      time.Time // zero: not ended
}

// Begin records a fault of a subject (a process or a link) that lasts until end is called.
func (l *Log) Begin(subject, kind string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &entry{subject: subject, kind: kind, from: time.Now()}
	l.entries = append(l.entries, e)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.to = time.Now()
	}
}

// Match selects faults by subject and kind.
type Match func(subject, kind string) bool

// AnyFaultOf matches every kind of fault of the given subjects.
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

// Overlaps reports whether a fault selected by match was in effect between from and to.
func (l *Log) Overlaps(from, to time.Time, match Match) bool {
	_, _, found := l.FirstOverlap(from, to, match)
	return found
}

// FirstOverlap returns the first fault selected by match that was in effect between from and to.
func (l *Log) FirstOverlap(from, to time.Time, match Match) (subject, kind string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		ended := !e.to.IsZero() && e.to.Add(l.GracePeriod).Before(from)
		if !ended && e.from.Before(to) && match(e.subject, e.kind) {
			return e.subject, e.kind, true
		}
	}
	return "", "", false
}
