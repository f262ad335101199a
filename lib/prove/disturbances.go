package prove

import (
	"strings"
	"sync"
	"time"
)

// disturbance is the time in which a process or link was under a fault, until it was seen whole again.
type disturbance struct {
	subject string
	kind    string
	from    time.Time
	to      time.Time // zero: it lasts
}

// disturbances tells which failures a fault explains.
type disturbances struct {
	mu  sync.Mutex
	all []*disturbance
}

// slack is how long after a fault its traces may still be seen by a client.
const slack = 500 * time.Millisecond

func (d *disturbances) begin(subject, kind string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	it := &disturbance{subject: subject, kind: kind, from: time.Now()}
	d.all = append(d.all, it)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		it.to = time.Now()
	}
}

// during tells whether a subject that match accepts was disturbed between from and to.
func (d *disturbances) during(from, to time.Time, match func(subject, kind string) bool) bool {
	return d.which(from, to, match) != ""
}

// which is like during and names the first such fault.
func (d *disturbances) which(from, to time.Time, match func(subject, kind string) bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, it := range d.all {
		ended := !it.to.IsZero() && it.to.Add(slack).Before(from)
		if !ended && it.from.Before(to) && match(it.subject, it.kind) {
			return it.kind + " of " + class(it.subject)
		}
	}
	return ""
}

// cutsCallers matches faults that end or silence callers' connections to an entry. A planned stop does not.
func cutsCallers(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return kind != faultStop && (subject == entry || subject == "callers of "+entry)
	}
}

// stops matches a planned stop of an entry: it refuses new connections and cuts none.
func stops(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool { return kind == faultStop && subject == entry }
}

// delaysNews matches faults that keep news of the platform from an entry.
func delaysNews(entry string) func(subject, kind string) bool {
	return func(subject, _ string) bool {
		return subject == "platform" || strings.HasSuffix(subject, entry)
	}
}

// keepsDrains matches faults that keep an operator's drain from an entry: it is frozen, or its control process is dead,
// frozen or cut off. An entry that was killed or stopped must be told of drains before it serves again.
func keepsDrains(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return subject == entry && kind == faultFreeze || strings.HasSuffix(subject, "control of "+entry)
	}
}
