// Package wirehttp is an HTTP/1.1 client for calls that must leave this process at most once.
//
// net/http's Transport sends a request again by itself when a kept connection turns out to be closed. Here nothing is
// sent twice: one Conn carries one exchange at a time, and an error tells whether any byte of the request may have
// reached the target. Parsing of answers is net/http's.
package wirehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// inlineWrite is the largest request, in bytes, that is written before the answer is read. A longer one is written
// beside reading: a target may answer before it has read the body, and both ends would wait for each other.
const inlineWrite = 8 << 10

// readBuffer is the size in bytes of a connection's read buffer. Answers' heads and single events fit; a larger one
// costs memory for each of the hundreds of connections of a process.
const readBuffer = 4 << 10

// maxStray bounds the answers to other requests that are read past on one connection before it is given up.
const maxStray = 3

// Errors of an exchange, beside those of the network.
var (
	ErrUnexpectedResponse = errors.New("wirehttp: answers to other requests on the connection")
	ErrStatus             = errors.New("wirehttp: informational or malformed status")
)

// Request is one call as it goes out. The body's length is always stated.
type Request struct {
	Method string
	Target string // request target as in the request line
	Host   string
	Header http.Header
	Body   []byte
}

// encode returns the head of the request.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Write fails only when the buffer does, which it can't.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// SendError is a failed exchange.
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
	nc      net.Conn
	rd      *bufio.Reader
	addr    string
	used    bool        // an exchange went over it before
	spoiled atomic.Bool // it must not carry another exchange; a cancelled request sets it from beside
	expires time.Time   // idle connections are not used after it
	writing chan error  // result of a write that goes on beside reading; nil when there is none
}

func newConn(nc net.Conn, addr string) *Conn {
	return &Conn{nc: nc, rd: bufio.NewReaderSize(nc, readBuffer), addr: addr}
}

// SetDeadline bounds all reads and writes that follow and those under way.
func (c *Conn) SetDeadline(t time.Time) {
	// The connection is closed by its user on any later error, so a failure here has no other effect.
	_ = c.nc.SetDeadline(t)
}

// Close ends the connection. The target sees it as the caller's leaving.
func (c *Conn) Close() {
	c.spoiled.Store(true)
	_ = c.nc.Close()
}

// Send writes the request. An error is a *SendError.
func (c *Conn) Send(req *Request) error {
	head := req.encode()
	if len(head)+len(req.Body) <= inlineWrite {
		return c.write(append(head, req.Body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.writing = done
	go func() {
		_, err := c.nc.Write(req.Body)
		done <- err
	}()
	return nil
}

func (c *Conn) write(b []byte) error {
	n, err := c.nc.Write(b)
	if err == nil {
		return nil
	}
	c.spoiled.Store(true)
	return &SendError{MaybeSent: n > 0, Err: err}
}

// Receive reads the head of the answer to the request named id in the header idHeader. Whole answers that bear another
// id are read past: a faulty target sends an answer twice or late, at the place where the next one is due.
func (c *Conn) Receive(method, idHeader, id string) (*Response, error) {
	for range maxStray {
		resp, err := c.receive(method)
		if err != nil {
			c.spoiled.Store(true)
			return nil, &SendError{MaybeSent: true, Err: err}
		}
		if got := resp.Header.Get(idHeader); idHeader == "" || got == id || got == "" && resp.Status >= 300 {
			return resp, nil
		}
		if err := resp.discard(); err != nil {
			c.spoiled.Store(true)
			return nil, &SendError{MaybeSent: true, Err: errors.Join(ErrUnexpectedResponse, err)}
		}
		if !resp.reusable() {
			break
		}
	}
	c.spoiled.Store(true)
	return nil, &SendError{MaybeSent: true, Err: ErrUnexpectedResponse}
}

func (c *Conn) receive(method string) (*Response, error) {
	r, err := http.ReadResponse(c.rd, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if r.StatusCode < 200 {
		return nil, ErrStatus
	}
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	return &Response{
		Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, body: r.Body, closes: r.Close, framed: framed,
	}, nil
}

// written reports whether the whole request has been written. It waits for a moment, since the last write may still
// be returning when the answer is complete.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	case <-time.After(10 * time.Millisecond):
		return false
	}
}
