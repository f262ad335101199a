package memnet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

func TestConnectionsReachListener(t *testing.T) {
	l := Listen(&net.TCPAddr{Port: 9}, 1)
	must.Eq(t, ":9", l.Addr().String())
	near, err := l.Dial(t.Context())
	must.NoError(t, err)
	far, err := l.Accept()
	must.NoError(t, err)
	go func() {
		_, _ = near.Write([]byte("x"))
		_ = near.Close()
	}()
	b, err := io.ReadAll(far)
	must.NoError(t, err)
	must.Eq(t, "x", string(b))
}

func TestClosedListenerRefuses(t *testing.T) {
	l := Listen(&net.TCPAddr{}, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := l.Dial(ctx)
	must.ErrorIs(t, err, context.Canceled)
	must.NoError(t, l.Close())
	must.NoError(t, l.Close())
	_, err = l.Dial(t.Context())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = l.Accept()
	must.ErrorIs(t, err, net.ErrClosed)
}
