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

// demandOf models the draw from the reports' counts of sequences, and the want from those that wait besides.
func demandOf(p *powerplan.Part, v tablesView, owned ownedShard, now time.Time) demand {
	var d demand
	perSeq := 0.0
	for _, t := range p.Targets {
		perSeq = max(perSeq, t.SeqWatts)
		d.modelled += t.IdleWatts
		r, ok := v.reports[t.Name]
		if !ok {
			d.measured += t.IdleWatts
			continue
		}
		d.modelled += t.SeqWatts * float64(r.GetRunning())
		d.measured += r.GetWatts()
		d.ageMS = max(d.ageMS, now.Sub(r.taken).Milliseconds())
	}
	d.wanted = min(p.MaxWatts, d.modelled+perSeq*float64(owned.queued))
	return d
}
