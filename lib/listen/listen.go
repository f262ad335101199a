// Package listen opens listeners and sockets that outlast errors after which a server would end, and its process with it.
package listen

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/logline"
)

const (
	// addressTimeout bounds the wait for an address that is not available: a process that was just killed may hold its addresses for some seconds more.
	addressTimeout = 5 * time.Second
	// pause is the delay before an attempt to listen, or to accept, is repeated.
	pause = 50 * time.Millisecond
)

var acceptErrors = metrics.NewCounter(`anvilwick_accept_errors_total`)

// TCP listens on an address. While the address is in use, or not yet assigned to the machine, it waits, for up to 5 s.
func TCP(addr string) (net.Listener, error) { return tcp(addr, addressTimeout) }

func tcp(addr string, timeout time.Duration) (net.Listener, error) {
	ln, err := await(addr, timeout, func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, err
	}
	return &listener{ln}, nil
}

// UDP opens a socket at an IPv4 address, with the same wait.
func UDP(addr string) (*net.UDPConn, error) { return udp(addr, addressTimeout) }

func udp(addr string, timeout time.Duration) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return await(addr, timeout, func() (*net.UDPConn, error) { return net.ListenUDP("udp4", at) })
}

// await repeats open until the address is available.
func await[T any](addr string, timeout time.Duration, open func() (T, error)) (T, error) {
	logged := false
	for deadline := time.Now().Add(timeout); ; time.Sleep(pause) {
		opened, err := open()
		if err == nil {
			return opened, nil
		}
		if !unavailable(err) || time.Now().After(deadline) {
			return opened, fmt.Errorf("listen: %w", err)
		}
		if !logged {
			logged = true
			logline.Send(log.Warn().Str("event", "address_in_use").Str("addr", addr), err)
		}
	}
}

// unavailable reports whether an address may be available soon: the process before may not have released it, or a machine that has just started has not
// assigned it yet.
func unavailable(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// listener is a listener whose Accept fails only once it is closed.
type listener struct{ net.Listener }

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	c, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return c.SyscallConn()
}

// Accept implements net.Listener. Without descriptors or memory for a connection, accepting fails for a while; net/http takes some of these errors for the
// end of the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		acceptErrors.Inc()
		time.Sleep(pause)
	}
}

// SetBacklog bounds the connections that a listener holds and has not accepted. The kernel lets callers beyond it repeat their first packet, after 1 s.
func SetBacklog(ln syscall.Conn, connections int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var lerr error
	if err := raw.Control(func(fd uintptr) { lerr = syscall.Listen(int(fd), connections) }); err != nil {
		return err
	}
	return os.NewSyscallError("listen", lerr)
}
