package fleet

import "time"

// Outcome is how a request ended at a target.
type Outcome uint8

const (
	Served      Outcome = iota // it answered
	Failed                     // it answered with a failure of its own, or broke off
	Unreachable                // no connection could be made
	Refused                    // it was full, or another target has the address
	Abandoned                  // the caller left, or the run went on elsewhere: says nothing of the target
)

// Release takes a request off a target and learns from its outcome.
func (f *Fleet) Release(now time.Time, id string, l Load, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return
	}
	t.own.add(Load{Runs: -1, Tokens: -l.Tokens, Unread: -l.Unread})
	t.learn(now, o)
}

// RecordOutcome takes in how a request of another instance ended.
func (f *Fleet) RecordOutcome(now time.Time, id string, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.learn(now, o)
	}
}

func (t *Target) learn(now time.Time, o Outcome) {
	switch o {
	case Served:
		t.fails -= failStep * t.fails
		t.avoidStep = 0
	case Failed:
		t.fails += failStep * (1 - t.fails)
	case Unreachable, Refused:
		t.fails += failStep * (1 - t.fails)
		t.avoidStep = min(max(2*t.avoidStep, avoidFirst), avoidMax)
		t.avoidUntil = now.Add(t.avoidStep)
	case Abandoned:
	}
}

// Avoided lists the targets of a service that this instance could not reach lately, or that turned it away.
func (f *Fleet) Avoided(now time.Time, service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, t := range f.index.of(service) {
		if now.Before(t.avoidUntil) || now.Before(t.restUntil) {
			out = append(out, t.ID)
		}
	}
	for _, t := range f.index.granted {
		if t.Service == service && (now.Before(t.avoidUntil) || now.Before(t.restUntil)) {
			out = append(out, t.ID)
		}
	}
	return out
}
