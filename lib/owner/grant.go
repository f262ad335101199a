package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// grant counts the run at its engine until its instance reports it.
func (l *Ledger) grant(now time.Time, s *Shard, req *PlaceRequest, out *Answer) {
	h := l.holder(s.Key, req.Instance)
	if h == nil {
		return
	}
	if req.Incarnation > h.incarnation {
		l.forgetProgress(h)
		h.startIncarnation(req.Incarnation)
	}
	need := &req.Stream.Need
	l.serial++
	out.Serial = l.serial
	size := need.Peak
	if size.Held == 0 {
		size = fleet.Size{Held: need.Tokens}
	}
	h.addGrant(now, grant{
		serial: l.serial, run: req.Run, target: out.Target, size: size, at: now,
		load: fleet.Load{Runs: 1, Tokens: need.Tokens, Unread: need.Unread},
	})
	l.pauses.granted(now, s.Key, out.Target, need.Unread)
	if req.Backup > 0 {
		l.backup(now, s, req, out, h)
	}
	l.publish(now, h)
	out.Estimate = l.fleet.KnownState(now, out.Target)
}

// backup selects an engine for a backup copy of the run.
func (l *Ledger) backup(now time.Time, s *Shard, req *PlaceRequest, out *Answer, h *holder) {
	target, ok := l.fleet.Info(out.Target)
	if !ok {
		return
	}
	need := fleet.Need{
		Service: s.Service, Tokens: req.Backup, Among: s.Engines(), Regions: req.Stream.Need.Regions, Software: target.Software.ID,
	}
	engine, ok := l.fleet.ChooseForCopy(now, need, out.Target, backupMinFree)
	if !ok {
		return
	}
	out.Backup = engine.ID
	h.addGrant(now, grant{
		serial: l.serial, run: req.Run, target: engine.ID, at: now, load: fleet.Load{Tokens: req.Backup}, size: fleet.Size{Held: req.Backup},
	})
}

// startIncarnation drops the state of the instance's incarnation so far.
func (h *holder) startIncarnation(incarnation uint64) {
	h.incarnation, h.seq = incarnation, 0
	h.runs, h.copies, h.grants = nil, nil, nil
	h.outcomes = make(map[string]Outcomes)
}

func (h *holder) addGrant(now time.Time, g grant) {
	if h.lastReport.IsZero() {
		h.lastReport = now
	}
	h.grants = append(h.grants, g)
}
