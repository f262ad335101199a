package wirehttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// startTarget starts a server that runs script on each connection, and returns its address.
func startTarget(t *testing.T, script func(c net.Conn, rd *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func newRequest(id, body string) *Request {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	return &Request{Method: method, Target: "/x?q=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

// exchange makes one exchange through the pool.
func exchange(t *testing.T, p *Pool, addr, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Get(ctx, addr)
	if err != nil {
		return "", err
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	req := newRequest(id, body)
	if err := c.Send(req); err != nil {
		c.Close()
		return "", err
	}
	resp, err := c.Receive(req.Method, "Id", id)
	if err != nil {
		c.Close()
		return "", err
	}
	b, err := resp.ReadAll(1 << 20)
	if err != nil {
		c.Close()
		return "", err
	}
	p.Put(c, resp)
	return string(b), nil
}

func readRequest(t *testing.T, rd *bufio.Reader) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(rd)
	if err != nil {
		return nil
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(b)))
	return r
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) } // bodies are shorter than ten bytes

// A faulty target sends the response to request a twice. The second is on the reused connection when b is sent, or arrives
// just after; without the check of the id, the caller of b would get another caller's response.
func TestDuplicateResponseIsNotTakenForTheNext(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		for {
			r := readRequest(t, rd)
			if r == nil {
				return
			}
			id := r.Header.Get("Id")
			if id == "b" {
				write(c, response("a", "stray"))
			}
			write(c, response(id, id))
		}
	})
	p := NewPool(nil)
	got, err := exchange(t, p, addr, "a", "")
	must.NoError(t, err)
	must.Eq(t, "a", got)
	got, err = exchange(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "b", got)
}

// Bytes after a whole response belong to no request: the connection must not be reused.
func TestExtraBytesAfterResponsePreventReuse(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		r := readRequest(t, rd)
		if r == nil {
			return
		}
		write(c, response(r.Header.Get("Id"), "ok")+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool(nil)
	_, err := exchange(t, p, addr, "a", "")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	got, err := exchange(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "ok", got)
	must.Eq(t, 2, p.Dials())
}

// A truncated response must not look complete: the target announced six bytes and sent three.
func TestTruncatedResponseIsAnError(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		r := readRequest(t, rd)
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 6\r\n\r\nabc")
	})
	_, err := exchange(t, NewPool(nil), addr, "a", "")
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.True(t, MaybeSent(err))
}

// A response without a length whose connection is reset is incomplete, although some of its bytes arrived.
func TestResetCloseDelimitedResponseIsAnError(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		r := readRequest(t, rd)
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\nabc")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := exchange(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
}

// Bytes that are not an HTTP response are an error, and the request may have run.
func TestMalformedResponseIsAnError(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		readRequest(t, rd)
		write(c, "\x00\x01\x02 not http\r\n\r\n")
	})
	_, err := exchange(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
	must.True(t, MaybeSent(err))
}

// The target has closed an idle connection. A client that sends on it and resends on another connection can't know whether
// the first request ran, so the request might run twice: the closed connection must be detected before anything is sent.
func TestClosedIdleConnectionIsDetectedBeforeSending(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		r := readRequest(t, rd)
		if r != nil {
			write(c, response(r.Header.Get("Id"), "ok"))
		}
	})
	p := NewPool(nil)
	for _, id := range []string{"a", "b", "c"} {
		got, err := exchange(t, p, addr, id, "")
		must.NoError(t, err)
		must.Eq(t, "ok", got)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, p.Dials())
}

// A target responds before it has read a long body and then reads on. It must read the rest of that body or the end of the
// connection, never the next request.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	rest := make(chan string, 1)
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		write(c, response(r.Header.Get("Id"), "early"))
		if r.Header.Get("Id") != "a" {
			return
		}
		time.Sleep(50 * time.Millisecond)
		b, _ := io.ReadAll(rd)
		rest <- string(b)
	})
	p := NewPool(nil)
	body := strings.Repeat("x", 8<<20)
	got, err := exchange(t, p, addr, "a", body)
	must.NoError(t, err)
	must.Eq(t, "early", got)
	got, err = exchange(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "early", got)
	must.StrNotContains(t, <-rest, "GET")
	must.Eq(t, 2, p.Dials())
}

// If the connection is refused, the error must report that nothing was sent.
func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ln.Addr().String()
	must.NoError(t, ln.Close())
	_, err = exchange(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
	must.False(t, MaybeSent(err))
}

// A target's stated idle timeout is respected, less a margin for network delay; a malformed one means the default.
func TestIdleLimit(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                idleDefault,
		"timeout=5":       5*time.Second - idleMargin,
		"max=9,timeout=2": 2*time.Second - idleMargin,
		"timeout=0":       0,
		"timeout=x":       idleDefault,
		"timeout=9999":    idleMax,
	} {
		must.Eq(t, want, idleLimit(http.Header{"Keep-Alive": {value}}), must.Sprint(value))
	}
}

// CloseExpired closes expired connections, CloseIdle those of one address, and a closed pool keeps none.
func TestCloseExpiredCloseIdleAndClose(t *testing.T) {
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		for r := readRequest(t, rd); r != nil; r = readRequest(t, rd) {
			write(c, response(r.Header.Get("Id"), "ok"))
		}
	})
	p := NewPool(nil)
	_, err := exchange(t, p, addr, "a", "")
	must.NoError(t, err)
	p.CloseExpired(time.Now().Add(time.Hour))
	must.MapEmpty(t, p.idle)
	_, err = exchange(t, p, addr, "b", "")
	must.NoError(t, err)
	p.CloseIdle(addr)
	must.MapEmpty(t, p.idle)
	p.Close()
	_, err = exchange(t, p, addr, "c", "")
	must.NoError(t, err)
	must.MapEmpty(t, p.idle)
}

// A chunked response with "Connection: close" marks its own end. If it were taken for one that only the end of the connection
// ends, a complete stream would look truncated.
func TestCloseDelimited(t *testing.T) {
	for head, own := range map[string]bool{
		"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n": true,
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n":                      true,
		"Connection: close\r\nContent-Length: 1\r\n\r\nx":                            true,
		"Connection: close\r\n\r\nx":                                                 false,
		"\r\nx":                                                                      false,
	} {
		in := httpresp.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + head))
		c := &Conn{in: in, rd: bufio.NewReader(in)}
		r, err := c.receive("GET")
		must.NoError(t, err)
		must.Eq(t, !own, r.CloseDelimited(), must.Sprint(head))
	}
}
