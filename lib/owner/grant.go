package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// grant counts the run at its engine until its instance tells of it.
func (b *Ledger) grant(now time.Time, s *Shard, a *PlaceRequest, out *Answer) {
	h := b.holder(s.Key, a.Instance)
	if h == nil {
		return
	}
	h.renew(a.Incarnation)
	need := &a.Stream.Need
	b.serial++
	out.Serial = b.serial
	size := need.Peak
	if size.Held == 0 {
		size = fleet.Size{Held: need.Tokens}
	}
	h.give(now, grant{
		serial: b.serial, run: a.Run, target: out.Target, size: size, at: now,
		load: fleet.Load{Runs: 1, Tokens: need.Tokens, Unread: need.Unread},
	})
	if a.Backup > 0 {
		b.backup(now, s, a, out, h)
	}
	b.tell(now, h)
	out.Estimate = b.fleet.KnownState(now, out.Target)
}

// backup finds an engine for a copy of the run.
func (b *Ledger) backup(now time.Time, s *Shard, a *PlaceRequest, out *Answer, h *holder) {
	need := fleet.Need{Service: s.Service, Tokens: a.Backup, Among: s.Engines(), Regions: a.Stream.Need.Regions}
	at, ok := b.fleet.ChooseForCopy(now, need, out.Target, backupFree)
	if !ok {
		return
	}
	out.Backup = at.ID
	h.give(now, grant{
		serial: b.serial, run: a.Run, target: at.ID, at: now, load: fleet.Load{Tokens: a.Backup}, size: fleet.Size{Held: a.Backup},
	})
}

// renew forgets what an earlier life of the instance had.
func (h *holder) renew(incarnation uint64) {
	if incarnation <= h.incarnation {
		return
	}
	h.incarnation, h.seq = incarnation, 0
	h.runs, h.held, h.grants = nil, nil, nil
	h.outcomes = make(map[string]Outcomes)
}

func (h *holder) give(now time.Time, g grant) {
	if h.at.IsZero() {
		h.at = now
	}
	h.grants = append(h.grants, g)
}
