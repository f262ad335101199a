package fleetsim

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/memnet"
	"anvilwick.example/anvilwick/lib/ownerlink"
)

const (
	// localDelay and remoteDelay are the one-way delays within and between failure domains.
	localDelay  = 100 * time.Microsecond
	remoteDelay = 1400 * time.Microsecond
	// maxInFlight is the maximum number of bytes of a stream in flight.
	maxInFlight = 16 << 10
	// receiveQueue is the capacity of an instance's receive queue, in datagrams.
	receiveQueue = 4096
	// headerBytes is the overhead of a datagram or segment on a link, in bytes.
	headerBytes = 40
)

// network connects the instances. Each has its own link, which its streams and datagrams share.
type network struct {
	mu        sync.Mutex
	ends      map[string]*endpoint        // by host
	listeners map[string]*memnet.Listener // by address
	packets   map[string]*datagramConn    // by address
	pipes     []net.Conn
}

// endpoint is an instance's connection to the network.
type endpoint struct {
	domain   string
	up, down link
	cost     *trafficMeter
	dead     bool
}

// link is one direction of an instance's link.
type link struct {
	mu         sync.Mutex
	free       time.Time
	bytePeriod time.Duration // transmission time of 1,024 bytes
}

// reserve returns the time at which bytes that are ready at a given time have been transmitted.
func (l *link) reserve(at time.Time, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.free) {
		at = l.free
	}
	l.free = at.Add(time.Duration(bytes+headerBytes) * l.bytePeriod / 1024)
	return l.free
}

func newNetwork() *network {
	return &network{ends: make(map[string]*endpoint), listeners: make(map[string]*memnet.Listener), packets: make(map[string]*datagramConn)}
}

func (n *network) add(host, domain string, mbps float64, c *trafficMeter) {
	period := time.Duration(1024 * 8 / mbps * float64(time.Microsecond))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[host] = &endpoint{domain: domain, up: link{bytePeriod: period}, down: link{bytePeriod: period}, cost: c}
}

func (n *network) end(addr string) *endpoint {
	host, _, _ := net.SplitHostPort(addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends[host]
}

// arrival reserves both links for a transfer and returns when it arrives.
func arrival(from, to *endpoint, bytes int) time.Time {
	delay := localDelay
	if from.domain != to.domain {
		delay = remoteDelay
		from.cost.addRemote(bytes)
	}
	return to.down.reserve(from.up.reserve(time.Now(), bytes).Add(delay), bytes)
}

// kill disconnects an instance for good; add connects a new one at its address.
func (n *network) kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[host].dead = true
}

// close closes all streams.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pipes {
		_ = p.Close()
	}
	n.pipes = nil
}

func (n *network) listen(addr string) (net.Listener, error) {
	l := memnet.Listen(&net.TCPAddr{}, receiveQueue)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

// dialer returns the dial function of a host.
func (n *network) dialer(host string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		to := n.end(addr)
		if l == nil || to == nil || to.dead {
			return nil, net.ErrClosed
		}
		from := n.end(net.JoinHostPort(host, "0"))
		local, localPeer := net.Pipe()
		remote, remotePeer := net.Pipe()
		n.mu.Lock()
		n.pipes = append(n.pipes, localPeer, remotePeer)
		n.mu.Unlock()
		go forward(from, to, remotePeer, localPeer)
		go forward(to, from, localPeer, remotePeer)
		if err := l.Deliver(ctx, remote); err != nil {
			_ = localPeer.Close()
			_ = remotePeer.Close()
			return nil, err
		}
		return local, nil
	}
}

// forward copies one direction of a stream with the delays of the network.
func forward(from, to *endpoint, out, in net.Conn) {
	defer func() {
		_ = in.Close()
		_ = out.Close()
	}()
	b := make([]byte, maxInFlight)
	for {
		n, err := in.Read(b)
		if err != nil || from.dead || to.dead {
			return
		}
		from.cost.addStream(n, true)
		to.cost.addStream(n, false)
		time.Sleep(time.Until(arrival(from, to, n)))
		if _, err := out.Write(b[:n]); err != nil {
			return
		}
	}
}

// datagramConn is an instance's datagram socket.
type datagramConn struct {
	n    *network
	end  *endpoint
	addr netip.AddrPort
	in   chan []byte
	done chan struct{}
	once sync.Once
}

func (n *network) listenPacket(addr string) (ownerlink.PacketConn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	p := &datagramConn{n: n, end: n.end(addr), addr: at, in: make(chan []byte, receiveQueue), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[addr] = p
	return p, nil
}

func (p *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-p.in:
		return copy(b, d), netip.AddrPort{}, nil
	case <-p.done:
		return 0, netip.AddrPort{}, io.EOF
	}
}

func (p *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.n.mu.Lock()
	peer := p.n.packets[to.String()]
	p.n.mu.Unlock()
	p.end.cost.addDatagram(b, true)
	if peer == nil || peer.end.dead || p.end.dead {
		return len(b), nil
	}
	d := append([]byte(nil), b...)
	time.AfterFunc(time.Until(arrival(p.end, peer.end, len(b))), func() { peer.deliver(d) })
	return len(b), nil
}

func (p *datagramConn) deliver(d []byte) {
	select {
	case p.in <- d:
		p.end.cost.addDatagram(d, false)
	default:
	}
}

func (p *datagramConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.addr) }

func (p *datagramConn) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}
