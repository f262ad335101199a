package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// resetTarget is a target's connection whose reset a write takes: reads return a part of an answer and an ordinary end.
type resetTarget struct {
	net.Conn // a closed one
	answer   io.Reader
	write    func(p []byte) (int, error)
	written  chan struct{} // receives after each write
}

func (c *resetTarget) Write(p []byte) (int, error) {
	defer func() { c.written <- struct{}{} }()
	return c.write(p)
}

func (c *resetTarget) Read(p []byte) (int, error) {
	<-c.written
	c.written <- struct{}{}
	return c.answer.Read(p)
}

func (c *resetTarget) SetWriteDeadline(time.Time) error { return nil }

// Guards against a part of an answer that looks whole behind a peer: a write of the peer met the reset of the target's connection, or has not returned, and
// its read saw an ordinary end.
func TestEndOfTargetsConnectionAfterFailedWriteIsAReset(t *testing.T) {
	for name, c := range map[string]struct {
		write func(p []byte) (int, error)
		whole bool
	}{
		"written": {func(p []byte) (int, error) { return len(p), nil }, true},
		"reset":   {func([]byte) (int, error) { return 0, syscall.ECONNRESET }, false},
		"partly":  {func(p []byte) (int, error) { return len(p) / 2, syscall.EPIPE }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := startPeer(t, "b", "d1")
			p.Server.Dial = func(context.Context, string) (net.Conn, error) {
				closed, other := net.Pipe()
				_, _ = closed.Close(), other.Close()
				return &resetTarget{Conn: closed, answer: strings.NewReader("part"), write: c.write, written: make(chan struct{}, 2)}, nil
			}
			conn := dial(t, newTestClient(t, p), "target:1")
			_, err := conn.Write([]byte("request"))
			must.NoError(t, err)
			_, err = io.ReadAll(conn)
			must.Eq(t, c.whole, err == nil, must.Sprint(err))
		})
	}
}

// Guards against the same where the rest of a request is on its way to the peer, or where the peer's software does not count what it delivers.
func TestEndWithoutAllThatWasWrittenIsAReset(t *testing.T) {
	seven, six := uint64(7), uint64(6)
	for _, c := range []struct {
		delivered *uint64
		want      error
	}{{&seven, io.EOF}, {&six, errReset}, {nil, errReset}} {
		conn := &Conn{written: 7}
		must.ErrorIs(t, conn.end(&meshpb.TunnelFrame{EndOfData: true, Delivered: c.delivered}), c.want)
		_, err := conn.Write([]byte("more"))
		must.ErrorIs(t, err, errReset)
	}
}

// Guards against a sound answer taken for a broken one because the write of its request returns a moment after it, and against one that waits forever for a
// write that does not return.
func TestEndWaitsForTheLastWrite(t *testing.T) {
	d := newDelivery()
	returned := make(chan struct{})
	var begun atomic.Bool
	go func() {
		_ = d.write(5, func() error {
			begun.Store(true)
			<-returned
			return nil
		})
	}()
	eventually(t, "the write has begun", begun.Load)
	_, err := d.total()
	must.ErrorIs(t, err, errUnwritten)
	time.AfterFunc(20*time.Millisecond, func() { close(returned) })
	n, err := d.total()
	must.NoError(t, err)
	must.Eq(t, 5, n)
}

// Guards against a sound answer taken for a broken one because the connection is closed, at the answer's end, before the write of its request returns.
func TestWriteThatWasDeliveredHasNotFailed(t *testing.T) {
	c := newTestClient(t, startPeer(t, "b", "d1"))
	request := make([]byte, 3*maxFrameData)
	addr := startTarget(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, len(request)))
		_ = c.Close()
	})
	for range 200 {
		conn := dial(t, c, addr)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(request)
			written <- err
		}()
		_, err := io.ReadAll(conn)
		_ = conn.Close()
		must.NoError(t, err)
		must.NoError(t, <-written)
	}
}
