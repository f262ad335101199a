package fleetsim

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ownerlink"
)

const (
	// nearDelay and farDelay are the one-way delays within and between failure domains.
	nearDelay = 100 * time.Microsecond
	farDelay  = 1400 * time.Microsecond
	// chunk is the most of a stream that is on its way at once, in bytes.
	chunk = 16 << 10
	// inbox bounds the datagrams that wait to be read at an instance.
	inbox = 4096
	// headers is what a datagram or segment takes on a link beside its bytes.
	headers = 40
)

// network joins the instances. Each has a link of its own that its streams and datagrams share.
type network struct {
	mu        sync.Mutex
	ends      map[string]*endpoint // by host
	listeners map[string]*listener // by address
	packets   map[string]*packets  // by address
	pipes     []net.Conn
}

// endpoint is an instance's end of the network.
type endpoint struct {
	domain   string
	up, down link
	cost     *cost
	dead     bool
}

// link is one direction of an instance's link.
type link struct {
	mu         sync.Mutex
	free       time.Time
	bytePeriod time.Duration // of 1,024 bytes
}

// reserve returns when bytes that are ready at a time have passed.
func (l *link) reserve(at time.Time, bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Before(l.free) {
		at = l.free
	}
	l.free = at.Add(time.Duration(bytes+headers) * l.bytePeriod / 1024)
	return l.free
}

func newNetwork() *network {
	return &network{ends: make(map[string]*endpoint), listeners: make(map[string]*listener), packets: make(map[string]*packets)}
}

func (n *network) add(host, domain string, mbps float64, c *cost) {
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

// arrival reserves both links for bytes from one instance to another.
func arrival(from, to *endpoint, bytes int) time.Time {
	delay := nearDelay
	if from.domain != to.domain {
		delay = farDelay
		from.cost.far(bytes)
	}
	return to.down.reserve(from.up.reserve(time.Now(), bytes).Add(delay), bytes)
}

// kill cuts an instance off for good; add makes another at its address.
func (n *network) kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[host].dead = true
}

// close ends all streams.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pipes {
		_ = p.Close()
	}
	n.pipes = nil
}

// listener accepts the streams to one address.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(addr string) (net.Listener, error) {
	l := &listener{conns: make(chan net.Conn, inbox), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

// dialer returns what dials from a host.
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
		own, far := net.Pipe()
		theirs, near := net.Pipe()
		n.mu.Lock()
		n.pipes = append(n.pipes, far, near)
		n.mu.Unlock()
		go forward(from, to, near, far)
		go forward(to, from, far, near)
		select {
		case l.conns <- theirs:
			return own, nil
		case <-l.done:
			_ = far.Close()
			_ = near.Close()
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// forward carries one direction of a stream: what is written at in comes out at out.
func forward(from, to *endpoint, out, in net.Conn) {
	defer func() {
		_ = in.Close()
		_ = out.Close()
	}()
	b := make([]byte, chunk)
	for {
		n, err := in.Read(b)
		if err != nil || from.dead || to.dead {
			return
		}
		from.cost.stream(n, true)
		to.cost.stream(n, false)
		time.Sleep(time.Until(arrival(from, to, n)))
		if _, err := out.Write(b[:n]); err != nil {
			return
		}
	}
}

// packets is an instance's end for datagrams.
type packets struct {
	n    *network
	own  *endpoint
	addr netip.AddrPort
	in   chan []byte
	done chan struct{}
	once sync.Once
}

func (n *network) packet(addr string) (ownerlink.PacketConn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	p := &packets{n: n, own: n.end(addr), addr: at, in: make(chan []byte, inbox), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[addr] = p
	return p, nil
}

func (p *packets) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-p.in:
		return copy(b, d), netip.AddrPort{}, nil
	case <-p.done:
		return 0, netip.AddrPort{}, io.EOF
	}
}

func (p *packets) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	p.n.mu.Lock()
	at := p.n.packets[to.String()]
	p.n.mu.Unlock()
	p.own.cost.datagram(b, true)
	if at == nil || at.own.dead || p.own.dead {
		return len(b), nil
	}
	d := append([]byte(nil), b...)
	time.AfterFunc(time.Until(arrival(p.own, at.own, len(b))), func() { at.deliver(d) })
	return len(b), nil
}

func (p *packets) deliver(d []byte) {
	select {
	case p.in <- d:
		p.own.cost.datagram(d, false)
	default:
	}
}

func (p *packets) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.addr) }

func (p *packets) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}
