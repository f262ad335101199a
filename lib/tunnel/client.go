package tunnel

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

const (
	// dialTimeout bounds the peer's attempt to connect to a target.
	dialTimeout = 150 * time.Millisecond
	// peerTimeout bounds one peer's answer, beyond which the next is tried as well. For a peer that has answered more slowly lately, it is
	// patience times its answer's time, up to maxPeerTimeout: where processors are busy, all peers are slow.
	peerTimeout    = 60 * time.Millisecond
	maxPeerTimeout = 600 * time.Millisecond
	patience       = 2
	// attemptTimeout bounds an attempt whose call has not waited for it, which shows how slow the peer is.
	attemptTimeout = time.Second
	// maxPeers is the number of peers tried for one connection.
	maxPeers = 4
	// maxUnreachable is the number of peers that have to find a target unreachable before the target is taken to be so.
	maxUnreachable = 2
	// candidatesPerSide bounds the peers of the own failure domain, those of the rest of the own region, and those of each other region that an
	// instance uses.
	candidatesPerSide = 6
	// backoffMin and backoffMax bound the time for which a peer that could not help is tried after all others.
	backoffMin = 250 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Errors of Client.Dial.
var (
	// ErrUnreachable: peers could not connect to the target either.
	ErrUnreachable = errors.New("tunnel: the target is unreachable for peers, too")
	// ErrNoPeer: no peer could be used.
	ErrNoPeer = errors.New("tunnel: no peer carries the connection")
	// errSlowPeers: peers have not answered yet.
	errSlowPeers = fmt.Errorf("%w: not in time", ErrNoPeer)
)

var (
	opened = metrics.NewCounter(`anvilwick_tunnel_opened_total`)
	failed = metrics.NewCounter(`anvilwick_tunnel_failed_total`)
)

// Peer is another instance.
type Peer struct {
	Name   string
	Domain string // failure domain
	Region string // empty: unknown, or the site has none
	Addr   string // of its mesh node
}

// Client opens connections to targets by way of peers. It is safe for concurrent use.
type Client struct {
	// RegionOf returns the region of the target at an address, empty if it is unknown, and whether requests are bound to regions. If they are,
	// only peers of the own region and of the target's carry connections: a request's body must not pass through another. Nil: no request is
	// bound. Set it before the first Dial.
	RegionOf func(addr string) (region string, bound bool)

	node         *mesh.Node
	self, domain string
	stalls       stalls

	mu         sync.Mutex
	region     string       // own
	candidates []*candidate // in order of preference while none has failed
}

// candidate is a peer and what is known of its usefulness.
type candidate struct {
	Peer
	open       int // connections that it carries for this instance
	backoff    time.Duration
	avoidUntil time.Time
	answerTime time.Duration // of its answers lately
}

// NewClient returns a client without peers. domain is the instance's own failure domain.
// memory bounds what connections hold whose data is not read; nil: there is no limit.
func NewClient(node *mesh.Node, self, domain string, memory *membudget.Budget) *Client {
	return &Client{node: node, self: self, domain: domain, stalls: stalls{memory: memory}}
}

// SetPeers replaces the list of instances, and the own region. The client uses some of its own failure domain, some of the rest of its region and
// some of each other region, since a whole domain may lose its links at once. Each instance uses others, by rendezvous hashing, so that the load
// is spread.
func (c *Client) SetPeers(list []Peer, region string) {
	hash := rendezvous.Hash("tunnel " + c.self)
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rendezvous.Rank(hash, rendezvous.Hash(b.Name)), rendezvous.Rank(hash, rendezvous.Hash(a.Name))), cmp.Compare(a.Name, b.Name))
	})
	sides := c.sides(ranked, region)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.region = region
	known := make(map[Peer]*candidate, len(c.candidates))
	for _, k := range c.candidates {
		known[k.Peer] = k
	}
	c.candidates = c.candidates[:0:0]
	for i := range candidatesPerSide {
		for _, side := range sides {
			if i >= len(side) {
				continue
			}
			k := known[side[i]]
			if k == nil {
				k = &candidate{Peer: side[i]}
			}
			c.candidates = append(c.candidates, k)
		}
	}
}

// sides returns the peers that the client uses: those of the own failure domain first, then those of the rest of its region, then those of each
// other region.
func (c *Client) sides(ranked []Peer, region string) [][]Peer {
	sides := make([][]Peer, 2)
	index := map[string]int{region: 1}
	for _, p := range ranked {
		if p.Name == c.self {
			continue
		}
		side := 0
		if p.Domain != c.domain {
			known := false
			if side, known = index[p.Region]; !known {
				side = len(sides)
				index[p.Region] = side
				sides = append(sides, nil)
			}
		}
		if len(sides[side]) < candidatesPerSide {
			sides[side] = append(sides[side], p)
		}
	}
	return sides
}

// choose returns the peers to try for a target, the most promising first: those that did not fail lately, then those that carry least.
func (c *Client) choose(now time.Time, addr string) []*candidate {
	region, bound := c.regionOf(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.DeleteFunc(slices.Clone(c.candidates), func(p *candidate) bool {
		return bound && (p.Region == "" || p.Region != c.region && p.Region != region)
	})
	slices.SortStableFunc(out, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.avoidedFor(now), b.avoidedFor(now)), cmp.Compare(a.open, b.open))
	})
	return out[:min(maxPeers, len(out))]
}

func (c *Client) regionOf(addr string) (region string, bound bool) {
	if c.RegionOf == nil {
		return "", false
	}
	return c.RegionOf(addr)
}

