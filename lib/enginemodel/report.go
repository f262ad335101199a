package enginemodel

import "time"

// Report is a snapshot of the engine's state at time At. Seq increases with each snapshot.
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

// reports holds the published snapshot and the next one to publish.
type reports struct {
	published Report
	pending   Report
	frozen    bool
}

// Report returns a delayed snapshot, between half of ReportLag and all of it old.
func (e *Engine) Report(now time.Duration) Report {
	e.sample(now)
	return e.reports.published
}

// FreezeReports stops or resumes the publication of new snapshots.
func (e *Engine) FreezeReports(v bool) { e.reports.frozen = v }

// sample takes a new snapshot twice per ReportLag and publishes the previous one.
func (e *Engine) sample(now time.Duration) {
	r := &e.reports
	if r.frozen || r.pending.Seq > 0 && now-r.pending.At < e.cfg.ReportLag/2 {
		return
	}
	seq := r.pending.Seq + 1
	next := e.snapshot(now, seq)
	r.published = r.pending
	if seq == 1 {
		r.published = next
	}
	r.pending = next
}

func (e *Engine) snapshot(now time.Duration, seq uint64) Report {
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
