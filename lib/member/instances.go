package member

// SetInstances joins the platform's list, which is some seconds behind. It can add members, raise incarnations and
// announce leaving. It never revives one that heartbeats found dead, and a member that it lacks stays: the list may
// not have it yet.
func (t *Table) SetInstances(now Time, list []Member) {
	for _, e := range t.members {
		e.listed = false
	}
	for _, m := range list {
		m.State, m.Refutation = Live, 0
		changed := t.learn(now, m)
		e, ok := t.members[m.Instance]
		if !ok {
			continue
		}
		e.listed = e.listed || e.Incarnation <= m.Incarnation
		if changed && !e.Leaving {
			e.sends = 0 // all others get the list too; at a start it would be the whole of it, many times
		}
	}
}
