// Package faultproxy provides TCP proxies on loopback that inject faults on demand: delays, stalls in one or both directions, and
// connection resets. Tools that test processes under failure put one into each link.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"anvilwick.example/anvilwick/lib/proc"
)

// Mode is how a proxy treats its connections.
type Mode uint8

const (
	Up              Mode = iota
	Stalled              // connections stay open and carry nothing, new ones included
	Cut                  // connections are reset, new ones included
	BlockToTarget        // nothing reaches the target; its responses still come back
	BlockFromTarget      // nothing comes back from the target; it still receives the caller's bytes
)

var modeNames = [...]string{"up", "stalled", "cut", "deaf_to", "deaf_from"}

// String returns the name used in reports.
func (m Mode) String() string { return modeNames[m] }

// direction is the direction of one half of a connection.
type direction uint8

const (
	toTarget direction = iota
	fromTarget
)

const (
	bufferSize = 32 << 10
	// acceptPause is the delay before accepting again after an error.
	acceptPause = 20 * time.Millisecond
)

// Proxy forwards connections to one address.
type Proxy struct {
	name string
	ln   net.Listener

	mu          sync.Mutex
	target      string
	mode        Mode
	clients     func(client net.Conn) bool // names the connections in clientsMode; nil: none
	clientsMode Mode
	delay       time.Duration
	modeChanged chan struct{}     // closed and replaced when the mode changes
	conns       map[net.Conn]bool // whether the proxy has closed its side
	origins     map[string]string // remote address of each client, by the local address of its connection to the target
}

// New listens on a free loopback address and proxies connections to target.
func New(name, target string) (*Proxy, error) {
	p, err := listen(name)
	if err != nil {
		return nil, err
	}
	p.target = target
	go p.accept(p.serve)
	return p, nil
}

// listen returns a proxy that does not accept connections yet.
func listen(name string) (*Proxy, error) {
	addrs, err := proc.Addrs(1)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addrs[0])
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %s: %w", name, err)
	}
	return &Proxy{name: name, ln: ln, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}, origins: map[string]string{}}, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Set(Cut)
}

// Set changes the mode. Cut resets every connection.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == Cut {
		p.resetAll()
	}
}

// SetFor changes the mode of the connections of some clients, new ones included, in place of the mode of all. Cut resets their connections. A nil
// function ends it. The connections that the function gets are the proxy's own ends of those of its clients.
func (p *Proxy) SetFor(clients func(client net.Conn) bool, m Mode) {
	p.mu.Lock()
	p.clients, p.clientsMode = clients, m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	var open []net.Conn
	for c := range p.conns {
		if c.LocalAddr().String() == p.Addr() { // not a connection to the target
			open = append(open, c)
		}
	}
	p.mu.Unlock()
	if clients == nil || m != Cut {
		return
	}
	for _, c := range open {
		if clients(c) {
			reset(c)
		}
	}
}

// OriginOf returns the remote address of the client whose connection is forwarded from a local address of the proxy, or "" if there is none.
func (p *Proxy) OriginOf(local string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.origins[local]
}

// Reset resets every connection. New ones are accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

// Delay delays all data by d in each direction.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Retarget resets every connection and proxies new ones to another address, for a process that now listens elsewhere.
func (p *Proxy) Retarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// reset closes a connection with a TCP reset, as a broken link does, and not with a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(serve func(net.Conn)) {
	for {
		c, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example too many open files. A proxy that stopped accepting would look like a fault of the system under test.
			time.Sleep(acceptPause)
			continue
		}
		go serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if !p.waitOpen(client, toTarget) {
		reset(client)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	p.join(client, server)
}

// join copies both directions of a connection until it ends.
func (p *Proxy) join(client, server net.Conn) {
	if !p.register(client, server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, client, toTarget) })
	wg.Go(func() { p.copy(client, server, client, fromTarget) })
	wg.Wait()
	p.unregister(client, server)
}

// register registers a connection unless the link was cut in the meantime.
func (p *Proxy) register(client, server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Cut {
		reset(client)
		reset(server)
		return false
	}
	p.conns[client], p.conns[server] = false, false
	p.origins[server.LocalAddr().String()] = client.RemoteAddr().String()
	return true
}

func (p *Proxy) unregister(client, server net.Conn) {
	_ = client.Close()
	_ = server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
	delete(p.origins, server.LocalAddr().String())
}

// copy copies one direction of a client's connection. EOF is forwarded as EOF and an error as a reset: a reader must not take a truncated response for a
// complete one.
func (p *Proxy) copy(dst, src, client net.Conn, dir direction) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if !p.waitOpen(client, dir) {
			return
		}
		if wasReset(src) {
			// Across a broken link the data would still be at its sender, which has discarded it.
			reset(dst)
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF && !p.endedByReset(src) {
			p.closeWrite(dst)
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// wasReset reports whether a connection has been reset, without reading from it.
func wasReset(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	found := false
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = errors.Is(rerr, syscall.ECONNRESET)
		return true
	})
	return err == nil && found
}

// closeWrite forwards an ordinary end.
func (p *Proxy) closeWrite(c net.Conn) {
	p.mu.Lock()
	if _, open := p.conns[c]; open {
		p.conns[c] = true
	}
	p.mu.Unlock()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// endedByReset reports whether a connection whose reads have ended was reset. The write to it in the other direction may have taken the error, so that reads see an ordinary
// end; after such an end the proxy's side is open until the proxy closes it.
func (p *Proxy) endedByReset(c net.Conn) bool {
	p.mu.Lock()
	closed := p.conns[c]
	p.mu.Unlock()
	return !closed && isClosed(c)
}

// isClosed reports whether a connection is closed in both directions, as the kernel has it.
func isClosed(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = ierr == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// rawConn returns the descriptor of a TCP connection, or nil.
func rawConn(c net.Conn) syscall.RawConn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// waitOpen waits while the direction is blocked, then for the delay, and returns false if the link is cut.
func (p *Proxy) waitOpen(client net.Conn, dir direction) bool {
	for {
		p.mu.Lock()
		mode, changed, delay := p.mode, p.modeChanged, p.delay
		clients, clientsMode := p.clients, p.clientsMode
		p.mu.Unlock()
		if mode == Up && clients != nil && clients(client) {
			mode = clientsMode
		}
		if mode == Cut {
			return false
		}
		if !blocked(mode, dir) {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

func blocked(m Mode, dir direction) bool {
	switch m {
	case Stalled:
		return true
	case BlockToTarget:
		return dir == toTarget
	case BlockFromTarget:
		return dir == fromTarget
	default:
		return false
	}
}
