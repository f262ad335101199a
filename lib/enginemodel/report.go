package enginemodel

import "time"

// Report is the engine's own view at time At. Seq grows with each new view.
type Report struct {
	Seq         uint64
	At          time.Duration
	Running     int
	Waiting     int
	KVUsed      int
	KVTotal     int
	MaxBatch    int
	Preemptions uint64
	Watts       float64
	Leaving     bool
}

// reports holds the view that is published and the one that will follow it.
type reports struct {
	published Report
	pending   Report
	frozen    bool
}

// Report returns the lagging view: between half of ReportLag and all of it old.
func (e *Engine) Report(now time.Duration) Report {
	e.sample(now)
	return e.reports.published
}

// FreezeReports stops new views from being published, or lets them go on.
func (e *Engine) FreezeReports(v bool) { e.reports.frozen = v }

// sample takes a new view twice in each ReportLag and publishes the one before.
func (e *Engine) sample(now time.Duration) {
	r := &e.reports
	if r.frozen || r.pending.Seq > 0 && now-r.pending.At < e.cfg.ReportLag/2 {
		return
	}
	seq := r.pending.Seq + 1
	view := e.view(now, seq)
	r.published = r.pending
	if seq == 1 {
		r.published = view
	}
	r.pending = view
}

func (e *Engine) view(now time.Duration, seq uint64) Report {
	return Report{
		Seq:         seq,
		At:          now,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		KVUsed:      e.kvUsed,
		KVTotal:     e.cfg.KVTokens,
		MaxBatch:    e.cfg.MaxBatch,
		Preemptions: e.preemptions,
		Watts:       e.Watts(),
		Leaving:     e.leaving,
	}
}
