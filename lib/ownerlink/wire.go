package ownerlink

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

func ms(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), 1<<31)) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func micros(d time.Duration) uint32 { return uint32(min(max(0, d.Microseconds()), 1<<31)) }

func tokens(n int) uint32 { return uint32(min(max(0, n), 1<<31)) }

func encodePlaceRequest(req *owner.PlaceRequest, shard string, now time.Time) *ownerpb.Ask {
	n := &req.Stream.Need
	out := &ownerpb.Ask{
		Id: req.ID, Shard: shard, Hops: uint32(req.Hops), Run: req.Run, Mode: uint32(req.Mode), Service: n.Service, Tokens: tokens(n.Tokens),
		Unread: tokens(n.Unread), Now: tokens(n.Peak.Held), Left: tokens(n.Peak.Remaining), AimMs: ms(req.Stream.Objective),
		AgeMs: ms(now.Sub(req.Stream.Arrived)), KeepsMs: ms(req.Stream.MaxRetryAfter), Near: n.PreferredDomain,
		BackupTokens: tokens(req.Backup), Print: req.Fingerprint,
		Back: req.Stream.IsRetry, Bound: n.Regions != nil, Regions: n.Regions, Describe: req.Describe,
		Workspace: req.Stream.Workspace, Rank: uint32(max(0, req.Stream.Priority)), GapMs: ms(req.Stream.GapObjective), Software: n.Software,
	}
	for id := range n.Exclude {
		out.Without = append(out.Without, id)
	}
	slices.Sort(out.Without)
	return out
}

func decodePlaceRequest(d *ownerpb.Datagram, now time.Time) owner.PlaceRequest {
	req := d.GetAsk()
	need := fleet.Need{
		Service: req.Service, Tokens: int(req.Tokens), Unread: int(req.Unread), PreferredDomain: req.Near,
		Peak:     fleet.Size{Held: int(req.Now), Remaining: int(req.Left)},
		Software: req.Software,
	}
	if req.Bound {
		need.Regions = append([]string{}, req.Regions...)
	}
	if len(req.Without) > 0 {
		need.Exclude = make(map[string]bool, len(req.Without))
		for _, id := range req.Without {
			need.Exclude[id] = true
		}
	}
	return owner.PlaceRequest{
		Key:       owner.Key{Instance: d.Instance, Incarnation: d.Incarnation, ID: req.Id},
		ReplyAddr: d.Addr, Run: req.Run, Mode: owner.Mode(req.Mode), Backup: int(req.BackupTokens), Hops: int(req.Hops),
		Fingerprint: req.Print, Describe: req.Describe,
		Stream: admit.Stream{
			Arrived: now.Add(-duration(req.AgeMs)), Objective: duration(req.AimMs), MaxRetryAfter: duration(req.KeepsMs),
			IsRetry: req.Back, Need: need, Workspace: req.Workspace, Priority: int(req.Rank), GapObjective: duration(req.GapMs),
		},
	}
}

func encodeAnswer(a *owner.Answer) *ownerpb.Answer {
	return &ownerpb.Answer{
		Id: a.ID, Action: uint32(a.Action), Target: a.Target, AfterMs: ms(a.After), Serial: a.Serial, Backup: a.Backup,
		Ready: uint32(a.Estimate.ReadyTargets), Runs: uint32(a.Estimate.Load.Runs), Tokens: tokens(a.Estimate.Load.Tokens),
		Unread: tokens(a.Estimate.Load.Unread), Peers: uint32(a.Estimate.Peers), OldestMs: ms(a.Estimate.OldestUpdate),
		TargetInfo: encodeTarget(&a.TargetInfo), BackupInfo: encodeTarget(&a.BackupInfo),
	}
}

// encodeTarget encodes the target list's entry of a target; nil if it has none.
func encodeTarget(t *fleet.Info) *ownerpb.Target {
	if t.Addr == "" {
		return nil
	}
	return &ownerpb.Target{Addr: t.Addr, Domain: t.Domain, Born: t.Born, Slots: uint32(max(0, t.Slots)), Software: t.Software.ID, SoftwareName: t.Software.Name}
}

func decodeTarget(id, service string, t *ownerpb.Target) fleet.Info {
	if t == nil || id == "" {
		return fleet.Info{}
	}
	software := fleet.Software{ID: t.Software, Name: t.SoftwareName}
	if software.ID == 0 {
		software = fleet.UnnamedSoftware(service, id, t.Born) // the sender does not know versions
	}
	return fleet.Info{ID: id, Service: service, Addr: t.Addr, Domain: t.Domain, Born: t.Born, Slots: int(t.Slots), Software: software}
}

