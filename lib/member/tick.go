package member

import (
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Outgoing is one heartbeat to send.
type Outgoing struct {
	To        Member
	Heartbeat *meshpb.Heartbeat
}

// Tick advances the table to now and returns the heartbeats to send. Calling it too often sends nothing.
func (t *Table) Tick(now Time) []Outgoing {
	t.compensatePause(now)
	t.lastTick = now
	t.refreshNeighbours(now)
	t.suspectSilent(now)
	if t.notLive > 0 {
		t.expireSuspicions(now)
		t.forgetDead(now)
	}
	if !t.roundDue(now) {
		return nil
	}
	t.lastRound = now
	t.urgent = false
	t.refreshNeighbours(now)
	return t.round()
}

// compensatePause extends the time-outs after this process itself was paused. Otherwise it would resume, find that no member had replied,
// and declare all of them dead.
func (t *Table) compensatePause(now Time) {
	gap := now - t.lastTick
	if gap <= pauseIntervals*t.cfg.Interval {
		return
	}
	for _, e := range t.members {
		e.lastContact += gap
		e.suspectedAt += gap
	}
}

// refreshNeighbours chooses the neighbours anew after a change and restarts the time-outs of new ones.
func (t *Table) refreshNeighbours(now Time) {
	if !t.neighboursStale {
		return
	}
	t.neighboursStale = false
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
			e.neighbourSince = notNeighbour
		}
	}
}

// suspectSilent suspects the neighbours without contact for SuspectAfter, counted no earlier than from when they became neighbours.
func (t *Table) suspectSilent(now Time) {
	for _, name := range t.neighbours {
		e := t.members[name]
		if e.neighbourSince == notNeighbour {
			e.neighbourSince = now
		}
		if e.State == Live && now-max(e.lastContact, e.neighbourSince) > t.cfg.SuspectAfter {
			t.suspect(now, e)
		}
	}
}

func (t *Table) suspect(now Time, e *entry) {
	m := e.Member
	m.State = Suspect
	t.update(now, e, m)
}

// expireSuspicions declares suspects dead if neither a refutation nor direct contact arrived within DeadAfter.
func (t *Table) expireSuspicions(now Time) {
	for _, e := range t.members {
		if e.State != Suspect || now-max(e.suspectedAt, e.lastContact) <= t.cfg.DeadAfter {
			continue
		}
		m := e.Member
		m.State = Dead
		t.update(now, e, m)
	}
}

// forgetDead removes dead members that the instance list no longer has. Their names must be kept for a while: delayed updates would
// otherwise add them again as live.
func (t *Table) forgetDead(now Time) {
	for name, e := range t.members {
		if e.State == Dead && !e.listed && now-e.diedAt > t.cfg.ForgetAfter {
			t.remove(name)
		}
	}
}

func (t *Table) roundDue(now Time) bool {
	since := now - t.lastRound
	return since >= t.cfg.Interval || (t.urgent && since >= t.cfg.Interval/urgentDivisor)
}

func (t *Table) round() []Outgoing {
	t.seq++
	out := make([]Outgoing, 0, len(t.neighbours)+1)
	for _, name := range t.neighbours {
		e := t.members[name]
		out = append(out, Outgoing{To: e.Member, Heartbeat: t.newHeartbeat(0, e)})
	}
	if e := t.pickDead(); e != nil {
		out = append(out, Outgoing{To: e.Member, Heartbeat: t.newHeartbeat(0, e)})
	}
	return out
}

// pickDead picks one dead member at random to retry. After a partition heals, each side still assumes that the other is dead, and
// would never dial it otherwise.
func (t *Table) pickDead() *entry {
	if t.notLive == 0 {
		return nil
	}
	var pick *entry
	count := 0
	for _, name := range t.order {
		e := t.members[name]
		if e.State != Dead || t.addrTaken(e) {
			continue
		}
		count++
		if t.rng.IntN(count) == 0 {
			pick = e
		}
	}
	return pick
}

// addrTaken reports whether a member that is not dead has the dead member's address now.
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
