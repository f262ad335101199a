package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// started is a set of n that know each other.
func started(t must.T, n int) *sim {
	s := newSim(t, n, 1)
	s.giveList(s.list())
	s.run(3 * testInterval)
	s.runUntilConverged(10 * time.Second)
	return s
}

func (s *sim) state(at, of int) Member {
	m, _ := s.nodes[at].table.Get(s.names[of])
	return m
}

// An instance is killed. Its address refuses, so suspicion starts at the next heartbeat, and without a refutation it
// is dead at every other one within suspicion and death times, whatever the instance list still says.
func TestKilledInstanceIsDeadEverywhereThoughListed(t *testing.T) {
	s := started(t, 8)
	stale := s.list()
	s.nodes[3].killed = true
	took := s.runUntilConverged(time.Second)
	s.giveList(stale)
	s.run(time.Second)
	must.Eq(t, "", s.converged())
	t.Logf("dead everywhere after %v, interval %v", took, testInterval)
}

// An instance is frozen long enough to be buried, then goes on. It must neither bury the others, whose answers it
// did not read, nor stay dead: it learns what is thought of it from the first answer, and refutes.
func TestFrozenInstanceComesBackAndBuriesNobody(t *testing.T) {
	s := started(t, 8)
	s.nodes[2].paused = true
	s.run(3 * time.Second)
	must.EqOp(t, Dead, s.state(0, 2).State)
	s.nodes[2].paused = false
	s.nodes[2].table.Tick(s.now) // not delivered: it decides with nothing but its clock
	for i := range s.nodes {
		if i != 2 {
			must.EqOp(t, Live, s.state(2, i).State)
		}
	}
	s.runUntilConverged(time.Second)
}

// An instance is frozen, the platform replaces it under the same name, and then the old process wakes. Its
// heartbeats carry the old incarnation: nobody may take them for signs of life of the new one, nor go back to the old
// one, and the old process must learn that it is replaced.
func TestFrozenInstanceReturnsAfterItsReplacement(t *testing.T) {
	s := started(t, 5)
	old := s.nodes[4]
	old.paused = true
	s.run(2 * time.Second)
	s.start(4)
	s.giveList(s.list())
	s.runUntilConverged(time.Second)
	for range 20 {
		s.run(testInterval)
		s.beatOf(old)
	}
	must.True(t, old.table.Replaced())
	must.EqOp(t, 2, s.state(0, 4).Incarnation)
	must.EqOp(t, Live, s.state(0, 4).State)
	s.nodes[4].killed = true
	s.runUntilConvergedBeside(old, time.Second)
	for _, m := range old.table.View().Workers() {
		must.NotEq(t, "i004", m.Instance)
	}
}

// beatOf sends a round of heartbeats of a process that has no slot any more.
func (s *sim) beatOf(old *simNode) {
	for _, o := range old.table.Tick(s.now) {
		to := s.nodes[s.addrs[o.To.MeshAddr]]
		if answer := to.table.HandleHeartbeat(s.now, o.Heartbeat); answer != nil {
			old.table.HandleHeartbeat(s.now, answer)
		}
	}
}

func (s *sim) runUntilConvergedBeside(old *simNode, bound time.Duration) {
	for end := s.now + bound; s.now < end; s.run(testInterval) {
		s.beatOf(old)
	}
	must.Eq(s.t, "", s.converged())
}

// An address is given on to a new instance. The old one must be doubted at the first word of the new one: waiting
// for its silence would leave work with it for that time.
func TestNewInstanceOnAnAddressPutsTheOldOneInDoubt(t *testing.T) {
	s := started(t, 3)
	s.nodes[0].table.HandleHeartbeat(s.now, &meshpb.Heartbeat{Instance: "new", Incarnation: 1, Seq: 1, MeshAddr: s.addr(2)})
	must.EqOp(t, Suspect, s.state(0, 2).State)
	must.EqOp(t, Live, s.state(0, 1).State)
}

// One table knows an instance of old, and has told that as often as it tells any change. Another that missed all of
// it must still learn: its table's hash differs, and the whole table comes piece by piece.
func TestTablesThatDifferAreLevelled(t *testing.T) {
	a, b := newSim(t, 1, 1).nodes[0].table, NewTable(0, Config{Self: Member{Instance: "b", Incarnation: 1, MeshAddr: "b:1"}, Interval: testInterval})
	for i := range 50 {
		a.learn(0, Member{Instance: fmt.Sprint("x", i), Incarnation: 1, MeshAddr: fmt.Sprint("x:", i)})
	}
	for _, e := range a.members {
		e.sends = 0
	}
	rounds := 0
	for ; len(b.members) < 51 && rounds < 20; rounds++ {
		if answer := a.HandleHeartbeat(0, b.beat(0, &entry{})); answer != nil {
			b.HandleHeartbeat(0, answer)
		}
	}
	must.Len(t, 51, b.order)
	must.EqOp(t, a.hash, b.hash)
	must.LessEq(t, 6, rounds)
}

// An instance is replaced by another of a new name on the same address. The old one is in the instance list for some
// seconds more; it must be suspect as soon as the new one is heard, and dead soon after.
func TestReplacedOnTheSameAddress(t *testing.T) {
	s := started(t, 5)
	stale := s.list()
	s.names[4] = "new4"
	s.start(4)
	s.nodes[4].table.SetInstances(s.now, stale)
	s.run(2 * time.Second)
	s.giveList(stale)
	s.run(testInterval)
	for i := range 4 {
		gone, _ := s.nodes[i].table.Get("i004")
		must.EqOp(t, Dead, gone.State)
		must.EqOp(t, Live, s.state(i, 4).State)
	}
}