func decodeAnswer(a *ownerpb.Answer, service string) owner.Answer {
	return owner.Answer{
		Key: owner.Key{ID: a.GetId()}, Action: admit.Action(a.GetAction()), Target: a.GetTarget(), After: duration(a.GetAfterMs()),
		Serial: a.GetSerial(), Backup: a.GetBackup(),
		TargetInfo: decodeTarget(a.GetTarget(), service, a.GetTargetInfo()), BackupInfo: decodeTarget(a.GetBackup(), service, a.GetBackupInfo()),
		Estimate: fleet.KnownState{
			ReadyTargets: int(a.GetReady()), Load: fleet.Load{Runs: int(a.GetRuns()), Tokens: int(a.GetTokens()), Unread: int(a.GetUnread())},
			Peers: int(a.GetPeers()), OldestUpdate: duration(a.GetOldestMs()),
		},
	}
}

func encodeReport(r *owner.Report) *ownerpb.Report {
	out := &ownerpb.Report{Shard: r.Shard, Seq: r.Seq, Seen: r.LastGrant, Describe: r.Describe}
	for _, m := range r.Runs {
		out.Runs = append(out.Runs, &ownerpb.Run{
			Id: m.ID, Target: m.Target, Tokens: tokens(m.Tokens), Expected: tokens(m.Expected), Unread: tokens(m.Unread),
			Left: tokens(m.Remaining), Stays: m.Pinned, SilentMs: ms(m.SinceContact),
		})
	}
	for _, h := range r.Copies {
		out.Held = append(out.Held, &ownerpb.Held{Target: h.Target, Tokens: tokens(h.Tokens), Run: h.Run})
	}
	for _, o := range r.Outcomes {
		out.Outcomes = append(out.Outcomes, &ownerpb.Outcomes{
			Target: o.Target, Served: o.Served, Failed: o.Failed, Unreachable: o.Unreachable,
		})
	}
	for _, m := range r.PrefillSamples {
		out.Readings = append(out.Readings, &ownerpb.Reading{Service: m.Service, Target: m.Target, Unread: tokens(m.Unread), Ms: ms(m.Took)})
	}
	for _, m := range r.Paces {
		out.Paces = append(out.Paces, &ownerpb.Pace{
			Target: m.Target, ShortestUs: micros(m.Shortest), LongestUs: micros(m.Longest),
			SlowdownPermille: uint32(min(max(0, m.Slowdown), enginerate.MaxSlowdown) * permille), SlowdownAgeMs: ms(m.SlowdownAge),
		})
	}
	return out
}

func decodeReport(d *ownerpb.Datagram, r *ownerpb.Report) owner.Report {
	out := owner.Report{
		Shard: r.Shard, Instance: d.Instance, ReplyAddr: d.Addr, Incarnation: d.Incarnation, Seq: r.Seq, LastGrant: r.Seen,
		Describe: r.Describe,
	}
	for _, m := range r.Runs {
		out.Runs = append(out.Runs, owner.Run{
			ID: m.Id, Target: m.Target, Tokens: int(m.Tokens), Expected: int(m.Expected), Unread: int(m.Unread),
			Remaining: int(m.Left), Pinned: m.Stays, SinceContact: duration(m.SilentMs),
		})
	}
	for _, h := range r.Held {
		out.Copies = append(out.Copies, owner.Copy{Target: h.Target, Tokens: int(h.Tokens), Run: h.Run})
	}
	for _, o := range r.Outcomes {
		out.Outcomes = append(out.Outcomes, owner.Outcomes{Target: o.Target, Served: o.Served, Failed: o.Failed, Unreachable: o.Unreachable})
	}
	for _, m := range r.Readings {
		out.PrefillSamples = append(out.PrefillSamples, owner.PrefillSample{
			Service: m.Service, Target: m.Target, Unread: int(m.Unread), Took: duration(m.Ms),
		})
	}
	for _, m := range r.Paces {
		out.Paces = append(out.Paces, owner.Pace{
			Target: m.Target, Shortest: time.Duration(m.ShortestUs) * time.Microsecond, Longest: time.Duration(m.LongestUs) * time.Microsecond,
			Slowdown: float64(m.SlowdownPermille) / permille, SlowdownAge: duration(m.SlowdownAgeMs),
		})
	}
	return out
}

// truncateReport leaves runs out of a report until it fits into a datagram.
func truncateReport(d *ownerpb.Datagram, r *ownerpb.Report) {
	for proto.Size(d) > maxDatagram && len(r.Runs) > 0 {
		r.Runs = r.Runs[:len(r.Runs)/2]
	}
}

func encodeMoves(steps []moveplan.Step) []*ownerpb.Move {
	out := make([]*ownerpb.Move, len(steps))
	for i, s := range steps {
		out[i] = &ownerpb.Move{Run: s.Run.ID, To: s.To, StartMs: ms(s.Start)}
	}
	return out
}

func decodeMoves(m *ownerpb.Moves) []moveplan.Step {
	out := make([]moveplan.Step, 0, len(m.GetMoves()))
	for _, s := range m.GetMoves() {
		out = append(out, moveplan.Step{Run: moveplan.Run{ID: s.Run}, To: s.To, Start: duration(s.StartMs)})
	}
	return out
}
