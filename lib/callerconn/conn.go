package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/membudget"
)

// A head's memory is estimated by its bytes, which are held while they are read and again in the parsed header, and by its lines.
const (
	headByteCost = 2
	headLineCost = 128 // bytes, of an entry in a header
)

const (
	// smallHeadStep is requested for each head until it has cost smallHeadCost, and largeHeadStep at a time beyond that, in bytes.
	smallHeadStep = 8 << 10
	smallHeadCost = 2 * smallHeadStep
	largeHeadStep = 32 << 10
	// maxHeadsWaiting is how many heads may wait for memory at a time, and headMemoryWait how long each: those of a burst that arrive together would take
	// all memory in parts, and none would be complete. What the others held is free once they are refused and collected.
	maxHeadsWaiting = 16
	headMemoryWait  = 600 * time.Millisecond
	// headRefusalWait is the shortest Retry-After of a head that there is no memory for, and the range of the jitter added to it.
	headRefusalWait = 150 * time.Millisecond
	// headDrainTimeout bounds how long the rest of such a head is read, and discarded. Callers that read no response before they have sent their
	// request would otherwise see a reset connection instead of the refusal.
	headDrainTimeout = 5 * time.Second
	headDrainBuffer  = 1 << 10 // bytes
)

const (
	// arrivedWait is how long the next part of a head is awaited that is not complete in time: what its caller has sent is in the receive buffer, or
	// arrives as soon as that has room.
	arrivedWait = 250 * time.Millisecond
	// maxReadLate bounds how much later than in time a head is read. After that it is refused: its caller has better chances elsewhere.
	maxReadLate = 5 * time.Second
)

// errReadLate ends reading what a caller still sends, or had sent, long after its time.
var errReadLate = errors.New("callerconn: read too late")

// errReadRefused ends reading a head that there is no memory for.
var errReadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("callerconn: no memory for the head of a request")}

// headsOwner is the owner of the memory of large heads, whose workspaces are not known before they are parsed.
const headsOwner = "heads"

// conn is a caller's connection that requests memory for the head of each request as it arrives, and refuses the request when there is none.
// net/http bounds each head; their sum on connections that are open already would end the process.
type conn struct {
	*net.TCPConn
	from *Listener

	// Used by the server's goroutine of this connection, and by its background read, which ends before the state changes.
	reading  bool      // a head is being read, or awaited
	began    time.Time // when its first part arrived; zero: none has
	cost     int64
	granted  int64
	waited   time.Duration      // for memory
	arriving bool               // a part of the head has come and the rest is awaited
	timedOut bool               // it has not arrived in time
	large    *membudget.Account // of its cost beyond smallHeadCost; nil: none

	refused atomic.Bool // its head was refused and its caller has not been told
	closed  atomic.Bool
}

// newConn wraps a connection that was accepted. Others than TCP connections are left as they are.
func newConn(c net.Conn, from *Listener) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	from.open.Add(1)
	return &conn{TCPConn: tcp, from: from}
}

// setState is called with each state that the server gives the connection.
func (c *conn) setState(s http.ConnState) {
	c.setArriving(false)
	c.reading = s == http.StateNew || s == http.StateIdle
	if s == http.StateActive {
		return // its request may hold the head until it ends
	}
	c.began, c.cost, c.granted, c.waited, c.timedOut = time.Time{}, 0, 0, 0, false
	if c.large != nil {
		c.large.Close()
		c.large = nil
	}
}

