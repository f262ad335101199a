package prove

import (
	"fmt"
	"io"
	"net"
	"sync"

	"anvilwick.example/anvilwick/lib/proc"
)

// linkMode is what a relay does with what it carries.
type linkMode uint8

const (
	linkUp      linkMode = iota
	linkStalled          // connections stand and carry nothing
	linkCut              // connections are reset, and new ones too
)

const relayBuffer = 32 << 10

// relay carries TCP connections to one address, and can stall or cut them.
type relay struct {
	name   string
	target string
	ln     net.Listener

	mu    sync.Mutex
	mode  linkMode
	moved chan struct{} // closed and replaced when mode changes
	conns map[net.Conn]struct{}
}

func newRelay(name, target string) (*relay, error) {
	addrs, err := proc.Addrs(1)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addrs[0])
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", name, err)
	}
	r := &relay{name: name, target: target, ln: ln, moved: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) close() {
	_ = r.ln.Close()
	r.set(linkCut)
}

// set changes the mode; a cut resets every connection.
func (r *relay) set(m linkMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.moved)
	r.moved = make(chan struct{})
	if m != linkCut {
		return
	}
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

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *relay) carry(in net.Conn) {
	if !r.pass() {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(in)
		return
	}
	if !r.keep(in, out) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(out, in) })
	wg.Go(func() { r.copy(in, out) })
	wg.Wait()
	r.drop(in, out)
}

// keep registers a connection unless the link was cut meanwhile.
func (r *relay) keep(in, out net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == linkCut {
		reset(in)
		reset(out)
		return false
	}
	r.conns[in], r.conns[out] = struct{}{}, struct{}{}
	return true
}

func (r *relay) drop(in, out net.Conn) {
	_ = in.Close()
	_ = out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, in)
	delete(r.conns, out)
}

// copy carries one direction. An end is passed on as an end and an error as a reset: a reader must not take a cut answer
// for a whole one.
func (r *relay) copy(dst, src net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := src.Read(buf)
		if !r.pass() {
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

// pass waits while the link is stalled and reports whether it carries.
func (r *relay) pass() bool {
	for {
		r.mu.Lock()
		mode, moved := r.mode, r.moved
		r.mu.Unlock()
		switch mode {
		case linkUp:
			return true
		case linkCut:
			return false
		}
		<-moved
	}
}

// relays holds the relays of a site by the name of their link.
type relays struct {
	mu     sync.Mutex
	byName map[string]*relay
}

// via is localsite's Config.Via.
func (rs *relays) via(link, addr string) (string, error) {
	r, err := newRelay(link, addr)
	if err != nil {
		return "", err
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.byName == nil {
		rs.byName = map[string]*relay{}
	}
	rs.byName[link] = r
	return r.addr(), nil
}

func (rs *relays) set(link string, m linkMode) error {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r, ok := rs.byName[link]
	if !ok {
		return fmt.Errorf("no link %q", link)
	}
	r.set(m)
	return nil
}

func (rs *relays) close() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, r := range rs.byName {
		r.close()
	}
}
