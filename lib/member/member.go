// Package member maintains the set of live instances by merging the platform's lagging instance list with heartbeats between the
// instances.
//
// Table is a state machine without I/O or clock: callers pass the time. Runner drives one over lib/mesh.
//
// The known state of a member is an element of a join-semilattice, so that updates may arrive late, repeatedly and in any order:
//
//   - a higher incarnation replaces everything known of a lower one;
//   - within an incarnation, leaving is never revoked;
//   - within an incarnation, a higher refutation wins, and at equal refutation dead beats suspect beats live.
//
// Only the member itself raises its refutation, when it learns that others consider it suspect or dead. An instance that was frozen or
// cut off thus recovers by refuting, and stale updates can't bring back one that was replaced.
//
// Traffic: up to Config.FullMesh members, each sends to all. In larger sets each sends to Config.Neighbours fixed peers, and changes
// spread piggybacked on the heartbeats; the bytes per second at a node then grow only with the rate of changes, not with the number
// of members.
package member

// State is the assumed state of a member in its current incarnation. Higher values win at equal refutation.
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

// Member is the state of one instance as known to this process.
type Member struct {
	Instance      string
	Incarnation   uint64
	Refutation    uint32
	State         State
	Leaving       bool
	FailureDomain string
	MeshAddr      string // IP:port
}

// AcceptsWork reports whether the member may own shards or be sent new work. Suspects are included: most suspicions are refuted, and
// moving everything that a member owns twice costs more than a short loss of contact.
func (m Member) AcceptsWork() bool { return m.State != Dead && !m.Leaving }

// Merge merges two states of the same instance. It is commutative, associative and idempotent.
func Merge(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if supersedes(b, a) {
		out = b
	}
	out.Leaving = a.Leaving || b.Leaving
	out.FailureDomain = max(a.FailureDomain, b.FailureDomain)
	out.MeshAddr = max(a.MeshAddr, b.MeshAddr)
	return out
}

// supersedes reports whether b supersedes a of the same incarnation.
func supersedes(b, a Member) bool {
	if b.Refutation != a.Refutation {
		return b.Refutation > a.Refutation
	}
	return b.State > a.State
}
