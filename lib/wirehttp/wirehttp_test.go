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
)

// target plays one connection's script and notes what it read.
func target(t *testing.T, script func(c net.Conn, rd *bufio.Reader)) string {
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

func request(id, body string) *Request {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	return &Request{Method: method, Target: "/x?q=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body)}
}

// ask makes one exchange over the pool.
func ask(t *testing.T, p *Pool, addr, id, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Get(ctx, addr)
	if err != nil {
		return "", err
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	req := request(id, body)
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

func read(t *testing.T, rd *bufio.Reader) *http.Request {
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

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) } // bodies here are under ten bytes

// A caller gets another caller's answer. A faulty target sends the answer to request a twice; the second lies on the
// kept connection when b is sent on it, or arrives just after. The id tells them apart.
func TestExtraAnswerIsNotTheNextOnes(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		for {
			r := read(t, rd)
			if r == nil {
				return
			}
			id := r.Header.Get("Id")
			if id == "b" {
				write(c, answer("a", "stray"))
			}
			write(c, answer(id, id))
		}
	})
	p := NewPool(nil)
	got, err := ask(t, p, addr, "a", "")
	must.NoError(t, err)
	must.Eq(t, "a", got)
	got, err = ask(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "b", got)
}

// Bytes after a whole answer belong to no request: the connection that they came on is not used again.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		r := read(t, rd)
		if r == nil {
			return
		}
		write(c, answer(r.Header.Get("Id"), "ok")+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		time.Sleep(200 * time.Millisecond)
	})
	p := NewPool(nil)
	_, err := ask(t, p, addr, "a", "")
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	got, err := ask(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "ok", got)
	must.Eq(t, 2, p.Dials())
}

// An answer that ends early must not look complete: the target promised six bytes and sent three.
func TestCutAnswerIsAnError(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		r := read(t, rd)
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 6\r\n\r\nabc")
	})
	_, err := ask(t, NewPool(nil), addr, "a", "")
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.True(t, MaybeSent(err))
}

// An answer without a length that is reset on the way is not complete, although bytes of it came.
func TestResetUnframedAnswerIsAnError(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		r := read(t, rd)
		write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\nabc")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := ask(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
}

// Bytes that are no answer are an error, and the request may have run.
func TestGarbageIsAnError(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		read(t, rd)
		write(c, "\x00\x01\x02 not http\r\n\r\n")
	})
	_, err := ask(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
	must.True(t, MaybeSent(err))
}

// A request runs twice. The target closed the idle connection; a client that sends on it and then again on another
// can't know whether the first ran. Here the closed one is noticed before anything is sent.
func TestClosedIdleConnectionIsNoticedBeforeSending(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		r := read(t, rd)
		if r != nil {
			write(c, answer(r.Header.Get("Id"), "ok"))
		}
	})
	p := NewPool(nil)
	for _, id := range []string{"a", "b", "c"} {
		got, err := ask(t, p, addr, id, "")
		must.NoError(t, err)
		must.Eq(t, "ok", got)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 3, p.Dials())
}

// A target answers before it has read a long body and reads on later. It must get the rest of that body or the end of
// the connection there, never the next request.
func TestEarlyAnswerToALongBody(t *testing.T) {
	rest := make(chan string, 1)
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		write(c, answer(r.Header.Get("Id"), "early"))
		if r.Header.Get("Id") != "a" {
			return
		}
		time.Sleep(50 * time.Millisecond)
		b, _ := io.ReadAll(rd)
		rest <- string(b)
	})
	p := NewPool(nil)
	body := strings.Repeat("x", 8<<20)
	got, err := ask(t, p, addr, "a", body)
	must.NoError(t, err)
	must.Eq(t, "early", got)
	got, err = ask(t, p, addr, "b", "")
	must.NoError(t, err)
	must.Eq(t, "early", got)
	must.StrNotContains(t, <-rest, "GET")
	must.Eq(t, 2, p.Dials())
}

// Nothing is sent where no connection can be made.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ln.Addr().String()
	must.NoError(t, ln.Close())
	_, err = ask(t, NewPool(nil), addr, "a", "")
	must.Error(t, err)
	must.False(t, MaybeSent(err))
}

// A target's stated idle timeout is kept to, with room for the way; an unreadable one falls back to the default.
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

// Expired connections are closed by Sweep, and none is handed out after its time.
func TestSweepAndClose(t *testing.T) {
	addr := target(t, func(c net.Conn, rd *bufio.Reader) {
		for r := read(t, rd); r != nil; r = read(t, rd) {
			write(c, answer(r.Header.Get("Id"), "ok"))
		}
	})
	p := NewPool(nil)
	_, err := ask(t, p, addr, "a", "")
	must.NoError(t, err)
	p.CloseExpired(time.Now().Add(time.Hour))
	must.MapEmpty(t, p.idle)
	_, err = ask(t, p, addr, "b", "")
	must.NoError(t, err)
	p.CloseIdle(addr)
	must.MapEmpty(t, p.idle)
	p.Close()
	_, err = ask(t, p, addr, "c", "")
	must.NoError(t, err)
	must.MapEmpty(t, p.idle)
}

// An answer in chunks that also asks for its connection to be closed tells its own end: taken for one that only the end
// of its connection ends, a whole stream would look like one that was stopped.
func TestWhetherAnAnswerTellsItsOwnEnd(t *testing.T) {
	for head, own := range map[string]bool{
		"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n": true,
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n":                      true,
		"Connection: close\r\nContent-Length: 1\r\n\r\nx":                            true,
		"Connection: close\r\n\r\nx":                                                 false,
		"\r\nx":                                                                      false,
	} {
		c := &Conn{rd: bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + head))}
		r, err := c.receive("GET")
		must.NoError(t, err)
		must.Eq(t, !own, r.CloseDelimited(), must.Sprint(head))
	}
}
