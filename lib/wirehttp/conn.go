// Package wirehttp is an HTTP/1.1 client for calls that must be sent at most once.
//
// net/http's Transport retries a request by itself when a reused connection turns out to be closed. This client never
// resends: a Conn carries one exchange at a time, and errors report whether any byte of the request may have reached the
// target. Responses are parsed by net/http, and checked by lib/httpresp.
package wirehttp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// inlineWriteLimit is the largest request, in bytes, that is written before the response is read. A larger one is written
// concurrently with reading: a target may respond before it has read the body, and both ends would block on each other.
const inlineWriteLimit = 8 << 10

// readBufferSize is the size in bytes of a connection's read buffer. It fits response headers and single events; a larger one
// would cost memory for each of the hundreds of connections of a process.
const readBufferSize = 4 << 10

// maxUnexpectedResponses bounds the responses to other requests that are skipped on one connection before it is abandoned.
const maxUnexpectedResponses = 3

// Errors of an exchange, besides network errors.
var (
	ErrUnexpectedResponse = errors.New("wirehttp: responses to other requests on the connection")
	ErrStatus             = errors.New("wirehttp: informational or malformed status")
)

// SendError is the error of a failed exchange.
type SendError struct {
	MaybeSent bool // whether a byte of the request may have reached the target
	Err       error
}

func (e *SendError) Error() string { return fmt.Sprintf("sent=%t: %v", e.MaybeSent, e.Err) }
func (e *SendError) Unwrap() error { return e.Err }

// MaybeSent reports whether the request of a failed exchange may have reached the target.
func MaybeSent(err error) bool {
	var se *SendError
	if errors.As(err, &se) {
		return se.MaybeSent
	}
	return true
}

// Conn is a connection to one target, used for one exchange at a time.
type Conn struct {
	nc           net.Conn
	in           *httpresp.Reader
	rd           *bufio.Reader // of in
	addr         string
	used         bool            // it has carried an exchange before
	unusable     atomic.Bool     // it must not carry another exchange; set concurrently by a cancelled request
	exchanging   atomic.Bool     // a request was sent and its exchange has not ended
	idleUntil    time.Time       // it must not be taken from the pool after this time
	answered     time.Time       // end of the last exchange; zero before the first
	onEarlyClose func()          // called when the target has closed the connection early; may be nil
	pendingWrite *httpresp.Write // in progress concurrently with reading; nil when there is none
}

// NewConn returns a Conn on an open connection to addr.
func NewConn(nc net.Conn, addr string) *Conn { return newConn(nc, addr) }

func newConn(nc net.Conn, addr string) *Conn {
	in := httpresp.NewReader(nc)
	return &Conn{nc: nc, in: in, rd: bufio.NewReaderSize(in, readBufferSize), addr: addr}
}

// SetDeadline sets the deadline of all pending and future reads and writes.
func (c *Conn) SetDeadline(t time.Time) {
	// The caller closes the connection on any later error, so an error here has no other effect.
	_ = c.nc.SetDeadline(t)
}

// StaysOpen reports whether the peer keeps a connection that carries no exchange open for a duration.
func (c *Conn) StaysOpen(d time.Duration) bool {
	c.SetDeadline(time.Now().Add(d))
	defer c.SetDeadline(time.Time{})
	_, err := c.rd.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// NetConn returns the connection that carries the exchanges.
func (c *Conn) NetConn() net.Conn { return c.nc }

// Close closes the connection. To the target it looks like the caller disconnecting.
//
// In the middle of an exchange the connection is reset. A close would leave what the target has not received to the operating system,
// which delivers it when a broken link works again: the target would run a request seconds after its caller was answered.
func (c *Conn) Close() {
	c.unusable.Store(true)
	if l, ok := c.nc.(lingerer); ok && c.exchanging.Load() {
		_ = l.SetLinger(0) // on failure the connection is closed as usual
	}
	_ = c.nc.Close()
}

// lingerer is a connection that can discard unsent data on Close, as *net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

// Send writes the request. An error is a *SendError.
func (c *Conn) Send(req *Request) error {
	c.exchanging.Store(true)
	head := req.encode()
	if len(head)+len(req.Body) <= inlineWriteLimit {
		return c.write(append(head, req.Body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	write := httpresp.NewWrite()
	c.pendingWrite = write
	go func() {
		_, err := c.nc.Write(req.Body)
		write.End(err)
	}()
	return nil
}

func (c *Conn) write(b []byte) error {
	n, err := c.nc.Write(b)
	if err == nil {
		return nil
	}
	c.fail(err)
	return &SendError{MaybeSent: n > 0, Err: err}
}

// Receive reads the header of the response to the request identified by id in the header idHeader. Whole responses with
// another id are skipped: a faulty target may send a response twice or late, in place of the next one.
func (c *Conn) Receive(method, idHeader, id string) (*Response, error) {
	return c.receiveExpected(method, func(resp *Response) bool {
		got := resp.Header.Get(idHeader)
		return idHeader == "" || got == id || got == "" && resp.Status >= 300
	})
}

// ReceiveUnnamed is like Receive, for requests that carry no id: whole responses that name another id than about are skipped, those that name none
// are not.
func (c *Conn) ReceiveUnnamed(method, idHeader, about string) (*Response, error) {
	return c.receiveExpected(method, func(resp *Response) bool {
		got := resp.Header.Get(idHeader)
		return got == about || got == ""
	})
}

func (c *Conn) receiveExpected(method string, expected func(*Response) bool) (*Response, error) {
	for range maxUnexpectedResponses {
		resp, err := c.receive(method)
		if err != nil {
			c.fail(err)
			return nil, &SendError{MaybeSent: true, Err: err}
		}
		if expected(resp) {
			return resp, nil
		}
		if err := resp.Discard(unexpectedBodyLimit); err != nil {
			c.fail(err)
			return nil, &SendError{MaybeSent: true, Err: errors.Join(ErrUnexpectedResponse, err)}
		}
		if !resp.reusable() {
			break
		}
	}
	c.fail(ErrUnexpectedResponse)
	return nil, &SendError{MaybeSent: true, Err: ErrUnexpectedResponse}
}

func (c *Conn) receive(method string) (*Response, error) {
	unused, _ := c.rd.Peek(c.rd.Buffered()) // no read, so no error
	if _, err := c.in.Begin(unused); err != nil {
		return nil, err
	}
	r, err := http.ReadResponse(c.rd, &http.Request{Method: method})
	if fault := c.in.Fault(); fault != nil {
		return nil, fault
	}
	if err != nil {
		return nil, err
	}
	if r.StatusCode < 200 {
		return nil, ErrStatus
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	if method == http.MethodHead {
		r.ContentLength = 0 // the header states the length that the body would have
	}
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, conn: c, body: r.Body, connectionClose: r.Close, framed: framed,
	}, nil
}

// writeReturn is how long the last write of a request may still be returning when the response is complete.
const writeReturn = 10 * time.Millisecond

// requestWritten reports whether the whole request has been written.
func (c *Conn) requestWritten() bool {
	if c.pendingWrite != nil && !c.pendingWrite.Succeeded(writeReturn) {
		return false
	}
	c.pendingWrite = nil
	return true
}

// checkEnd returns nil if the end of the connection may end the body of a response, else httpresp.ErrRequestUnwritten.
func (c *Conn) checkEnd() error {
	if c.pendingWrite == nil {
		return nil
	}
	return c.pendingWrite.CheckEnd()
}
