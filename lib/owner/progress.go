package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/roomforecast"
)

const (
	// maxTrackedRuns bounds the runs of a shard whose progress is tracked.
	maxTrackedRuns = 8192
	// maxPacedEngines bounds the engines of a shard whose time per token is known.
	maxPacedEngines = 1024
	// paceInterval is the shortest time over which a run's progress is measured: reports combine changes of some milliseconds.
	paceInterval = 200 * time.Millisecond
	// paceWeight is the weight of one measurement of an engine's time per token.
	paceWeight = 0.2
	// servicePaceWeight is the weight of one measurement of any engine's time per token.
	servicePaceWeight = 0.02
)

// trackedRun is what reports have shown of a run.
type trackedRun struct {
	hint   int // expected total output when the run was first reported
	prompt int // tokens held when it was first reported
	output int // since then
	seen   uint64

	measuredAt time.Time // start of the current measurement of its pace; zero: none
	measured   int       // output then
	target     string    // engine then
}

// progress learns from the reports on a shard how fast engines work, and how outputs compare with their expected lengths.
type progress struct {
	lengths *roomforecast.Lengths
	runs    map[uint64]*trackedRun
	paces   map[string]time.Duration // time per output token, by engine
	pace    time.Duration            // of all engines; 0: unknown
	round   uint64
}

func newProgress() *progress {
	return &progress{lengths: roomforecast.NewLengths(), runs: make(map[uint64]*trackedRun), paces: make(map[string]time.Duration)}
}

// tokenTime returns an engine's time per output token; 0 if nothing is known of any engine.
func (p *progress) tokenTime(target string) time.Duration {
	if d, ok := p.paces[target]; ok {
		return d
	}
	return p.pace
}

// observe compares the runs in an instance's report with those in its last one. Runs that are missing now have ended, unless lost reports
// that their engine was lost.
func (p *progress) observe(now time.Time, before, current []Run, lost func(target string) bool) {
	p.round++
	for i := range current {
		p.observeRun(now, &current[i])
	}
	for i := range before {
		r := &before[i]
		t := p.runs[r.ID]
		if t == nil || t.seen == p.round {
			continue
		}
		delete(p.runs, r.ID)
		if t.output > 0 && !lost(r.Target) {
			p.lengths.End(t.hint, t.output)
		}
	}
}

// forget drops the runs of an instance that reports no more.
func (p *progress) forget(runs []Run) {
	for i := range runs {
		delete(p.runs, runs[i].ID)
	}
}

func (p *progress) observeRun(now time.Time, r *Run) {
	t := p.runs[r.ID]
	if t == nil {
		if len(p.runs) >= maxTrackedRuns {
			return
		}
		t = &trackedRun{hint: r.Remaining, prompt: r.Tokens}
		p.runs[r.ID] = t
	}
	t.seen = p.round
	output := max(t.output, r.Tokens-t.prompt)
	p.lengths.Progress(t.hint, t.output, output)
	t.output = output
	p.measure(now, t, r)
}

// measure measures the pace of a run that its engine has prefilled.
func (p *progress) measure(now time.Time, t *trackedRun, r *Run) {
	if r.Unread > 0 || t.measuredAt.IsZero() || t.target != r.Target {
		t.measuredAt, t.measured, t.target = now, t.output, r.Target
		return
	}
	took, tokens := now.Sub(t.measuredAt), t.output-t.measured
	if took < paceInterval || tokens <= 0 {
		return
	}
	t.measuredAt, t.measured = now, t.output
	perToken := took / time.Duration(tokens)
	if old, known := p.paces[r.Target]; known || len(p.paces) < maxPacedEngines {
		p.paces[r.Target] = moveTowards(old, perToken, paceWeight)
	}
	p.pace = moveTowards(p.pace, perToken, servicePaceWeight)
}

// moveTowards moves an estimate towards a measurement; 0 is no estimate.
func moveTowards(estimate, measurement time.Duration, weight float64) time.Duration {
	if estimate == 0 {
		return measurement
	}
	return estimate + time.Duration(weight*float64(measurement-estimate))
}

// expire drops the paces of engines that are not among those listed.
func (p *progress) expire(engines []string) {
	if len(p.paces) <= 2*len(engines)+16 {
		return
	}
	kept := make(map[string]time.Duration, len(engines))
	for _, id := range engines {
		if d, ok := p.paces[id]; ok {
			kept[id] = d
		}
	}
	p.paces = kept
}

// toForecast converts a reported run for the forecast.
func (p *progress) toForecast(r *Run) roomforecast.Run {
	out := roomforecast.Run{Held: r.Tokens, Hint: r.Remaining}
	if t := p.runs[r.ID]; t != nil {
		out.Output, out.Hint = t.output, t.hint
	}
	return out
}
