package member

import (
	"slices"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// View is an immutable snapshot of the table.
type View struct {
	Version  uint64
	Self     Member
	Members  []Member // all known members including self, sorted by instance
	Replaced bool     // a higher incarnation of this instance exists
	Isolated bool     // other members are known and all of them are dead
}

// View returns a snapshot of the table.
func (t *Table) View() *View {
	v := &View{Version: t.version, Self: t.self, Replaced: t.replaced, Isolated: len(t.members) > 0}
	v.Members = make([]Member, 0, len(t.members)+1)
	v.Members = append(v.Members, t.self)
	for _, e := range t.members {
		v.Members = append(v.Members, e.Member)
		v.Isolated = v.Isolated && e.State == Dead
	}
	slices.SortFunc(v.Members, compareNames)
	return v
}

// Get returns a member by instance name.
func (v *View) Get(instance string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, instance, func(m Member, name string) int {
		return compareNames(m, Member{Instance: name})
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Workers returns the members that accept work. An instance that was replaced leaves itself out.
func (v *View) Workers() []Member {
	out := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if v.Replaced && m.Instance == v.Self.Instance {
			continue
		}
		if m.AcceptsWork() {
			out = append(out, m)
		}
	}
	return out
}

// Digest is the latest shard digest received from the instance that owns the shard.
type Digest struct {
	Instance string
	Age      Time // since it was received
	*meshpb.ShardDigest
}

// Digests returns the shard digests of the members that accept work, in order of instance.
func (t *Table) Digests(now Time) []Digest {
	var out []Digest
	for _, name := range t.order {
		e := t.members[name]
		if !e.AcceptsWork() {
			continue
		}
		for _, d := range e.digests {
			out = append(out, Digest{Instance: name, Age: now - e.digestsAt, ShardDigest: d})
		}
	}
	return out
}

// SettingsRevisions returns the highest settings revision that each other member reported, whether it is in force or not.
func (t *Table) SettingsRevisions() map[string]uint64 {
	out := make(map[string]uint64, len(t.members))
	for name, e := range t.members {
		out[name] = e.settingsRevision
	}
	return out
}
