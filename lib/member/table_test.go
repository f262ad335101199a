package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// newConvergedSim returns a simulation of n members that know each other.
func newConvergedSim(t must.T, n int) *sim {
	s := newSim(t, n, 1)
	s.deliverList(s.list())
	s.run(3 * testInterval)
	s.runUntilConverged(10 * time.Second)
	return s
}

func (s *sim) state(observer, subject int) Member {
	m, _ := s.nodes[observer].table.Get(s.names[subject])
	return m
}

// An instance is killed. Its address refuses connections, so suspicion starts at the next heartbeat, and without a refutation all others
// declare it dead after the suspicion and death time-outs, even while the instance list still contains it.
func TestKilledInstanceIsDeadEverywhereDespiteList(t *testing.T) {
	s := newConvergedSim(t, 8)
	stale := s.list()
	s.nodes[3].killed = true
	took := s.runUntilConverged(time.Second)
	s.deliverList(stale)
	s.run(time.Second)
	must.Eq(t, "", s.firstDifference())
	t.Logf("dead everywhere after %v, interval %v", took, testInterval)
}

// An instance is frozen until it is declared dead, then resumes. It must not declare the others dead because it missed their replies, and
// must not stay dead: the first reply tells it of the suspicion, and it refutes.
func TestFrozenInstanceRecoversAndDeclaresNoneDead(t *testing.T) {
	s := newConvergedSim(t, 8)
	s.nodes[2].paused = true
	s.run(3 * time.Second)
	must.EqOp(t, Dead, s.state(0, 2).State)
	s.nodes[2].paused = false
	s.nodes[2].table.Tick(s.now) // heartbeats are not delivered: it decides by its clock alone
	for i := range s.nodes {
		if i != 2 {
			must.EqOp(t, Live, s.state(2, i).State)
		}
	}
	s.runUntilConverged(time.Second)
}

// An instance is frozen, the platform replaces it under the same name, and then the old process resumes. Its heartbeats carry the old
// incarnation: they must not count as contact with the new one, nor restore the old one, and the old process must learn that it was
// replaced.
func TestFrozenInstanceResumesAfterReplacement(t *testing.T) {
	s := newConvergedSim(t, 5)
	old := s.nodes[4]
	old.paused = true
	s.run(2 * time.Second)
	s.start(4)
	s.deliverList(s.list())
	s.runUntilConverged(time.Second)
	for range 20 {
		s.run(testInterval)
		s.sendRoundOf(old)
	}
	must.True(t, old.table.Replaced())
	must.EqOp(t, 2, s.state(0, 4).Incarnation)
	must.EqOp(t, Live, s.state(0, 4).State)
	s.nodes[4].killed = true
	s.runAlongside(old, time.Second)
	for _, m := range old.table.View().Workers() {
		must.NotEq(t, "i004", m.Instance)
	}
}

// sendRoundOf sends a round of heartbeats of a process that no longer has a slot.
func (s *sim) sendRoundOf(old *simNode) {
	for _, o := range old.table.Tick(s.now) {
		to := s.nodes[s.addrs[o.To.MeshAddr]]
		if reply := to.table.HandleHeartbeat(s.now, o.Heartbeat); reply != nil {
			old.table.HandleHeartbeat(s.now, reply)
		}
	}
}

func (s *sim) runAlongside(old *simNode, bound time.Duration) {
	for end := s.now + bound; s.now < end; s.run(testInterval) {
		s.sendRoundOf(old)
	}
	must.Eq(s.t, "", s.firstDifference())
}

// An address is reused for a new instance. The old one must become suspect at the first heartbeat of the new one: otherwise it would keep
// its work until the time-out.
func TestNewInstanceAtAddressMakesOldOneSuspect(t *testing.T) {
	s := newConvergedSim(t, 3)
	s.nodes[0].table.HandleHeartbeat(s.now, &meshpb.Heartbeat{Instance: "new", Incarnation: 1, Seq: 1, MeshAddr: s.addr(2)})
	must.EqOp(t, Suspect, s.state(0, 2).State)
	must.EqOp(t, Live, s.state(0, 1).State)
}

