// Package relay carries TCP connections of loopback and misbehaves on order: it delays, silences (both ways or one) and
// resets them. Tools that test processes under failure put one into each link.
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

// Mode is what a relay does with what it carries.
type Mode uint8

const (
	Up              Mode = iota
	Stalled              // connections stand and carry nothing, new ones too
	Cut                  // connections are reset, and new ones too
	BlockToTarget        // nothing gets to the target; its bytes still come back
	BlockFromTarget      // nothing comes back from the target; it still gets the caller's bytes
)

var modeNames = [...]string{"up", "stalled", "cut", "deaf_to", "deaf_from"}

// String returns the name used in reports.
func (m Mode) String() string { return modeNames[m] }

// direction is the way of the bytes of one half of a connection.
type direction uint8

const (
	toTarget direction = iota
	fromTarget
)

const (
	bufferSize = 32 << 10
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 20 * time.Millisecond
)

// Relay carries connections to one address.
type Relay struct {
	name string
	ln   net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	delay  time.Duration
	moved  chan struct{} // closed and replaced when mode changes
	conns  map[net.Conn]struct{}
}

// New listens on a free loopback address and carries to target.
func New(name, target string) (*Relay, error) {
	addrs, err := proc.Addrs(1)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addrs[0])
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", name, err)
	}
	r := &Relay{name: name, target: target, ln: ln, moved: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Close ends the relay and resets what it carries.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.Set(Cut)
}

// Set changes the mode; Cut resets every connection.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.moved)
	r.moved = make(chan struct{})
	if m == Cut {
		r.resetAll()
	}
}

// Reset resets every connection; new ones are carried.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetAll()
}

// Delay holds whatever is carried for d, each way.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Retarget resets every connection and carries new ones to another address: another process has the old one now.
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

// reset closes with a TCP reset, as a broken link does, and not with an orderly end.
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
			// Too many open files, for one. A relay that stopped here would be silent for good, which looks like a fault
			// of what is tested.
			time.Sleep(acceptPause)
			continue
		}
		go r.carry(c)
	}
}

func (r *Relay) carry(in net.Conn) {
	if !r.pass(toTarget) {
		reset(in)
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		reset(in)
		return
	}
	if !r.keep(in, out) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(out, in, toTarget) })
	wg.Go(func() { r.copy(in, out, fromTarget) })
	wg.Wait()
	r.drop(in, out)
}

// keep registers a connection unless the link was cut meanwhile.
func (r *Relay) keep(in, out net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Cut {
		reset(in)
		reset(out)
		return false
	}
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	return true
}

func (r *Relay) drop(in, out net.Conn) {
	_ = in.Close()
	_ = out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, in)
	delete(r.conns, out)
}

// copy carries one direction. An end is passed on as an end and an error as a reset: a reader must not take a cut answer
// for a whole one.
func (r *Relay) copy(dst, src net.Conn, way direction) {
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if !r.pass(way) {
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

// pass waits while the direction is silent, then for the delay, and reports whether the link carries at all.
func (r *Relay) pass(way direction) bool {
	for {
		r.mu.Lock()
		mode, moved, delay := r.mode, r.moved, r.delay
		r.mu.Unlock()
		if mode == Cut {
			return false
		}
		if !silent(mode, way) {
			time.Sleep(delay)
			return true
		}
		<-moved
	}
}

func silent(m Mode, way direction) bool {
	switch m {
	case Stalled:
		return true
	case BlockToTarget:
		return way == toTarget
	case BlockFromTarget:
		return way == fromTarget
	default:
		return false
	}
}
