package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// failingListener fails with some errors before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a process that ends because accepting one connection failed, for want of descriptors or memory.
func TestAcceptErrorsDoNotEndTheListener(t *testing.T) {
	l := &listener{&failingListener{errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ECONNABORTED}}}
	_, err := l.Accept()
	must.NoError(t, err)
	l = &listener{&failingListener{errs: []error{net.ErrClosed}}}
	_, err = l.Accept()
	must.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a process that ends at its start because the one before it has not released its address yet.
func TestListenWaitsForItsAddress(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := before.Addr().String()
	time.AfterFunc(200*time.Millisecond, func() { _ = before.Close() })
	after, err := TCP(addr)
	must.NoError(t, err)
	_, err = tcp(addr, 100*time.Millisecond)
	must.True(t, errors.Is(err, syscall.EADDRINUSE))
	must.NoError(t, after.Close())
}