// One table knows 50 members and has already piggybacked them as often as it does. Another that missed all of that must still learn them:
// its table hash differs, so the whole table is sent piece by piece.
func TestDifferingTablesConverge(t *testing.T) {
	a, b := newSim(t, 1, 1).nodes[0].table, NewTable(0, Config{Self: Member{Instance: "b", Incarnation: 1, MeshAddr: "b:1"}, Interval: testInterval})
	for i := range 50 {
		a.merge(0, Member{Instance: fmt.Sprint("x", i), Incarnation: 1, MeshAddr: fmt.Sprint("x:", i)})
	}
	for _, e := range a.members {
		e.sendsLeft = 0
	}
	rounds := 0
	for ; len(b.members) < 51 && rounds < 20; rounds++ {
		if reply := a.HandleHeartbeat(0, b.newHeartbeat(0, &entry{})); reply != nil {
			b.HandleHeartbeat(0, reply)
		}
	}
	must.Len(t, 51, b.order)
	must.EqOp(t, a.hash, b.hash)
	must.LessEq(t, 6, rounds)
}

// An instance is replaced by one with a new name on the same address. The old one stays in the instance list for some seconds; it must be
// suspect at the first contact with the new one, and dead soon after.
func TestReplacementAtSameAddress(t *testing.T) {
	s := newConvergedSim(t, 5)
	stale := s.list()
	s.names[4] = "new4"
	s.start(4)
	s.nodes[4].table.SetInstances(s.now, stale)
	s.run(2 * time.Second)
	s.deliverList(stale)
	s.run(testInterval)
	for i := range 4 {
		replaced, _ := s.nodes[i].table.Get("i004")
		must.EqOp(t, Dead, replaced.State)
		must.EqOp(t, Live, s.state(i, 4).State)
	}
}

// A stopping instance announces that it leaves. All others must know within three seconds at the required size, from its heartbeats and
// not from the list, and must not take it for accepting work again while it is alive.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{8, 430} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newConvergedSim(t, n)
			stale := s.list()
			s.nodes[1].table.Leave()
			took := s.runUntilConverged(3 * time.Second)
			s.deliverList(stale)
			s.run(time.Second)
			must.Eq(t, "", s.firstDifference())
			t.Logf("n=%d leaving known everywhere after %v, interval %v", n, took, testInterval)
		})
	}
}

// One link is cut and all others work. Its two ends suspect each other repeatedly; other members forward the suspicion and the refutation,
// so that neither is ever declared dead.
func TestSingleCutLinkKillsNoMember(t *testing.T) {
	s := newConvergedSim(t, 8)
	for range 100 {
		s.runWithoutLink(testInterval, 0, 1)
		for i := range s.nodes {
			must.NotEq(t, Dead, s.state(i, 0).State)
			must.NotEq(t, Dead, s.state(i, 1).State)
		}
	}
}

// runWithoutLink runs for d without the link between a and b.
func (s *sim) runWithoutLink(d time.Duration, a, b int) {
	for end := s.now + d; s.now < end; {
		s.now += testInterval / urgentDivisor
		for i, n := range s.nodes {
			for _, o := range n.table.Tick(s.now) {
				to := s.addrs[o.To.MeshAddr]
				if (i == a && to == b) || (i == b && to == a) {
					continue
				}
				s.deliver(n, s.nodes[to], o.Heartbeat)
			}
		}
	}
}

// Two sides of a partition lose contact for minutes and declare each other dead. Once the network recovers they must find each other
// without the instance list: each side retries one dead member per round.
func TestPartitionHealsWithoutInstanceList(t *testing.T) {
	s := newConvergedSim(t, 9)
	for i := range 4 {
		s.nodes[i].partition = 1
	}
	s.run(2 * time.Minute)
	must.EqOp(t, Dead, s.state(0, 8).State)
	must.EqOp(t, Live, s.state(0, 1).State)
	for _, n := range s.nodes {
		n.partition = 0
	}
	t.Logf("whole after %v, interval %v", s.runUntilConverged(10*time.Second), testInterval)
}