// avoidedFor returns how much longer the peer is tried after all others.
func (p *candidate) avoidedFor(now time.Time) time.Duration { return max(0, p.avoidUntil.Sub(now)) }

// recordAnswer records how long the peer took to answer: a slower answer counts at once, a faster one by a quarter.
func (p *candidate) recordAnswer(took time.Duration) {
	p.answerTime = max(took, (3*p.answerTime+took)/4)
}

// attempt is the outcome of one peer's attempt.
type attempt struct {
	conn   *Conn
	status meshpb.TunnelStatus // TUNNEL_UNSPECIFIED: the peer did not answer
}

// Dial opens a connection to the target at addr by way of a peer.
func (c *Client) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := c.newDialing(ctx, addr)
	conn, err := d.run(ctx)
	if !errors.Is(err, errSlowPeers) {
		d.cancel()
	}
	go d.closeUnused()
	if err != nil {
		failed.Inc()
		return nil, err
	}
	opened.Inc()
	return conn, nil
}

// dialing is one call of Dial: attempts with several peers, each begun when those before it have failed or are slow.
type dialing struct {
	client   *Client
	addr     string
	peers    []*candidate    // not tried yet
	timeouts []time.Duration // of peers
	limit    time.Duration   // of the call
	results  chan attempt
	pending  int // attempts without a result
	failures int // peers that found the target unreachable

	ctx    context.Context // of the attempts, which outlast a call that stops waiting for slow peers
	cancel context.CancelFunc
}

func (c *Client) newDialing(ctx context.Context, addr string) *dialing {
	peers := c.choose(time.Now(), addr)
	d := &dialing{client: c, addr: addr, peers: peers, timeouts: c.timeouts(peers), results: make(chan attempt, len(peers))}
	d.limit = dialTimeout + slices.Max(append(d.timeouts, peerTimeout))
	d.ctx, d.cancel = context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	return d
}

// run returns the first connection that a peer opens.
func (d *dialing) run(ctx context.Context) (net.Conn, error) {
	limit := time.NewTimer(d.limit)
	defer limit.Stop()
	for len(d.peers) > 0 || d.pending > 0 {
		select {
		case a := <-d.results:
			d.pending--
			if a.conn != nil {
				return a.conn, nil
			}
			if a.status == meshpb.TunnelStatus_TUNNEL_UNREACHABLE {
				d.failures++
			}
		case <-d.tryNext():
		case <-limit.C:
			return nil, errSlowPeers
		case <-ctx.Done():
			return nil, ErrNoPeer
		}
		if d.failures >= maxUnreachable {
			break
		}
	}
	if d.failures > 0 {
		return nil, ErrUnreachable
	}
	return nil, ErrNoPeer
}

// tryNext begins an attempt with the next peer, if there is one, and returns a channel that receives when the one after it may be tried.
func (d *dialing) tryNext() <-chan time.Time {
	if len(d.peers) == 0 {
		return nil
	}
	p, timeout := d.peers[0], d.timeouts[0]
	d.peers, d.timeouts = d.peers[1:], d.timeouts[1:]
	d.pending++
	go func() { d.results <- d.client.try(d.ctx, p, d.addr) }()
	return time.After(timeout)
}

// closeUnused closes the connections of attempts that are still pending.
func (d *dialing) closeUnused() {
	defer d.cancel()
	for range d.pending {
		if a := <-d.results; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// timeouts returns how long to wait for each peer before the next is tried as well.
func (c *Client) timeouts(peers []*candidate) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]time.Duration, len(peers))
	for i, p := range peers {
		out[i] = min(max(peerTimeout, patience*p.answerTime), maxPeerTimeout)
	}
	return out
}

// try requests a connection from one peer.
func (c *Client) try(ctx context.Context, p *candidate, addr string) attempt {
	start := time.Now()
	conn, status := c.open(ctx, p, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if status != meshpb.TunnelStatus_TUNNEL_UNSPECIFIED {
		p.recordAnswer(time.Since(start))
	}
	switch status {
	case meshpb.TunnelStatus_TUNNEL_OPEN:
		p.open++
		p.backoff, p.avoidUntil = 0, time.Time{}
	case meshpb.TunnelStatus_TUNNEL_DENIED:
		// This concerns the target, and not the peer.
	case meshpb.TunnelStatus_TUNNEL_UNREACHABLE:
		// The target is down, or the peer has lost its links and does not know yet.
		p.avoidUntil = time.Now().Add(backoffMin)
	default:
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.backoff = min(max(2*p.backoff, backoffMin), backoffMax)
			p.avoidUntil = time.Now().Add(p.backoff)
		}
	}
	return attempt{conn: conn, status: status}
}

func (c *Client) open(ctx context.Context, p *candidate, addr string) (*Conn, meshpb.TunnelStatus) {
	const unanswered = meshpb.TunnelStatus_TUNNEL_UNSPECIFIED
	stream, err := c.node.Open(ctx, mesh.Peer{Instance: p.Name, Addr: p.Addr}, meshpb.StreamKind_STREAM_TUNNEL)
	if err != nil {
		return nil, unanswered
	}
	stream.LimitMessages(maxMessage)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	var answer meshpb.TunnelOpened
	if stream.Write(&meshpb.TunnelOpen{Addr: addr}) != nil || stream.Read(&answer) != nil {
		answer.Status = unanswered
	}
	if !stop() || answer.Status != meshpb.TunnelStatus_TUNNEL_OPEN {
		_ = stream.Close()
		if answer.Status == meshpb.TunnelStatus_TUNNEL_OPEN {
			return nil, unanswered
		}
		return nil, answer.Status
	}
	return newConn(stream, addr, p.Name, &c.stalls, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.open--
	}), answer.Status
}
