package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
)

// Heartbeats is the cost of membership for one node, the mean over all nodes.
type Heartbeats struct {
	Nodes       int
	SentPerSec  float64 // bytes sent a second
	MsgsPerSec  float64 // heartbeats and answers sent a second; 0 over sockets
	CPUFraction float64 // of one core
}

// HeartbeatsOverSockets runs n nodes in this process over loopback. Once all know each other it measures for d and divides
// the cost of the process by n. Bytes are those of yamux and TLS without TCP headers; tlsFiles nil means plaintext links.
func HeartbeatsOverSockets(ctx context.Context, n int, interval, d time.Duration, tlsFiles *mesh.TLSFiles) (Heartbeats, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &socketNodes{ctx: ctx}
	defer s.close()
	defer cancel()
	for i := range n {
		if err := s.add(i, interval, tlsFiles); err != nil {
			return Heartbeats{}, err
		}
	}
	if err := s.awaitMembership(n); err != nil {
		return Heartbeats{}, err
	}
	sent, cpu := s.sent(), processTime()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return Heartbeats{}, ctx.Err()
	}
	perNode := func(x float64) float64 { return x / d.Seconds() / float64(n) }
	return Heartbeats{
		Nodes:       n,
		SentPerSec:  perNode(float64(s.sent() - sent)),
		CPUFraction: perNode((processTime() - cpu).Seconds()),
	}, nil
}

type socketNodes struct {
	ctx     context.Context
	wg      sync.WaitGroup
	nodes   []*mesh.Node
	runners []*member.Runner
	members []member.Member
}

func (s *socketNodes) add(i int, interval time.Duration, tlsFiles *mesh.TLSFiles) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	self := member.Member{
		Instance:      fmt.Sprintf("i%03d", i),
		Incarnation:   1,
		FailureDomain: fmt.Sprint("d", i%3),
		MeshAddr:      ln.Addr().String(),
	}
	opts := mesh.Options{Self: mesh.Identity{Instance: self.Instance, Incarnation: 1}, Plaintext: tlsFiles == nil}
	if tlsFiles != nil {
		if opts.TLS, err = mesh.LoadTLS(*tlsFiles); err != nil {
			return err
		}
	}
	node, err := mesh.New(opts)
	if err != nil {
		return err
	}
	r := member.NewRunner(node, member.Config{Self: self, Interval: interval})
	s.nodes = append(s.nodes, node)
	s.runners = append(s.runners, r)
	s.members = append(s.members, self)
	s.wg.Go(func() { r.Run(s.ctx) })
	s.wg.Go(func() { node.Serve(ln) })
	return nil
}

// awaitMembership sends the member list to all nodes and waits until every table holds n members and the links are established.
func (s *socketNodes) awaitMembership(n int) error {
	for _, r := range s.runners {
		r.SetInstances(s.members)
	}
	last := s.sent()
	for end := time.Now().Add(membershipTimeout); time.Now().Before(end); {
		time.Sleep(membershipPoll)
		if sent := s.sent(); sent == last {
			continue
		}
		if s.allTablesHold(n) {
			time.Sleep(membershipPoll)
			return nil
		}
	}
	return fmt.Errorf("%d nodes did not discover each other within %s", n, membershipTimeout)
}

const (
	membershipTimeout = 20 * time.Second
	membershipPoll    = 300 * time.Millisecond
)

func (s *socketNodes) allTablesHold(n int) bool {
	for _, r := range s.runners {
		if len(r.View().Workers()) != n {
			return false
		}
	}
	return true
}

func (s *socketNodes) sent() (sum int64) {
	for _, n := range s.nodes {
		b, _ := n.Bytes()
		sum += b
	}
	return sum
}

func (s *socketNodes) close() {
	for _, n := range s.nodes {
		n.Close()
	}
	s.wg.Wait()
}

// processTime returns the user and system time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// HeartbeatsInMemory runs n membership tables for d of virtual time without any transport. It returns the size of the
// messages alone and the processor time of the state machine including the encoding of messages.
func HeartbeatsInMemory(n int, interval, d time.Duration) Heartbeats {
	tables := make(map[string]*member.Table, n)
	var list []member.Member
	for i := range n {
		self := member.Member{Instance: fmt.Sprintf("i%03d", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", i%3), MeshAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)}
		tables[self.Instance] = member.NewTable(0, member.Config{Self: self, Interval: interval})
		list = append(list, self)
	}
	for _, t := range tables {
		t.SetInstances(0, list)
	}
	now := exchangeHeartbeats(tables, 0, settleRounds*interval, interval, nil)
	var c messageCounter
	cpu := processTime()
	exchangeHeartbeats(tables, now, d, interval, &c)
	perNode := func(x float64) float64 { return x / d.Seconds() / float64(n) }
	return Heartbeats{
		Nodes:       n,
		SentPerSec:  perNode(float64(c.bytes)),
		MsgsPerSec:  perNode(float64(c.msgs)),
		CPUFraction: perNode((processTime() - cpu).Seconds()),
	}
}

// settleRounds is the number of rounds before the measurement, in which updates about the start finish propagating.
const settleRounds = 10

type messageCounter struct {
	msgs, bytes int
}

func (c *messageCounter) add(m proto.Message) {
	b, err := proto.Marshal(m)
	if err == nil {
		c.msgs++
		c.bytes += len(b)
	}
}

// exchangeHeartbeats delivers heartbeats between the tables for d and returns the time at the end.
func exchangeHeartbeats(tables map[string]*member.Table, now, d, interval time.Duration, c *messageCounter) time.Duration {
	for end := now + d; now < end; now += interval {
		for _, t := range tables {
			for _, o := range t.Tick(now) {
				answer := tables[o.To.Instance].HandleHeartbeat(now, o.Heartbeat)
				if c != nil {
					c.add(o.Heartbeat)
				}
				if answer == nil {
					continue
				}
				if c != nil {
					c.add(answer)
				}
				t.HandleHeartbeat(now, answer)
			}
		}
	}
	return now
}
