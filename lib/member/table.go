package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Time is the time elapsed since an arbitrary fixed moment on the caller's monotonic clock.
type Time = time.Duration

// entry is a member together with what only this process knows about it.
type entry struct {
	Member
	lastContact      Time // last direct contact, or when the member was added
	neighbourSince   Time // since when it has been a neighbour without interruption; -1: it is not one
	suspectedAt      Time // when it became suspect
	diedAt           Time // when it was declared dead
	listed           bool // in the latest instance list
	sendsLeft        int  // how many more times its latest change is piggybacked
	tableDiffers     bool // its table hash differed from ours in its latest heartbeat
	settingsRevision uint64
	digests          []*meshpb.ShardDigest
	digestsAt        Time
}

const notNeighbour Time = -1

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	cfg              Config
	self             Member
	members          map[string]*entry // others, never self
	lastAtAddr       map[string]string // by address, the instance that was last in contact from it
	notLive          int               // number of members that are suspect or dead
	order            []string          // sorted names of members, for a deterministic order
	rng              *rand.Rand
	seq              uint64
	version          uint64 // incremented with each change of any member
	hash             uint64 // of all members that are not dead, including self
	neighbours       []string
	neighboursStale  bool // neighbours must be chosen anew
	lastTick         Time
	lastRound        Time
	urgent           bool
	replaced         bool
	rotation         int
	settingsRevision uint64
	digests          []*meshpb.ShardDigest
}

// NewTable returns a table that contains only this instance.
func NewTable(now Time, cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:        cfg,
		self:       cfg.Self,
		members:    make(map[string]*entry),
		lastAtAddr: make(map[string]string),
		rng:        rand.New(rand.NewPCG(cfg.Seed, rendezvous.Hash(cfg.Self.Instance))),
		lastTick:   now,
		lastRound:  now - cfg.Interval,
		version:    1,
	}
	t.hash = memberHash(t.self)
	return t
}

// Self returns the state of this instance.
func (t *Table) Self() Member { return t.self }

// Version returns a number that increases with every change visible in View.
func (t *Table) Version() uint64 { return t.version }

// Replaced reports whether a higher incarnation of this instance exists: this process must accept no more work. It learns this when it
// resumes after a long pause during which its instance was replaced.
func (t *Table) Replaced() bool { return t.replaced }

