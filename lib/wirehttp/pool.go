package wirehttp

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"anvilwick.example/anvilwick/lib/sockbuf"
)

// Limits of idle connections.
const (
	// idleDefault applies where a target states no idle timeout: long enough for the next request to a service under load,
	// short enough that a target which closes idle connections early rarely closes one that is about to be reused.
	idleDefault = 4 * time.Second
	// idleMargin is subtracted from a stated idle timeout, since the target's clock starts when it sends its response.
	idleMargin = 700 * time.Millisecond
	// idleMax bounds the idle timeout that a target may state.
	idleMax = 30 * time.Second
	// idlePerTarget bounds the idle connections per address.
	idlePerTarget = 32
)

// ErrClosed reports that the pool was closed.
var ErrClosed = errors.New("wirehttp: pool closed")

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, addr string) (net.Conn, error)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial   DialFunc
	usable func(addr string, nc net.Conn) bool // nil: all are

	mu     sync.Mutex
	idle   map[string][]*Conn
	early  map[string]time.Time // by address: until when connections are not reused
	closed bool
	dials  uint64
}

// NewPool returns a pool that opens connections with dial; nil means a net.Dialer.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		d := net.Dialer{KeepAlive: -1, Control: sockbuf.Control(sockbuf.TargetBytes)}
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn), early: make(map[string]time.Time)}
}

// WrapDial replaces the function that opens connections by the one that wrap returns for it. usable reports whether an idle connection may
// still be used; others are closed. Call it before any other method.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc, usable func(addr string, nc net.Conn) bool) {
	p.dial, p.usable = wrap(p.dial), usable
}

// Get returns a usable idle connection to addr, or else a new one.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.Dial(ctx, addr)
		}
		if time.Now().Before(c.idleUntil) && (p.usable == nil || p.usable(addr, c.nc)) && c.idleAndOpen() {
			c.SetDeadline(time.Time{})
			return c, nil
		}
		c.Close()
	}
}

// Dial opens a new connection. Its errors report that nothing was sent.
func (p *Pool) Dial(ctx context.Context, addr string) (*Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	c := newConn(nc, addr)
	c.onEarlyClose = func() { p.recordEarlyClose(addr, time.Now()) }
	return c, nil
}

// Dials returns the number of connections opened, failed attempts included.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// EndExchange ends the exchange of resp, and reports whether the connection can carry another one: no data of this one can remain on it.
func (c *Conn) EndExchange(resp *Response) bool {
	c.exchanging.Store(false)
	return !c.unusable.Load() && resp != nil && resp.reusable() && c.requestWritten() && c.rd.Buffered() == 0
}

// Put returns a connection to the pool after the exchange of resp. It is closed instead unless no data of that exchange can
// remain on it: the response was read whole, the request was written whole, and no further byte is buffered.
func (p *Pool) Put(c *Conn, resp *Response) {
	if !c.EndExchange(resp) {
		c.Close()
		return
	}
	c.used = true
	c.answered = time.Now()
	if p.closesEarly(c.addr, c.answered) {
		c.Close()
		return
	}
	c.idleUntil = c.answered.Add(idleLimit(resp.Header))
	p.addIdle(c)
}

// AddIdle adds a connection that has carried no exchange yet.
func (p *Pool) AddIdle(addr string, nc net.Conn) {
	c := newConn(nc, addr)
	c.idleUntil = time.Now().Add(idleDefault)
	p.addIdle(c)
}

func (p *Pool) addIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= idlePerTarget {
		c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// idleLimit returns how long a connection may stay idle, from the target's Keep-Alive header.
func idleLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || s < 0 {
			return idleDefault
		}
		return min(max(time.Duration(s)*time.Second-idleMargin, 0), idleMax)
	}
	return idleDefault
}

// CloseExpired closes idle connections that have expired, or report that they carry no further request. Call it periodically.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.early, func(_ string, until time.Time) bool { return !now.Before(until) })
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && c.reportsIdle() {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// Close closes all idle connections; those in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, addr)
	}
}

// idler is a connection that knows by itself whether it may carry another exchange.
type idler interface{ Idle() bool }

// reportsIdle reports whether a connection may carry another exchange as far as it knows by itself; most don't.
func (c *Conn) reportsIdle() bool {
	i, ok := c.nc.(idler)
	return !ok || i.Idle()
}

// idleAndOpen reports whether an idle connection is open and has no unread bytes, which would belong to no request. Without this
// check a request could be sent on a connection that the target has closed, and whether it ran would be unknown.
func (c *Conn) idleAndOpen() bool {
	if _, ok := c.nc.(idler); ok {
		return c.reportsIdle()
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true
	}
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
