package member

// SetInstances merges the platform's instance list, which lags by some seconds. It can add members, raise incarnations and mark members
// as leaving. It never revives a member that heartbeats found dead, and members missing from the list stay: they may be too new for it.
func (t *Table) SetInstances(now Time, list []Member) {
	for _, e := range t.members {
		e.listed = false
	}
	for _, m := range list {
		m.State, m.Refutation = Live, 0
		changed := t.merge(now, m)
		e, ok := t.members[m.Instance]
		if !ok {
			continue
		}
		e.listed = e.listed || e.Incarnation <= m.Incarnation
		if changed && !e.Leaving {
			e.sendsLeft = 0 // the others get the list too; at a start every entry would be piggybacked many times
		}
	}
}
