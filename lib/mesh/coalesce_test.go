package mesh

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countingConn counts the writes to the connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Links carried several times the bytes of their messages: each message's length, its body, and the multiplexer's header of each were
// written separately, and TLS adds 22 bytes to every write.
func TestMessageIsOneWrite(t *testing.T) {
	o := fastOptions("a")
	o.KeepAlive = time.Hour // pings are writes too
	var conn *countingConn
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		conn = &countingConn{Conn: c}
		return conn, err
	}
	a, _ := startNode(t, o)
	_, addr := startNode(t, fastOptions("b"))
	s := openTo(t, a, "b", addr)
	echoCall(t, s, 1)
	const messages = 50
	before := conn.writes.Load()
	for i := range uint64(messages) {
		echoCall(t, s, i)
	}
	// Answers to the other end's pings and window updates may add writes.
	must.LessEq(t, messages+messages/5, conn.writes.Load()-before)
}

// recordingConn records what is written, and fails after a number of writes.
type recordingConn struct {
	net.Conn
	wrote     [][]byte
	failAfter int
}

var errFull = errors.New("full")

func (c *recordingConn) Write(b []byte) (int, error) {
	if len(c.wrote) == c.failAfter {
		return 0, errFull
	}
	c.wrote = append(c.wrote, append([]byte(nil), b...))
	return len(b), nil
}

func frameHeader(kind byte, length byte) []byte {
	return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
}

func TestCoalescingHoldsOnlyHeadersWithBody(t *testing.T) {
	under := &recordingConn{failAfter: -1}
	c := &coalescingConn{Conn: under}
	write := func(b []byte) {
		n, err := c.Write(b)
		must.NoError(t, err)
		must.EqOp(t, len(b), n)
	}
	window, empty, data := frameHeader(1, 9), frameHeader(0, 0), frameHeader(0, 5)
	write(window)
	write(empty)
	must.Len(t, 2, under.wrote)
	write(data)
	must.Len(t, 2, under.wrote)
	write([]byte("hello"))
	must.Eq(t, [][]byte{window, empty, append(data, "hello"...)}, under.wrote)
}

// A body of twelve bytes may look like a header. It must be written with its own header and not be held back.
func TestCoalescingBodyThatLooksLikeHeader(t *testing.T) {
	under := &recordingConn{failAfter: -1}
	c := &coalescingConn{Conn: under}
	data, body := frameHeader(0, 12), frameHeader(0, 12)
	for range 2 {
		_, err := c.Write(data)
		must.NoError(t, err)
		_, err = c.Write(body)
		must.NoError(t, err)
	}
	must.Len(t, 2, under.wrote)
}

func TestCoalescingReportsFailedWrite(t *testing.T) {
	c := &coalescingConn{Conn: &recordingConn{failAfter: 0}}
	_, err := c.Write(frameHeader(0, 5))
	must.NoError(t, err)
	n, err := c.Write([]byte("hello"))
	must.ErrorIs(t, err, errFull)
	must.EqOp(t, 0, n)
}
