package member

import (
	"anvilwick.example/anvilwick/lib/meshpb"
)

// HandleHeartbeat processes a heartbeat received from its sender. The result, if not nil, is the reply to send.
func (t *Table) HandleHeartbeat(now Time, hb *meshpb.Heartbeat) *meshpb.Heartbeat {
	from := senderOf(hb)
	if from.Instance == "" || from.Instance == t.self.Instance {
		return nil
	}
	t.merge(now, from)
	for _, m := range hb.GetChanged()[:min(len(hb.GetChanged()), maxChanged+1)] {
		t.merge(now, fromProto(m))
	}
	e, ok := t.members[from.Instance]
	if !ok {
		return nil
	}
	if e.Incarnation == from.Incarnation {
		t.recordContact(now, e, hb)
	}
	if hb.GetAck() != 0 {
		return nil
	}
	reply := t.newHeartbeat(hb.GetSeq(), e)
	if e.Incarnation > from.Incarnation {
		reply.Changed = append(reply.Changed, toProto(e.Member)) // tell the sender that it was replaced
	}
	return reply
}

// recordContact records direct contact with the current incarnation. A heartbeat of an old one does not count: it would keep a replaced
// instance alive.
func (t *Table) recordContact(now Time, e *entry, hb *meshpb.Heartbeat) {
	e.lastContact = now
	e.tableDiffers = hb.GetTableHash() != t.hash
	e.settingsRevision = max(e.settingsRevision, hb.GetSettingsRevision())
	e.digests = hb.GetShards()[:min(len(hb.GetShards()), maxDigests)]
	e.digestsAt = now
	t.suspectOthersAtAddr(now, e)
}

// suspectOthersAtAddr suspects any other instance recorded at the address of one that was just in contact: when an instance is replaced,
// its address is reused for the new one immediately.
func (t *Table) suspectOthersAtAddr(now Time, e *entry) {
	if e.MeshAddr == "" || t.lastAtAddr[e.MeshAddr] == e.Instance {
		return
	}
	t.lastAtAddr[e.MeshAddr] = e.Instance
	for _, o := range t.members {
		if o != e && o.State == Live && o.MeshAddr == e.MeshAddr {
			t.suspect(now, o)
		}
	}
}

// Unreachable reports that a member's address refused a connection, or that another instance answered there. The member becomes suspect
// at once; a healthy one refutes it.
func (t *Table) Unreachable(now Time, instance string, incarnation uint64) {
	e, ok := t.members[instance]
	if !ok || e.State != Live || e.Incarnation != incarnation {
		return
	}
	if now-e.lastContact < t.cfg.Interval/urgentDivisor {
		return
	}
	t.suspect(now, e)
}

// newHeartbeat builds a heartbeat for e. With ack 0 it is a probe.
func (t *Table) newHeartbeat(ack uint64, e *entry) *meshpb.Heartbeat {
	return &meshpb.Heartbeat{
		Instance:         t.self.Instance,
		Incarnation:      t.self.Incarnation,
		Seq:              t.seq,
		State:            stateToProto(t.self),
		SettingsRevision: t.settingsRevision,
		Changed:          t.piggybackFor(e),
		Shards:           t.digests,
		Refutation:       t.self.Refutation,
		Ack:              ack,
		TableHash:        t.hash,
		FailureDomain:    t.self.FailureDomain,
		MeshAddr:         t.self.MeshAddr,
	}
}

// piggybackFor selects the states to piggyback: the receiver's own if it has to refute it; then recent changes; then, while the two
// tables differ, a rotating slice of the whole table.
func (t *Table) piggybackFor(e *entry) []*meshpb.Member {
	var out []*meshpb.Member
	if e.State != Live {
		out = append(out, toProto(e.Member))
	}
	for _, name := range t.order {
		if len(out) >= maxChanged {
			return out
		}
		c := t.members[name]
		if c.sendsLeft > 0 && c != e {
			c.sendsLeft--
			out = append(out, toProto(c.Member))
		}
	}
	if !e.tableDiffers {
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
