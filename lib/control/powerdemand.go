package control

import (
	"time"

	"anvilwick.example/anvilwick/lib/powerplan"
)

// demand is the power that a part draws and could use, in watts.
type demand struct {
	wanted   float64
	modelled float64
	measured float64
	ageMS    int64 // of the oldest report in measured
}

// ownedShard is the load of a part as reported by its owner.
type ownedShard struct{ queued, running int }

// missingReportAge stands in for the age of a missing report: the draw has no reading then.
const missingReportAge = time.Hour

// demandOf models the draw from the numbers of sequences in the reports and at the owner, and the demand by adding the
// queued sequences.
//
// It guards against reports that freeze or stop while their shard is idle: the part would report an idle draw forever, and
// its power would be allocated to others while it uses it. The owner's count needs no report, and a missing report gives the
// reading a maximal age, so that the allocator keeps its widest guard.
func demandOf(p *powerplan.Part, v stateView, owned ownedShard, now time.Time) demand {
	var d demand
	perSeq, idle := 0.0, 0.0
	for _, t := range p.Targets {
		perSeq = max(perSeq, t.SeqWatts)
		idle += t.IdleWatts
		d.modelled += t.IdleWatts
		r, ok := v.reports[t.Name]
		if !ok {
			d.measured += t.IdleWatts
			d.ageMS = missingReportAge.Milliseconds()
			continue
		}
		d.modelled += t.SeqWatts * float64(r.GetRunning())
		d.measured += r.GetWatts()
		d.ageMS = max(d.ageMS, now.Sub(r.takenAt).Milliseconds())
	}
	d.modelled = max(d.modelled, idle+perSeq*float64(owned.running))
	d.wanted = min(p.MaxWatts, d.modelled+perSeq*float64(owned.queued))
	return d
}
