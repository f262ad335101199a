package wirehttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// resetConn is a connection whose reset the write of a body takes: reads return an answer and an ordinary end.
type resetConn struct {
	net.Conn
	answer io.Reader
	writes int
	closed chan struct{}
	once   sync.Once
	body   func() error // ends the write of a body; nil: it lasts until the connection is closed
}

func (c *resetConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

func (c *resetConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(p), nil // the head
	}
	if c.body == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	if err := c.body(); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Guards against a part of an answer that is taken for the whole: only the end of its connection ends it, and the write of the request has met the reset, or
// has not returned.
func TestEndOfConnectionEndsNoBodyOfUnwrittenRequest(t *testing.T) {
	reset := func() error { return syscall.ECONNRESET }
	late := func() error {
		time.Sleep(50 * time.Millisecond)
		return syscall.EPIPE
	}
	written := func() error {
		time.Sleep(50 * time.Millisecond) // the goroutine that writes gets no processor time
		return nil
	}
	const unframed = "HTTP/1.1 200 OK\r\n\r\npart"
	for name, c := range map[string]struct {
		answer string
		body   func() error
		whole  bool
	}{
		"reset":                  {unframed, reset, false},
		"reset later":            {unframed, late, false},
		"unwritten":              {unframed, nil, false},
		"HTTP/1.0":               {"HTTP/1.0 200 OK\r\n\r\npart", reset, false},
		"written":                {unframed, written, true},
		"length, reset":          {"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart", reset, true},
		"length, unwritten":      {"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart", nil, true},
		"chunks, unwritten":      {"HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", nil, true},
		"cut length, unwritten":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", nil, false},
		"nothing, written whole": {"HTTP/1.1 200 OK\r\n\r\n", written, true},
		"nothing, reset":         {"HTTP/1.1 200 OK\r\n\r\n", reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc := &resetConn{answer: strings.NewReader(c.answer), closed: make(chan struct{}), body: c.body}
			conn := NewConn(nc, "h")
			defer conn.Close()
			must.NoError(t, conn.Send(&Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, inlineWriteLimit+1)}))
			resp, err := conn.Receive(http.MethodPost, "", "")
			must.NoError(t, err)
			body, err := resp.ReadAll(1 << 10)
			must.Eq(t, c.whole, err == nil, must.Sprintf("%q %v", body, err))
			must.Eq(t, c.whole, resp.Ended())
			must.Eq(t, !c.whole && !strings.Contains(c.answer, "Content-Length"), errors.Is(err, httpresp.ErrRequestUnwritten))
		})
	}
}