// A stopping instance announces it. Every other one must know within three seconds at the letter's size, by its own
// word and not by the list, and must never take it for one that works again while it lives.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{8, 430} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := started(t, n)
			stale := s.list()
			s.nodes[1].table.Leave()
			took := s.runUntilConverged(3 * time.Second)
			s.giveList(stale)
			s.run(time.Second)
			must.Eq(t, "", s.converged())
			t.Logf("n=%d leaving known everywhere after %v, interval %v", n, took, testInterval)
		})
	}
}

// One link is cut and all others are sound. The two ends suspect each other again and again; others pass on the
// suspicion, and the suspect refutes it, so that neither is ever dead.
func TestOneCutLinkBuriesNobody(t *testing.T) {
	s := started(t, 8)
	for range 100 {
		s.runWithout(testInterval, 0, 1)
		for i := range s.nodes {
			must.NotEq(t, Dead, s.state(i, 0).State)
			must.NotEq(t, Dead, s.state(i, 1).State)
		}
	}
}

// runWithout runs for d without the link between a and b.
func (s *sim) runWithout(d time.Duration, a, b int) {
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

// Two sides lose each other for minutes and bury each other. Once the network is whole they must find each other
// without help from the list: each side tries one dead member a round.
func TestPartitionHealsWithoutTheList(t *testing.T) {
	s := started(t, 9)
	for i := range 4 {
		s.nodes[i].side = 1
	}
	s.run(2 * time.Minute)
	must.EqOp(t, Dead, s.state(0, 8).State)
	must.EqOp(t, Live, s.state(0, 1).State)
	for _, n := range s.nodes {
		n.side = 0
	}
	t.Logf("whole after %v, interval %v", s.runUntilConverged(10*time.Second), testInterval)
}

// Whatever is lost, cut, paused or replaced, two things hold at every step: nobody goes back to a lower incarnation,
// and nobody takes back that an incarnation is leaving. Once the faults end, all agree with the truth.
func TestConvergesAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 24).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		s.full = rapid.SampledFrom([]int{16, 4}).Draw(t, "full")
		s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		stale := s.list()
		s.giveList(stale)
		seen := newWatch(s)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.fault(t, &stale)
			for range rapid.IntRange(1, 30).Draw(t, "intervals") {
				s.run(testInterval)
				seen.check(t)
			}
		}
		s.heal()
		s.runUntilConverged(time.Minute)
		seen.check(t)
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
		n.side = 1
	case "mend":
		n.side = 0
	case "leave":
		if n.running() {
			n.table.Leave()
		}
	case "list":
		*stale = s.list()
		s.giveList(*stale)
	case "stale list":
		s.giveList(*stale)
	}
}

// heal ends all faults and gives a true list, as the platform does in the end.
func (s *sim) heal() {
	s.loss = 0
	for i, n := range s.nodes {
		n.side, n.paused = 0, false
		if n.killed {
			s.start(i)
		}
	}
	s.giveList(s.list())
}

// watch remembers, for each life of each process, the highest that it held of every instance.
type watch struct {
	s    *sim
	seen map[*Table]map[string]Member
}

func newWatch(s *sim) *watch { return &watch{s: s, seen: make(map[*Table]map[string]Member)} }

func (w *watch) check(t must.T) {
	for _, n := range w.s.nodes {
		checkCounts(t, n.table)
		held := w.seen[n.table]
		if held == nil {
			held = make(map[string]Member)
			w.seen[n.table] = held
		}
		for _, m := range n.table.View().Members {
			old := held[m.Instance]
			must.GreaterEq(t, old.Incarnation, m.Incarnation)
			if m.Incarnation == old.Incarnation && old.Leaving {
				must.True(t, m.Leaving, must.Sprintf("%s took back leaving of %s", n.table.Self().Instance, m.Instance))
			}
			held[m.Instance] = m
		}
	}
}

// checkCounts compares what a table keeps up to date with what it is worked out from.
func checkCounts(t must.T, table *Table) {
	notLive, hash := 0, memberHash(table.self)
	for _, e := range table.members {
		notLive += doubt(e.Member)
		hash ^= memberHash(e.Member)
	}
	must.EqOp(t, notLive, table.notLive)
	must.EqOp(t, hash, table.hash)
	must.EqOp(t, len(table.members), len(table.order))
	must.LessEq(t, len(table.members), len(table.heardAt))
}

func TestHeartbeatIsBoundedWhateverChanged(t *testing.T) {
	s := started(t, 64)
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
	moved := 0
	for i, self := range names[:100] {
		before := chooseNeighbours(self, append(append([]string{}, names[:i]...), names[i+1:]...), 16, 8)
		must.Len(t, 8, before)
		after := chooseNeighbours(self, append(append([]string{"new"}, names[:i]...), names[i+1:]...), 16, 8)
		for _, n := range before {
			if !contains(after, n) {
				moved++
			}
		}
	}
	must.LessEq(t, 10, moved, must.Sprint("links of 100 members moved by one join"))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
