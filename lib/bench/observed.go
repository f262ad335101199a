package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/sched"
)

// ObservedRequest is one request of Config.Arrivals as observed by its caller in real time. Times count from the start of the
// run.
type ObservedRequest struct {
	Tokens    []time.Duration // arrival time of each token
	Completed bool
	Refused   bool // if neither is set, the request was lost
}

// ResultFromObserved returns those figures of a run in real time that the bench reports, too, by the same definitions. seen
// holds one element for each of cfg.Arrivals. Ticks over the power cap are not observed.
func ResultFromObserved(cfg Config, observed []ObservedRequest, preemptions int) Result {
	s := &sim{cfg: &cfg, flows: make([]flow, len(observed))}
	s.metrics.init(&cfg)
	s.metrics.moves = preemptions
	for i := range observed {
		f := &s.flows[i]
		f.req = &cfg.Arrivals[i]
		f.state = observed[i].state()
		s.metrics.recordTokens(f, observed[i].Tokens)
		s.now = max(s.now, f.lastToken)
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

// recordTokens records tokens that arrived at the given times.
func (m *metrics) recordTokens(f *flow, tokens []time.Duration) {
	for k, at := range tokens {
		if k == 0 {
			m.firstToken(f, at)
		} else {
			m.gap(at - f.lastToken)
		}
		f.lastToken = at
		m.token(f, at)
	}
}

// RunPolicy runs the named policy over the arrivals of cfg in virtual time.
func RunPolicy(cfg Config, policy string) Result {
	cfg.Policy = policy
	cfg.Oracle = policy == PolicyOracle
	cfg.NewPolicy = makePolicy(policy, sched.Options{})
	return Run(cfg)
}
