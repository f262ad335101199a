package member

import (
	"anvilwick.example/anvilwick/lib/meshpb"
)

// HandleHeartbeat takes a heartbeat that came directly from its sender. The result, when not nil, is the answer to send back.
func (t *Table) HandleHeartbeat(now Time, hb *meshpb.Heartbeat) *meshpb.Heartbeat {
	from := senderOf(hb)
	if from.Instance == "" || from.Instance == t.self.Instance {
		return nil
	}
	t.learn(now, from)
	for _, m := range hb.GetChanged()[:min(len(hb.GetChanged()), maxChanged+1)] {
		t.learn(now, fromProto(m))
	}
	e, ok := t.members[from.Instance]
	if !ok {
		return nil
	}
	if e.Incarnation == from.Incarnation {
		t.heardFrom(now, e, hb)
	}
	if hb.GetAck() != 0 {
		return nil
	}
	answer := t.beat(hb.GetSeq(), e)
	if e.Incarnation > from.Incarnation {
		answer.Changed = append(answer.Changed, toProto(e.Member)) // it must learn that it was replaced
	}
	return answer
}

// heardFrom notes a direct sign of life of the current incarnation. An old one's is none: it would keep a replaced
// instance alive.
func (t *Table) heardFrom(now Time, e *entry, hb *meshpb.Heartbeat) {
	e.heard = now
	e.differs = hb.GetTableHash() != t.hash
	e.settings = max(e.settings, hb.GetSettingsRevision())
	e.digests = hb.GetShards()[:min(len(hb.GetShards()), maxDigests)]
	e.digestedAt = now
	t.suspectOthersAt(now, e)
}

// suspectOthersAt doubts any other instance said to be at the address of one that was just heard: an address is given
// on to a new instance at once when the old one is replaced.
func (t *Table) suspectOthersAt(now Time, e *entry) {
	if e.MeshAddr == "" || t.heardAt[e.MeshAddr] == e.Instance {
		return
	}
	t.heardAt[e.MeshAddr] = e.Instance
	for _, o := range t.members {
		if o != e && o.State == Live && o.MeshAddr == e.MeshAddr {
			t.suspect(now, o)
		}
	}
}

// Unreachable tells that a member's address refused a connection, or that another instance answered there. The
// suspicion starts now; a member that is well refutes it.
func (t *Table) Unreachable(now Time, instance string, incarnation uint64) {
	e, ok := t.members[instance]
	if !ok || e.State != Live || e.Incarnation != incarnation {
		return
	}
	if now-e.heard < t.cfg.Interval/urgentDivisor {
		return
	}
	t.suspect(now, e)
}

// beat builds a heartbeat for e; ack 0 makes it a probe.
func (t *Table) beat(ack uint64, e *entry) *meshpb.Heartbeat {
	return &meshpb.Heartbeat{
		Instance:         t.self.Instance,
		Incarnation:      t.self.Incarnation,
		Seq:              t.seq,
		State:            stateToProto(t.self),
		SettingsRevision: t.settings,
		Changed:          t.changedFor(e),
		Shards:           t.digests,
		Refutation:       t.self.Refutation,
		Ack:              ack,
		TableHash:        t.hash,
		FailureDomain:    t.self.FailureDomain,
		MeshAddr:         t.self.MeshAddr,
	}
}

// changedFor picks what to piggyback: what is thought of the receiver, when it must answer that; then fresh changes;
// then, while the two tables differ, a slice of the whole table that moves on each time.
func (t *Table) changedFor(e *entry) []*meshpb.Member {
	var out []*meshpb.Member
	if e.State != Live {
		out = append(out, toProto(e.Member))
	}
	for _, name := range t.order {
		if len(out) >= maxChanged {
			return out
		}
		c := t.members[name]
		if c.sends > 0 && c != e {
			c.sends--
			out = append(out, toProto(c.Member))
		}
	}
	if !e.differs {
		return out
	}
	return t.appendRotation(out)
}

func (t *Table) appendRotation(out []*meshpb.Member) []*meshpb.Member {
	for range len(t.order) {
		if len(out) >= maxChanged {
			break
		}
		t.rotation = (t.rotation + 1) % len(t.order)
		out = append(out, toProto(t.members[t.order[t.rotation]].Member))
	}
	return out
}
