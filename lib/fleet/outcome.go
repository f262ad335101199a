package fleet

import "time"

// Outcome is how a request ended at a target.
type Outcome uint8

const (
	Served      Outcome = iota // the target responded
	Failed                     // the target responded with an error of its own, or the response broke off
	Unreachable                // the connection failed
	Refused                    // the target was full, or another target has the address
	Abandoned                  // the caller left, or the run continued elsewhere: says nothing about the target
)

// Release removes a request's load from its target and records the outcome.
func (f *Fleet) Release(now time.Time, id string, l Load, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return
	}
	t.local.add(Load{Runs: -1, Tokens: -l.Tokens, Unread: -l.Unread})
	t.recordOutcome(now, o)
}

// RecordOutcome records how a request of another instance ended.
func (f *Fleet) RecordOutcome(now time.Time, id string, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.recordOutcome(now, o)
	}
}

func (t *Target) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Served:
		t.failureShare -= failureWeight * t.failureShare
		t.avoidStep = 0
	case Failed:
		t.allowance.cut(now, t.local.Runs)
		t.failureShare += failureWeight * (1 - t.failureShare)
	case Unreachable, Refused:
		t.allowance.cut(now, t.local.Runs)
		t.failureShare += failureWeight * (1 - t.failureShare)
		t.avoidStep = min(max(2*t.avoidStep, avoidMin), avoidMax)
		t.avoidUntil = now.Add(t.avoidStep)
	case Abandoned:
	}
}

// Avoided lists the targets of a service that this instance avoids because they were unreachable or asked it to back off.
func (f *Fleet) Avoided(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, t := range f.index.targetsOf(service) {
		if now.Before(t.avoidUntil) || now.Before(t.backoffUntil) {
			out = append(out, t.ID)
		}
	}
	for _, t := range f.index.granted {
		if t.Service == service && (now.Before(t.avoidUntil) || now.Before(t.backoffUntil)) {
			out = append(out, t.ID)
		}
	}
	return out
}
