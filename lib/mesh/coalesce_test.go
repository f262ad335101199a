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

// writesConn counts the writes that reach the socket.
type writesConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *writesConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// What operators see: links take several times the bytes of their messages. Each message's length, its body, and the
// multiplexer's header of each, went out as writes of their own, and TLS adds 22 bytes to every write.
func TestMessageIsOneWrite(t *testing.T) {
	o := quick("a")
	o.KeepAlive = time.Hour // pings are writes too
	var conn *writesConn
	o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		conn = &writesConn{Conn: c}
		return conn, err
	}
	a, _ := startNode(t, o)
	_, addr := startNode(t, quick("b"))
	s := openTo(t, a, "b", addr)
	call(t, s, 1)
	const messages = 50
	before := conn.writes.Load()
	for i := range uint64(messages) {
		call(t, s, i)
	}
	// The other end's pings are answered, and a window may be told of.
	must.LessEq(t, messages+messages/5, conn.writes.Load()-before)
}

// recordConn keeps what is written, and fails after a number of writes.
type recordConn struct {
	net.Conn
	wrote [][]byte
	fail  int
}

var errFull = errors.New("full")

func (c *recordConn) Write(b []byte) (int, error) {
	if len(c.wrote) == c.fail {
		return 0, errFull
	}
	c.wrote = append(c.wrote, append([]byte(nil), b...))
	return len(b), nil
}

func frameHeader(kind byte, length byte) []byte {
	return []byte{0, kind, 0, 0, 0, 0, 0, 1, 0, 0, 0, length}
}

func TestJoinedHoldsOnlyHeadersWithABody(t *testing.T) {
	under := &recordConn{fail: -1}
	c := &joinedConn{Conn: under}
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

// A body of twelve bytes may look like a header. It must go out with its own header and not wait for another.
func TestJoinedTakesABodyForABody(t *testing.T) {
	under := &recordConn{fail: -1}
	c := &joinedConn{Conn: under}
	data, body := frameHeader(0, 12), frameHeader(0, 12)
	for range 2 {
		_, err := c.Write(data)
		must.NoError(t, err)
		_, err = c.Write(body)
		must.NoError(t, err)
	}
	must.Len(t, 2, under.wrote)
}

func TestJoinedTellsOfAFailedWrite(t *testing.T) {
	c := &joinedConn{Conn: &recordConn{fail: 0}}
	_, err := c.Write(frameHeader(0, 5))
	must.NoError(t, err)
	n, err := c.Write([]byte("hello"))
	must.ErrorIs(t, err, errFull)
	must.EqOp(t, 0, n)
}
