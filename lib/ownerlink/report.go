package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// outcomesReportedFor is how long a target's outcomes are reported after the last: long enough to make up for a lost report.
const outcomesReportedFor = 4 * owner.ReportInterval

// reportedCandidates is the number of a shard's candidates that receive reports: the owner, and the one that takes over.
const reportedCandidates = 2

type outcomes struct {
	owner.Outcomes
	changed time.Time
}

// RecordOutcome counts the result of this instance's request to a target.
func (l *Link) RecordOutcome(target string, o fleet.Outcome) {
	if l.shardOf(target) == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.outcomes[target]
	if c == nil {
		c = &outcomes{Outcomes: owner.Outcomes{Target: target}}
		l.outcomes[target] = c
	}
	switch o {
	case fleet.Served:
		c.Served++
	case fleet.Failed:
		c.Failed++
	case fleet.Unreachable, fleet.Refused:
		c.Unreachable++
	default:
		return
	}
	c.changed = time.Now()
}

// RecordPrefill records a prefill sample for the next report.
func (l *Link) RecordPrefill(r owner.PrefillSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.prefillSamples) < maxPrefillSamples {
		l.prefillSamples = append(l.prefillSamples, r)
	}
}

// maxPrefillSamples bounds the samples in one report.
const maxPrefillSamples = 32

// shardOf returns the shard of an engine; nil when there is none.
func (l *Link) shardOf(engine string) *owner.Shard {
	t, known := l.Fleet.Info(engine)
	if !known {
		return nil
	}
	return l.layout.Load().ShardOf(t)
}

// OwnedEngines lists the engines of the shards that this instance is the acting owner of.
func (l *Link) OwnedEngines() []string {
	var out []string
	now := time.Now()
	for _, s := range l.layout.Load().CandidateShards(l.Self.Name) {
		if _, other := l.otherOwner(now, s); !other {
			out = append(out, s.Engines()...)
		}
	}
	return out
}

// reports returns this instance's current report for each shard.
func (l *Link) reports() map[string]owner.Report {
	out := l.Gather(l.shardOf)
	now := time.Now()
	part := l.HasPartialList()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	for target, c := range l.outcomes {
		s := l.shardOf(target)
		if s == nil || now.Sub(c.changed) > outcomesReportedFor {
			delete(l.outcomes, target)
			continue
		}
		r := out[s.Key]
		r.Outcomes = append(r.Outcomes, c.Outcomes)
		out[s.Key] = r
	}
	for key, r := range out {
		r.Shard, r.Instance, r.Incarnation, r.Seq, r.Describe = key, l.Self.Name, l.Incarnation, l.lastID, part
		out[key] = r
	}
	return out
}

// takePrefillSamples returns the samples since the last call.
func (l *Link) takePrefillSamples() []owner.PrefillSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.prefillSamples
	l.prefillSamples = nil
	return out
}

// reportLoop sends reports to owners on changes and every owner.ReportInterval. An instance that has nothing left on a shard reports
// that once and is silent from then on.
func (l *Link) reportLoop(ctx context.Context) {
	t := time.NewTicker(owner.ReportInterval)
	defer t.Stop()
	reported := make(map[string]bool)
	for {
		regular := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			regular = true
			l.Coordinator.Tick(time.Now())
			l.reportRateChanges(time.Now())
		case <-l.reportDue:
			time.Sleep(reportDelayMin)
		}
		l.sendReports(reported, regular)
	}
}

// sendReports sends a report for each shard that this instance has something on, or had in the last report. A regular report is one that
// no change has caused.
func (l *Link) sendReports(reported map[string]bool, regular bool) {
	if at := l.changedAt.Swap(nil); at != nil {
		reportDelay.Update(time.Since(*at).Seconds())
	}
	reports := l.reports()
	for key := range reported {
		if _, ok := reports[key]; !ok {
			reports[key] = owner.Report{Shard: key, Instance: l.Self.Name, Incarnation: l.Incarnation, Seq: l.nextID()}
		}
	}
	clear(reported)
	layout := l.layout.Load()
	samples := l.takePrefillSamples()
	paces := l.paces.take(time.Now(), regular, l.shardOf)
	for key, r := range reports {
		if len(r.Runs)+len(r.Copies)+len(r.Outcomes) > 0 {
			reported[key] = true
		}
		s := layout.Shard(key)
		if s == nil {
			continue
		}
		for _, m := range samples {
			if m.Service == s.Service {
				r.PrefillSamples = append(r.PrefillSamples, m)
			}
		}
		r.Paces = paces[key]
		l.sendReport(s, r)
	}
}

func (l *Link) nextID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return l.lastID
}

func (l *Link) sendReport(s *owner.Shard, r owner.Report) {
	for _, to := range s.Ranked[:min(reportedCandidates, len(s.Ranked))] {
		if to.Name == l.Self.Name {
			l.Coordinator.Report(time.Now(), r)
			continue
		}
		d := l.newDatagram()
		body := l.encodeReport(&r, to.Name)
		d.Body = &ownerpb.Datagram_Report{Report: body}
		truncateReport(d, body)
		l.send(to.Addr, d)
	}
}

// encodeReport adds the newest grant received from the receiver.
func (l *Link) encodeReport(r *owner.Report, to string) *ownerpb.Report {
	l.mu.Lock()
	r.LastGrant = l.lastGrants[to]
	l.mu.Unlock()
	return encodeReport(r)
}

// BroadcastBlames sends what killed targets to all instances. Such deaths are rare, and until all know, each may send the same to another
// target.
func (l *Link) BroadcastBlames(body *ownerpb.Blames) {
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_Blames{Blames: body}
	l.broadcast(d)
}
