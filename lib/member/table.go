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

// Time is the time since any fixed moment, on the caller's monotonic clock.
type Time = time.Duration

// entry is a member with what only this process knows of it.
type entry struct {
	Member
	heard      Time // last direct sign of life, or when it was first known
	watched    Time // since when it is a neighbour without a break; -1: it is none
	suspected  Time // since when it is suspect
	died       Time // since when it is dead
	listed     bool // in the last instance list
	sends      int  // how often its last change is still to be piggybacked
	differs    bool // its table differed from ours in its last heartbeat
	settings   uint64
	digests    []*meshpb.ShardDigest
	digestedAt Time
}

const notWatched Time = -1

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	self       Member
	members    map[string]*entry // others, never self
	heardAt    map[string]string // by address, who was heard there last
	notLive    int               // members that are suspect or dead
	order      []string          // names of members, sorted, for rounds that don't depend on the map
	rng        *rand.Rand
	seq        uint64
	version    uint64 // grows with each change of any member
	hash       uint64 // of all members that are not dead, self included
	neighbours []string
	stale      bool // neighbours must be chosen again
	lastTick   Time
	lastRound  Time
	urgent     bool
	replaced   bool
	rotation   int
	settings   uint64
	digests    []*meshpb.ShardDigest
}

// NewTable returns a table that knows only itself.
func NewTable(now Time, cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:       cfg,
		self:      cfg.Self,
		members:   make(map[string]*entry),
		heardAt:   make(map[string]string),
		rng:       rand.New(rand.NewPCG(cfg.Seed, rendezvous.Hash(cfg.Self.Instance))),
		lastTick:  now,
		lastRound: now - cfg.Interval,
		version:   1,
	}
	t.hash = memberHash(t.self)
	return t
}

// Self returns this instance as it shows itself.
func (t *Table) Self() Member { return t.self }

// Version grows with every change that View shows.
func (t *Table) Version() uint64 { return t.version }

// Replaced reports that a higher incarnation of this instance exists: this process must take no more work. It learns
// so when it wakes from a long pause during which its instance was replaced.
func (t *Table) Replaced() bool { return t.replaced }

// Get returns what is known of an instance.
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

// SetLocal sets what heartbeats tell of this instance beside its state.
func (t *Table) SetLocal(settingsRevision uint64, digests []*meshpb.ShardDigest) {
	t.settings = settingsRevision
	t.digests = digests[:min(len(digests), maxDigests)]
}

// SetInterval changes the time between rounds, and with it the times to suspicion and death.
func (t *Table) SetInterval(d time.Duration) {
	if d > 0 && d != t.cfg.Interval {
		t.cfg = t.cfg.at(d)
	}
}

// Leave announces that this instance is stopping. It can't be taken back: a new life needs a new incarnation.
func (t *Table) Leave() {
	if t.self.Leaving {
		return
	}
	t.changeSelf(func(m *Member) { m.Leaving = true })
}

func (t *Table) changeSelf(f func(m *Member)) {
	t.hash ^= memberHash(t.self)
	f(&t.self)
	t.hash ^= memberHash(t.self)
	t.version++
	t.urgent = true
}

// learn joins news on any instance, own included, and reports whether it changed anything.
func (t *Table) learn(now Time, m Member) bool {
	if m.Instance == "" {
		return false
	}
	if m.Instance == t.self.Instance {
		return t.learnSelf(m)
	}
	e, ok := t.members[m.Instance]
	if !ok {
		return t.add(now, m)
	}
	merged := Merge(e.Member, m)
	if merged == e.Member {
		return false
	}
	t.set(now, e, merged)
	return true
}

// learnSelf answers what others think of this instance. A suspicion is refuted by a number that no other may raise;
// a higher incarnation means that this process is the old one.
func (t *Table) learnSelf(m Member) bool {
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
	t.changeSelf(func(s *Member) { s.Refutation = m.Refutation + 1 })
	return true
}

func (t *Table) add(now Time, m Member) bool {
	if m.State == Dead || len(t.members) >= t.cfg.MaxMembers {
		return false
	}
	e := &entry{Member: m, heard: now, watched: notWatched, sends: t.sendsEach()}
	if m.State == Suspect {
		e.suspected = now
		t.notLive++
	}
	t.members[m.Instance] = e
	at, _ := slices.BinarySearch(t.order, m.Instance)
	t.order = slices.Insert(t.order, at, m.Instance)
	t.hash ^= memberHash(m)
	t.version++
	t.stale = true
	t.urgent = true
	return true
}

// set replaces a member's state and dates the change.
func (t *Table) set(now Time, e *entry, m Member) {
	old := e.Member
	t.hash ^= memberHash(old) ^ memberHash(m)
	t.notLive += doubt(m) - doubt(old)
	e.Member = m
	e.sends = t.sendsEach()
	t.version++
	if m.Incarnation != old.Incarnation || m.MeshAddr != old.MeshAddr {
		e.heard, e.watched = now, notWatched
		e.digests, e.settings = nil, 0
		t.unhear(old)
	}
	switch {
	case m.State == Suspect && old.State != Suspect:
		e.suspected = now
	case m.State == Dead && old.State != Dead:
		e.died = now
		e.digests = nil
	case m.State == Live && old.State == Dead:
		e.heard = now
	}
	t.stale = t.stale || (m.State == Dead) != (old.State == Dead)
	t.urgent = true
}

func doubt(m Member) int {
	if m.State == Live {
		return 0
	}
	return 1
}

func (t *Table) drop(name string) {
	e := t.members[name]
	t.notLive -= doubt(e.Member)
	t.unhear(e.Member)
	delete(t.members, name)
	if at, ok := slices.BinarySearch(t.order, name); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
	t.version++
	t.stale = true
}

// unhear forgets that a member was heard at its address.
func (t *Table) unhear(m Member) {
	if t.heardAt[m.MeshAddr] == m.Instance {
		delete(t.heardAt, m.MeshAddr)
	}
}

// sendsEach is how often a change is piggybacked: enough to reach all with high probability, so that no member
// repeats old news for ever.
func (t *Table) sendsEach() int {
	return 3 * (bits.Len(uint(len(t.members))) + 1)
}

// memberHash is 0 for the dead, so that a member forgotten here and dead there make no difference.
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

// compareNames orders members for callers.
func compareNames(a, b Member) int { return strings.Compare(a.Instance, b.Instance) }
