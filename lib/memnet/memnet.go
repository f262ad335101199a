// Package memnet provides listeners whose connections are in memory, for simulations and for tests in fake time.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Listener is a net.Listener that accepts the connections passed to Deliver.
type Listener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Listen returns a listener with an address. Up to backlog connections wait to be accepted.
func Listen(addr net.Addr, backlog int) *Listener {
	return &Listener{addr: addr, conns: make(chan net.Conn, backlog), done: make(chan struct{})}
}

// Deliver passes one end of a connection to the listener. The error is ECONNREFUSED if the listener is closed, or the cause of the
// context's end.
func (l *Listener) Deliver(ctx context.Context, c net.Conn) error {
	select {
	case l.conns <- c:
		return nil
	case <-l.done:
		return syscall.ECONNREFUSED
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Dial opens a connection to the listener.
func (l *Listener) Dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	if err := l.Deliver(ctx, far); err != nil {
		return nil, err
	}
	return near, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.addr }