// Whatever messages are lost and whichever members are cut off, paused or replaced, two invariants hold at every step: no member goes back
// to a lower incarnation, and none revokes that an incarnation is leaving. Once the faults end, all agree with the actual state.
func TestConvergesAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 24).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		s.fullMesh = rapid.SampledFrom([]int{16, 4}).Draw(t, "full")
		s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		stale := s.list()
		s.deliverList(stale)
		checker := newInvariantChecker(s)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.fault(t, &stale)
			for range rapid.IntRange(1, 30).Draw(t, "intervals") {
				s.run(testInterval)
				checker.check(t)
			}
		}
		s.heal()
		s.runUntilConverged(time.Minute)
		checker.check(t)
	})
}

func (s *sim) fault(t *rapid.T, stale *[]Member) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	n := s.nodes[i]
	switch rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "mend", "leave", "list", "stale list"}).Draw(t, "fault") {
	case "kill":
		n.killed = true
	case "restart":
		s.start(i)
		s.nodes[i].table.SetInstances(s.now, *stale)
	case "pause":
		n.paused = true
	case "resume":
		n.paused = false
	case "cut":
		n.partition = 1
	case "mend":
		n.partition = 0
	case "leave":
		if n.running() {
			n.table.Leave()
		}
	case "list":
		*stale = s.list()
		s.deliverList(*stale)
	case "stale list":
		s.deliverList(*stale)
	}
}

// heal ends all faults and delivers an accurate list, as the platform eventually does.
func (s *sim) heal() {
	s.loss = 0
	for i, n := range s.nodes {
		n.partition, n.paused = 0, false
		if n.killed {
			s.start(i)
		}
	}
	s.deliverList(s.list())
}

// invariantChecker records, for each incarnation of each process, the highest state that it held of every instance.
type invariantChecker struct {
	s    *sim
	seen map[*Table]map[string]Member
}

func newInvariantChecker(s *sim) *invariantChecker {
	return &invariantChecker{s: s, seen: make(map[*Table]map[string]Member)}
}

func (w *invariantChecker) check(t must.T) {
	for _, n := range w.s.nodes {
		checkCounts(t, n.table)
		highest := w.seen[n.table]
		if highest == nil {
			highest = make(map[string]Member)
			w.seen[n.table] = highest
		}
		for _, m := range n.table.View().Members {
			old := highest[m.Instance]
			must.GreaterEq(t, old.Incarnation, m.Incarnation)
			if m.Incarnation == old.Incarnation && old.Leaving {
				must.True(t, m.Leaving, must.Sprintf("%s revoked leaving of %s", n.table.Self().Instance, m.Instance))
			}
			highest[m.Instance] = m
		}
	}
}

// checkCounts compares the incrementally updated fields of a table with their recomputed values.
func checkCounts(t must.T, table *Table) {
	notLive, hash := 0, memberHash(table.self)
	for _, e := range table.members {
		notLive += notLiveCount(e.Member)
		hash ^= memberHash(e.Member)
	}
	must.EqOp(t, notLive, table.notLive)
	must.EqOp(t, hash, table.hash)
	must.EqOp(t, len(table.members), len(table.order))
	must.LessEq(t, len(table.members), len(table.lastAtAddr))
}

func TestHeartbeatSizeIsBounded(t *testing.T) {
	s := newConvergedSim(t, 64)
	for i := range 40 {
		s.nodes[i].killed = true
	}
	s.run(time.Second)
	s.nodes[50].table.SetLocal(1, make([]*meshpb.ShardDigest, 1000))
	for _, o := range s.nodes[50].table.Tick(s.now + testInterval) {
		must.LessEq(t, maxChanged, len(o.Heartbeat.GetChanged()))
		must.LessEq(t, maxDigests, len(o.Heartbeat.GetShards()))
	}
}

func TestNeighboursAreBoundedAndStable(t *testing.T) {
	names := make([]string, 430)
	for i := range names {
		names[i] = fmt.Sprintf("i%03d", i)
	}
	changed := 0
	for i, self := range names[:100] {
		before := chooseNeighbours(self, append(append([]string{}, names[:i]...), names[i+1:]...), 16, 8)
		must.Len(t, 8, before)
		after := chooseNeighbours(self, append(append([]string{"new"}, names[:i]...), names[i+1:]...), 16, 8)
		for _, n := range before {
			if !contains(after, n) {
				changed++
			}
		}
	}
	must.LessEq(t, 10, changed, must.Sprint("links of 100 members changed by one join"))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
