// Package member keeps the set of instances that are live, by joining the platform's lagging instance list with
// heartbeats between the instances.
//
// Table is a state machine without I/O or clock: callers pass the time. Runner drives one over lib/mesh.
//
// What is known of a member is a point in a lattice, so that news may arrive late, twice and in any order:
//
//   - a higher incarnation replaces all that was known of a lower one;
//   - within an incarnation, leaving is never taken back;
//   - within an incarnation, a higher refutation wins, and at equal refutation dead beats suspect beats live.
//
// Only the member itself raises its refutation, when it learns that it is thought suspect or dead. An instance that
// was frozen or cut off thus comes back on its own word, and stale news can't bring back one that was replaced.
//
// Traffic: up to Config.FullMesh members, each sends to all. Over it, each sends to Config.Neighbours fixed peers, and
// changes travel piggybacked from peer to peer; bytes a second at a node then no longer grow with the members, but for
// the changes themselves.
package member

// State is what is thought of a member in its current incarnation. Higher values win at equal refutation.
type State uint8

// Values of State.
const (
	Live State = iota
	Suspect
	Dead
)

var stateNames = [...]string{"live", "suspect", "dead"}

// String returns the state's name in lower case.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Member is one instance as known here.
type Member struct {
	Instance      string
	Incarnation   uint64
	Refutation    uint32
	State         State
	Leaving       bool
	FailureDomain string
	MeshAddr      string // IP:port
}

// AcceptsWork reports whether the member may own anything or be sent anything new. A suspect still counts: most
// suspicions are refuted, and moving everything it owns twice costs more than a short silence.
func (m Member) AcceptsWork() bool { return m.State != Dead && !m.Leaving }

// Merge joins two pieces of news on the same instance. It is commutative, associative and idempotent.
func Merge(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if newer(b, a) {
		out = b
	}
	out.Leaving = a.Leaving || b.Leaving
	out.FailureDomain = max(a.FailureDomain, b.FailureDomain)
	out.MeshAddr = max(a.MeshAddr, b.MeshAddr)
	return out
}

// newer reports whether b says more than a of the same incarnation.
func newer(b, a Member) bool {
	if b.Refutation != a.Refutation {
		return b.Refutation > a.Refutation
	}
	return b.State > a.State
}
