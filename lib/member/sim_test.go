package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

const testInterval = 100 * time.Millisecond

// simNode is one process: its table, and whether it is running.
type simNode struct {
	table     *Table
	paused    bool
	killed    bool
	partition int // nodes on different sides can't reach each other
	// traffic
	messages int
	bytes    int
}

// sim delivers heartbeats between tables in virtual time, with loss. Delivery takes no time, replies included.
type sim struct {
	t            must.T
	now          Time
	rng          *rand.Rand
	nodes        []*simNode // by slot; a replacement process takes over the slot
	addrs        map[string]int
	incarnations []uint64
	names        []string
	loss         float64
	fullMesh     int
}

func newSim(t must.T, n int, seed uint64) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), addrs: make(map[string]int)}
	for i := range n {
		s.nodes = append(s.nodes, nil)
		s.names = append(s.names, fmt.Sprintf("i%03d", i))
		s.incarnations = append(s.incarnations, 0)
		s.addrs[s.addr(i)] = i
		s.start(i)
	}
	return s
}

func (s *sim) addr(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/250, i%250) }

func (s *sim) self(i int) Member {
	return Member{Instance: s.names[i], Incarnation: s.incarnations[i], FailureDomain: fmt.Sprint("d", i%3), MeshAddr: s.addr(i)}
}

// start starts a new incarnation of slot i, which knows no other member yet.
func (s *sim) start(i int) {
	s.incarnations[i]++
	cfg := Config{Self: s.self(i), Interval: testInterval, Seed: uint64(i), ForgetAfter: time.Hour, FullMesh: s.fullMesh}
	side := 0
	if s.nodes[i] != nil {
		side = s.nodes[i].partition
	}
	s.nodes[i] = &simNode{table: NewTable(s.now, cfg), partition: side}
}

// list returns the platform's list: the actual state at this time.
func (s *sim) list() []Member {
	var out []Member
	for i, n := range s.nodes {
		if !n.killed {
			m := s.self(i)
			m.Leaving = n.table.Self().Leaving
			out = append(out, m)
		}
	}
	return out
}

func (s *sim) deliverList(list []Member) {
	for _, n := range s.nodes {
		if n.running() {
			n.table.SetInstances(s.now, list)
		}
	}
}

func (n *simNode) running() bool { return !n.killed && !n.paused }

// run advances time by d, in steps of a fifth of an interval.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += testInterval / urgentDivisor
		for i, n := range s.nodes {
			if n.running() {
				s.send(i, n, n.table.Tick(s.now))
			}
		}
	}
}

func (s *sim) send(from int, n *simNode, out []Outgoing) {
	for _, o := range out {
		n.messages++
		n.bytes += proto.Size(o.Heartbeat)
		to, ok := s.addrs[o.To.MeshAddr]
		if !ok || s.nodes[to].killed || s.names[to] != o.To.Instance {
			n.table.Unreachable(s.now, o.To.Instance, o.To.Incarnation)
			continue
		}
		s.deliver(n, s.nodes[to], o.Heartbeat)
	}
}

func (s *sim) deliver(from, to *simNode, hb *meshpb.Heartbeat) {
	if s.lost(from, to) {
		return
	}
	reply := to.table.HandleHeartbeat(s.now, hb)
	if reply == nil {
		return
	}
	to.messages++
	to.bytes += proto.Size(reply)
	if !s.lost(to, from) {
		from.table.HandleHeartbeat(s.now, reply)
	}
}

func (s *sim) lost(a, b *simNode) bool {
	return !a.running() || !b.running() || a.partition != b.partition || s.rng.Float64() < s.loss
}

// firstDifference returns the first difference from the actual state, or "".
func (s *sim) firstDifference() string {
	for i, n := range s.nodes {
		if !n.running() {
			continue
		}
		for j, o := range s.nodes {
			if i == j {
				continue
			}
			m, known := n.table.Get(s.names[j])
			switch {
			case o.killed && known && m.State != Dead:
				return fmt.Sprintf("%s assumes killed %s is %v", s.names[i], s.names[j], m.State)
			case !o.killed && !known:
				return fmt.Sprintf("%s does not know %s", s.names[i], s.names[j])
			case !o.killed && m.State != Live:
				return fmt.Sprintf("%s assumes running %s is %v", s.names[i], s.names[j], m.State)
			case !o.killed && m.Incarnation != s.incarnations[j]:
				return fmt.Sprintf("%s has incarnation of %s at %d, want %d", s.names[i], s.names[j], m.Incarnation, s.incarnations[j])
			case !o.killed && m.Leaving != o.table.Self().Leaving:
				return fmt.Sprintf("%s has leaving of %s wrong", s.names[i], s.names[j])
			}
		}
	}
	return ""
}

// runUntilConverged runs until convergence and returns the time it took; it fails after bound.
func (s *sim) runUntilConverged(bound time.Duration) time.Duration {
	start := s.now
	for s.firstDifference() != "" {
		if s.now-start > bound {
			must.Eq(s.t, "", s.firstDifference(), must.Sprintf("after %v", bound))
		}
		s.run(testInterval)
	}
	return s.now - start
}