// setArriving sets whether a part of a head has come and the rest is awaited.
func (c *conn) setArriving(arriving bool) {
	if arriving == c.arriving {
		return
	}
	c.arriving = arriving
	if arriving {
		c.from.headsArriving.Add(1)
	} else {
		c.from.headsArriving.Add(-1)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.reading {
		return c.TCPConn.Read(p)
	}
	if c.refused.Load() {
		return 0, errReadRefused
	}
	n, err := c.readHead(p)
	if err == errReadLate || n > 0 && !c.admit(p[:n]) {
		c.from.HeadsRefused.Inc()
		c.refused.Store(true)
		return 0, errReadRefused
	}
	c.timedOut = !c.began.IsZero() && errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readHead reads a part of a head, which must be complete in time. net/http's own limit is set when its server is created, before settings are known; it
// removes this one when the head is complete.
func (c *conn) readHead(p []byte) (int, error) {
	if c.began.IsZero() || c.from.HeadTimeout == nil {
		return c.TCPConn.Read(p)
	}
	return c.readSent(p, c.began.Add(c.from.HeadTimeout()))
}

// readSent reads what the caller has sent by a time. A process that is short of processor time may read it later. It must not close the connection then:
// that would be reset, and the caller could not know that nothing has run.
func (c *conn) readSent(p []byte, limit time.Time) (int, error) {
	_ = c.SetReadDeadline(limit) // on failure the read fails, too
	n, err := c.TCPConn.Read(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	now := time.Now()
	if now.After(limit.Add(maxReadLate)) {
		return 0, errReadLate
	}
	_ = c.SetReadDeadline(now.Add(arrivedWait))
	return c.TCPConn.Read(p)
}

// admit requests the memory for a part of a head.
func (c *conn) admit(part []byte) bool {
	if c.began.IsZero() {
		c.began = time.Now()
	}
	c.setArriving(true)
	c.cost += headByteCost*int64(len(part)) + headLineCost*int64(bytes.Count(part, newline))
	for c.granted < c.cost {
		if !c.grantStep() && !c.awaitStep() {
			return false
		}
	}
	return true
}

// awaitStep requests the memory for the next part again until there is some. Without other heads to give theirs back there is nothing to wait for.
func (c *conn) awaitStep() bool {
	if c.from.headsArriving.Load() <= 1 {
		return false
	}
	defer c.from.headsWaiting.Add(-1)
	if c.from.headsWaiting.Add(1) > maxHeadsWaiting {
		return false
	}
	for c.waited < headMemoryWait {
		time.Sleep(membudget.MeasureInterval)
		c.waited += membudget.MeasureInterval
		if c.grantStep() {
			return true
		}
	}
	return false
}

var newline = []byte{'\n'}

// grantStep requests the memory for the next part of a head's cost. Small heads have more memory than what large ones may use.
func (c *conn) grantStep() bool {
	if c.granted >= smallHeadCost {
		return c.grantLargeStep()
	}
	if !c.from.Memory.Admit(smallHeadStep, membudget.Small) {
		return false
	}
	c.granted += smallHeadStep
	return true
}

func (c *conn) grantLargeStep() bool {
	if c.large == nil {
		c.large = c.from.Memory.Account(headsOwner)
	}
	if !c.large.Admit(largeHeadStep) {
		return false
	}
	c.granted += largeHeadStep
	return true
}

// Write implements net.Conn. net/http takes a refused head for a malformed one if a line of it is cut, and would tell the caller so.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() || c.timedOut {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn. The caller of a head that was refused is answered first, apart from the server, which keeps nothing of it meanwhile.
func (c *conn) Close() error {
	if c.refused.CompareAndSwap(true, false) {
		go c.refuse(headDrainTimeout)
		return nil
	}
	return c.close()
}

// close closes the connection.
func (c *conn) close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.from.open.Add(-1)
	}
	return c.TCPConn.Close()
}

// refuse answers a request that was not read whole: nothing has run. The rest of it is discarded for a time.
func (c *conn) refuse(drain time.Duration) {
	defer func() { _ = c.close() }()
	limit := time.Now().Add(drain)
	if c.SetDeadline(limit) != nil {
		return
	}
	after := headRefusalWait + rand.N(headRefusalWait)
	if _, err := fmt.Fprintf(c.TCPConn, headRefusal, after.Seconds()); err != nil || c.CloseWrite() != nil {
		return
	}
	buf := make([]byte, headDrainBuffer)
	for {
		if _, err := c.readSent(buf, limit); err != nil {
			return
		}
	}
}

// headRefusal is the response to a refused request, with the seconds after which to retry.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