// Get returns the known state of an instance.
func (t *Table) Get(instance string) (Member, bool) {
	if instance == t.self.Instance {
		return t.self, true
	}
	e, ok := t.members[instance]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// SetLocal sets what heartbeats report of this instance in addition to its state.
func (t *Table) SetLocal(settingsRevision uint64, digests []*meshpb.ShardDigest) {
	t.settingsRevision = settingsRevision
	t.digests = digests[:min(len(digests), maxDigests)]
}

// SetInterval changes the interval between rounds, and with it the time-outs for suspicion and death.
func (t *Table) SetInterval(d time.Duration) {
	if d > 0 && d != t.cfg.Interval {
		t.cfg = t.cfg.withInterval(d)
	}
}

// Leave announces that this instance is stopping. It can't be revoked: a restart needs a new incarnation.
func (t *Table) Leave() {
	if t.self.Leaving {
		return
	}
	t.updateSelf(func(m *Member) { m.Leaving = true })
}

func (t *Table) updateSelf(f func(m *Member)) {
	t.hash ^= memberHash(t.self)
	f(&t.self)
	t.hash ^= memberHash(t.self)
	t.version++
	t.urgent = true
}

// merge merges a received state of any instance, including this one, and reports whether it changed anything.
func (t *Table) merge(now Time, m Member) bool {
	if m.Instance == "" {
		return false
	}
	if m.Instance == t.self.Instance {
		return t.mergeSelf(m)
	}
	e, ok := t.members[m.Instance]
	if !ok {
		return t.add(now, m)
	}
	merged := Merge(e.Member, m)
	if merged == e.Member {
		return false
	}
	t.update(now, e, merged)
	return true
}

// mergeSelf handles what others assume about this instance. A suspicion is refuted by raising the refutation, which no other member may
// do; a higher incarnation means that this process was replaced.
func (t *Table) mergeSelf(m Member) bool {
	if m.Incarnation > t.self.Incarnation {
		changed := !t.replaced
		t.replaced = true
		return changed
	}
	if m.Incarnation < t.self.Incarnation {
		return false
	}
	if m.Leaving && !t.self.Leaving {
		t.Leave()
	}
	if m.State == Live || m.Refutation < t.self.Refutation {
		return false
	}
	t.updateSelf(func(s *Member) { s.Refutation = m.Refutation + 1 })
	return true
}

func (t *Table) add(now Time, m Member) bool {
	if m.State == Dead || len(t.members) >= t.cfg.MaxMembers {
		return false
	}
	e := &entry{Member: m, lastContact: now, neighbourSince: notNeighbour, sendsLeft: t.piggybackCount()}
	if m.State == Suspect {
		e.suspectedAt = now
		t.notLive++
	}
	t.members[m.Instance] = e
	i, _ := slices.BinarySearch(t.order, m.Instance)
	t.order = slices.Insert(t.order, i, m.Instance)
	t.hash ^= memberHash(m)
	t.version++
	t.neighboursStale = true
	t.urgent = true
	return true
}

// update replaces a member's state and records the time of the change.
func (t *Table) update(now Time, e *entry, m Member) {
	old := e.Member
	t.hash ^= memberHash(old) ^ memberHash(m)
	t.notLive += notLiveCount(m) - notLiveCount(old)
	e.Member = m
	e.sendsLeft = t.piggybackCount()
	t.version++
	if m.Incarnation != old.Incarnation || m.MeshAddr != old.MeshAddr {
		e.lastContact, e.neighbourSince = now, notNeighbour
		e.digests, e.settingsRevision = nil, 0
		t.clearAddr(old)
	}
	switch {
	case m.State == Suspect && old.State != Suspect:
		e.suspectedAt = now
	case m.State == Dead && old.State != Dead:
		e.diedAt = now
		e.digests = nil
	case m.State == Live && old.State == Dead:
		e.lastContact = now
	}
	t.neighboursStale = t.neighboursStale || (m.State == Dead) != (old.State == Dead)
	t.urgent = true
}

func notLiveCount(m Member) int {
	if m.State == Live {
		return 0
	}
	return 1
}

func (t *Table) remove(name string) {
	e := t.members[name]
	t.notLive -= notLiveCount(e.Member)
	t.clearAddr(e.Member)
	delete(t.members, name)
	if i, ok := slices.BinarySearch(t.order, name); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
	t.version++
	t.neighboursStale = true
}

// clearAddr removes the record that a member was last in contact from its address.
func (t *Table) clearAddr(m Member) {
	if t.lastAtAddr[m.MeshAddr] == m.Instance {
		delete(t.lastAtAddr, m.MeshAddr)
	}
}

// piggybackCount returns how many times a change is piggybacked: enough to reach all members with high probability, and bounded so that old
// changes are not repeated forever.
func (t *Table) piggybackCount() int {
	return 3 * (bits.Len(uint(len(t.members))) + 1)
}

// memberHash is 0 for dead members, so that one that is forgotten here and still recorded as dead there makes no difference.
func memberHash(m Member) uint64 {
	if m.State == Dead {
		return 0
	}
	h := rendezvous.Hash(m.Instance)
	h = rendezvous.Mix(h ^ m.Incarnation)
	h = rendezvous.Mix(h ^ uint64(m.Refutation)<<8 ^ uint64(m.State))
	if m.Leaving {
		h = rendezvous.Mix(h ^ 1)
	}
	return h
}

// compareNames orders members by instance name.
func compareNames(a, b Member) int { return strings.Compare(a.Instance, b.Instance) }
