package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// ObservedRequest is one request of Config.Arrivals as its caller saw it in real time. Times count from the start of the run.
type ObservedRequest struct {
	Tokens    []time.Duration // when each token came
	Completed bool
	Refused   bool // neither: lost
}

// ResultFromObserved returns the figures that a run in real time has in common with the bench's: the same columns by the same
// definitions. seen holds one element for each of cfg.Arrivals. Ticks over the power cap are not observed.
func ResultFromObserved(cfg Config, seen []ObservedRequest, preemptions int) Result {
	s := &sim{cfg: &cfg, flows: make([]flow, len(seen))}
	s.metrics.init(&cfg)
	s.metrics.moves = preemptions
	for i := range seen {
		f := &s.flows[i]
		f.req = &cfg.Arrivals[i]
		f.state = seen[i].state()
		s.metrics.replay(f, seen[i].Tokens)
		s.now = max(s.now, f.last)
	}
	return s.result()
}

func (o *ObservedRequest) state() flowState {
	switch {
	case o.Completed:
		return flowCompleted
	case o.Refused:
		return flowRefused
	}
	return flowFailed
}

// replay counts tokens that came at the given times.
func (m *metrics) replay(f *flow, tokens []time.Duration) {
	for k, at := range tokens {
		if k == 0 {
			m.first(f, at)
		} else {
			m.gap(at - f.last)
		}
		f.last = at
		m.token(f, at)
	}
}

// RunPolicy runs one of Policies over the arrivals of cfg in virtual time.
func RunPolicy(cfg Config, policy string) Result {
	cfg.Policy = policy
	cfg.Oracle = policy == PolicyOracle
	cfg.NewPolicy = makePolicy(policy, sched.Options{})
	return Run(cfg)
}
