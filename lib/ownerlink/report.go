package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// outcomesTold is how long a target's outcomes are reported after the last: until a lost report has been made up for.
const outcomesTold = 4 * owner.ReportInterval

// reportedTo is how many of a shard's candidates are told what instances have there: the owner, and the one that takes over.
const reportedTo = 2

type outcomes struct {
	owner.Outcomes
	changed time.Time
}

// RecordOutcome counts how a request of this instance ended at a target.
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

// RecordPrefill notes how long a first event took after tokens of prompts were believed to be read before it.
func (l *Link) RecordPrefill(r owner.PrefillSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.readings) < readingsMax {
		l.readings = append(l.readings, r)
	}
}

// readingsMax bounds the readings of one report.
const readingsMax = 32

// shardOf returns the shard that an engine is in; nil when there is none.
func (l *Link) shardOf(engine string) *owner.Shard {
	t, known := l.Fleet.Info(engine)
	if !known {
		return nil
	}
	return l.layout.Load().ShardOf(t)
}

// OwnedEngines lists the engines that this instance decides for.
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

// reports returns what this instance has on each shard now.
func (l *Link) reports() map[string]owner.Report {
	out := l.Gather(l.shardOf)
	now := time.Now()
	part := l.HasPartialList()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	for target, c := range l.outcomes {
		s := l.shardOf(target)
		if s == nil || now.Sub(c.changed) > outcomesTold {
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

// takeReadings returns the readings of services since the last call.
func (l *Link) takeReadings() []owner.PrefillSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.readings
	l.readings = nil
	return out
}

// report tells owners what this instance has, when it changes and every owner.ReportEvery. What has nothing on a shard says
// so once and is silent.
func (l *Link) report(ctx context.Context) {
	t := time.NewTicker(owner.ReportInterval)
	defer t.Stop()
	told := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.Coordinator.Tick(time.Now())
		case <-l.wake:
			time.Sleep(reportGap)
		}
		l.tell(told)
	}
}

// tell sends a report for each shard that this instance has something on, or had when it last told.
func (l *Link) tell(told map[string]bool) {
	if at := l.changedAt.Swap(nil); at != nil {
		reportDelay.Update(time.Since(*at).Seconds())
	}
	reports := l.reports()
	for key := range told {
		if _, ok := reports[key]; !ok {
			reports[key] = owner.Report{Shard: key, Instance: l.Self.Name, Incarnation: l.Incarnation, Seq: l.nextID()}
		}
	}
	clear(told)
	layout := l.layout.Load()
	readings := l.takeReadings()
	for key, r := range reports {
		if len(r.Runs)+len(r.Copies)+len(r.Outcomes) > 0 {
			told[key] = true
		}
		s := layout.Shard(key)
		if s == nil {
			continue
		}
		for _, m := range readings {
			if m.Service == s.Service {
				r.PrefillSamples = append(r.PrefillSamples, m)
			}
		}
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
	for _, to := range s.Ranked[:min(reportedTo, len(s.Ranked))] {
		if to.Name == l.Self.Name {
			l.Coordinator.Report(time.Now(), r)
			continue
		}
		d := l.own()
		body := l.encodeReport(&r, to.Name)
		d.Body = &ownerpb.Datagram_Report{Report: body}
		fit(d, body)
		l.send(to.Addr, d)
	}
}

// encodeReport adds what the receiver has granted.
func (l *Link) encodeReport(r *owner.Report, to string) *ownerpb.Report {
	l.mu.Lock()
	r.LastGrant = l.seen[to]
	l.mu.Unlock()
	return encodeReport(r)
}

// BroadcastBlames tells all instances of contents that killed targets. Deaths are rare, and until all know, each may send
// such a content to another target.
func (l *Link) BroadcastBlames(blames []*ownerpb.Blame) {
	d := l.own()
	d.Body = &ownerpb.Datagram_Blames{Blames: &ownerpb.Blames{Blames: blames}}
	l.tellAll(d)
}
