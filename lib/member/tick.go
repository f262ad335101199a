package member

import (
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Outgoing is one heartbeat to send.
type Outgoing struct {
	To        Member
	Heartbeat *meshpb.Heartbeat
}

// Tick moves the table to now and returns what to send. Calling it too often sends nothing.
func (t *Table) Tick(now Time) []Outgoing {
	t.absorbPause(now)
	t.lastTick = now
	t.refreshNeighbours(now)
	t.suspectSilent(now)
	if t.notLive > 0 {
		t.buryUnrefuted(now)
		t.forget(now)
	}
	if !t.due(now) {
		return nil
	}
	t.lastRound = now
	t.urgent = false
	t.refreshNeighbours(now)
	return t.round()
}

// absorbPause forgives silence after this process itself was paused. It would else wake, find that nobody answered,
// and bury every live member.
func (t *Table) absorbPause(now Time) {
	gap := now - t.lastTick
	if gap <= pauseIntervals*t.cfg.Interval {
		return
	}
	for _, e := range t.members {
		e.heard += gap
		e.suspected += gap
	}
}

// refreshNeighbours chooses again after a change and starts the clocks of new ones.
func (t *Table) refreshNeighbours(now Time) {
	if !t.stale {
		return
	}
	t.stale = false
	names := make([]string, 0, len(t.order))
	for _, name := range t.order {
		if t.members[name].State != Dead {
			names = append(names, name)
		}
	}
	t.neighbours = chooseNeighbours(t.self.Instance, names, t.cfg.FullMesh, t.cfg.Neighbours)
	chosen := make(map[string]bool, len(t.neighbours))
	for _, name := range t.neighbours {
		chosen[name] = true
	}
	for name, e := range t.members {
		if !chosen[name] {
			e.watched = notWatched
		}
	}
}

// suspectSilent marks neighbours that gave no sign of life, counted from when we began to ask them.
func (t *Table) suspectSilent(now Time) {
	for _, name := range t.neighbours {
		e := t.members[name]
		if e.watched == notWatched {
			e.watched = now
		}
		if e.State == Live && now-max(e.heard, e.watched) > t.cfg.SuspectAfter {
			t.suspect(now, e)
		}
	}
}

func (t *Table) suspect(now Time, e *entry) {
	m := e.Member
	m.State = Suspect
	t.set(now, e, m)
}

// buryUnrefuted turns suspicion into death when neither a refutation nor the member itself was heard.
func (t *Table) buryUnrefuted(now Time) {
	for _, e := range t.members {
		if e.State != Suspect || now-max(e.suspected, e.heard) <= t.cfg.DeadAfter {
			continue
		}
		m := e.Member
		m.State = Dead
		t.set(now, e, m)
	}
}

// forget drops the dead that the instance list no longer has. Their names must be kept for a while: news still on its
// way would else add them again as live.
func (t *Table) forget(now Time) {
	for name, e := range t.members {
		if e.State == Dead && !e.listed && now-e.died > t.cfg.ForgetAfter {
			t.drop(name)
		}
	}
}

func (t *Table) due(now Time) bool {
	since := now - t.lastRound
	return since >= t.cfg.Interval || (t.urgent && since >= t.cfg.Interval/urgentDivisor)
}

func (t *Table) round() []Outgoing {
	t.seq++
	out := make([]Outgoing, 0, len(t.neighbours)+1)
	for _, name := range t.neighbours {
		e := t.members[name]
		out = append(out, Outgoing{To: e.Member, Heartbeat: t.beat(0, e)})
	}
	if e := t.someDead(); e != nil {
		out = append(out, Outgoing{To: e.Member, Heartbeat: t.beat(0, e)})
	}
	return out
}

// someDead picks one dead member to try again. Two sides of a healed partition each think the other dead, and nobody
// else would ever dial across.
func (t *Table) someDead() *entry {
	if t.notLive == 0 {
		return nil
	}
	var pick *entry
	seen := 0
	for _, name := range t.order {
		e := t.members[name]
		if e.State != Dead || t.addrTaken(e) {
			continue
		}
		seen++
		if t.rng.IntN(seen) == 0 {
			pick = e
		}
	}
	return pick
}

// addrTaken reports whether a member that is not dead now has the address.
func (t *Table) addrTaken(dead *entry) bool {
	if dead.MeshAddr == t.self.MeshAddr {
		return true
	}
	for _, e := range t.members {
		if e != dead && e.State != Dead && e.MeshAddr == dead.MeshAddr {
			return true
		}
	}
	return false
}
