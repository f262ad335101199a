package control

import (
	"time"

	"anvilwick.example/anvilwick/lib/powerplan"
)

// demand is what a part draws and wants, in watts.
type demand struct {
	wanted   float64
	modelled float64
	measured float64
	ageMS    int64 // of the oldest report in measured
}

// ownedShard is what the owner of a part says of it.
type ownedShard struct{ queued, running int }

// missingAge stands for the age of a report that is not there: no reading of the draw is told with it.
const missingAge = time.Hour

// demandOf models the draw from the reports' counts of sequences and from what the owner runs, and the want from those
// that wait besides.
//
// Failure: a target's reports freeze or stop while its shard is idle; the part would tell for ever of an idle draw, and
// its watts go to others while it uses them. The owner's own count needs no report, and a report that is missing makes
// the reading as old as can be, so that the allotter keeps its widest guard.
func demandOf(p *powerplan.Part, v tablesView, owned ownedShard, now time.Time) demand {
	var d demand
	perSeq, idle := 0.0, 0.0
	for _, t := range p.Targets {
		perSeq = max(perSeq, t.SeqWatts)
		idle += t.IdleWatts
		d.modelled += t.IdleWatts
		r, ok := v.reports[t.Name]
		if !ok {
			d.measured += t.IdleWatts
			d.ageMS = missingAge.Milliseconds()
			continue
		}
		d.modelled += t.SeqWatts * float64(r.GetRunning())
		d.measured += r.GetWatts()
		d.ageMS = max(d.ageMS, now.Sub(r.taken).Milliseconds())
	}
	d.modelled = max(d.modelled, idle+perSeq*float64(owned.running))
	d.wanted = min(p.MaxWatts, d.modelled+perSeq*float64(owned.queued))
	return d
}
