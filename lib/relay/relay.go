// Package relay provides TCP proxies on loopback that inject faults on demand: delays, stalls in one or both directions, and
// connection resets. Tools that test processes under failure put one into each link.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/proc"
)

// Mode is how a relay treats its connections.
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

// Relay proxies connections to one address.
type Relay struct {
	name string
	ln   net.Listener

	mu          sync.Mutex
	target      string
	mode        Mode
	delay       time.Duration
	modeChanged chan struct{} // closed and replaced when the mode changes
	conns       map[net.Conn]struct{}
}

// New listens on a free loopback address and proxies connections to target.
func New(name, target string) (*Relay, error) {
	addrs, err := proc.Addrs(1)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addrs[0])
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", name, err)
	}
	r := &Relay{name: name, target: target, ln: ln, modeChanged: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Set(Cut)
}

// Set changes the mode. Cut resets every connection.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
	if m == Cut {
		r.resetAll()
	}
}

// Reset resets every connection. New ones are accepted.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
}

// Delay delays all data by d in each direction.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Retarget resets every connection and proxies new ones to another address, for a process that now listens elsewhere.
func (r *Relay) Retarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
	r.resetAll()
}

func (r *Relay) resetAll() {
	for c := range r.conns {
		reset(c)
	}
	clear(r.conns)
}

// reset closes a connection with a TCP reset, as a broken link does, and not with a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example too many open files. A relay that stopped accepting would look like a fault of the system under test.
			time.Sleep(acceptPause)
			continue
		}
		go r.proxy(c)
	}
}

func (r *Relay) proxy(client net.Conn) {
	if !r.waitOpen(toTarget) {
		reset(client)
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	if !r.register(client, server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(server, client, toTarget) })
	wg.Go(func() { r.copy(client, server, fromTarget) })
	wg.Wait()
	r.unregister(client, server)
}

// register registers a connection unless the link was cut in the meantime.
func (r *Relay) register(client, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut {
		reset(client)
		reset(server)
		return false
	}
	r.conns[client], r.conns[server] = struct{}{}, struct{}{}
	return true
}

func (r *Relay) unregister(client, server net.Conn) {
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, client)
	delete(r.conns, server)
}

// copy copies one direction. EOF is forwarded as EOF and an error as a reset: a reader must not take a truncated response for a
// complete one.
func (r *Relay) copy(dst, src net.Conn, dir direction) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if !r.waitOpen(dir) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// waitOpen waits while the direction is blocked, then for the delay, and returns false if the link is cut.
func (r *Relay) waitOpen(dir direction) bool {
	for {
		r.mu.Lock()
		mode, changed, delay := r.mode, r.modeChanged, r.delay
		r.mu.Unlock()
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
