package httpresp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/standin/raw"
)

// scriptedConn is a connection on which an answer arrives once a request was begun. Its reads meet an ordinary end after that, its writes what write returns.
type scriptedConn struct {
	net.Conn // a closed one, for all else
	answer   io.Reader
	write    func(n int, p []byte) (int, error) // n counts the writes from 1
	begun    chan struct{}
	writes   int
	once     sync.Once
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.writes++
	c.once.Do(func() { close(c.begun) })
	return c.write(c.writes, p)
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.begun
	return c.answer.Read(p)
}

func dialScripted(answer string, write func(n int, p []byte) (int, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		closed, other := net.Pipe()
		_, _ = closed.Close(), other.Close()
		return &scriptedConn{Conn: closed, answer: strings.NewReader(answer), write: write, begun: make(chan struct{})}, nil
	}
}

// post sends a body of a megabyte and returns the body of the answer.
func post(rt http.RoundTripper) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:1/", strings.NewReader(strings.Repeat("u", 1<<20)))
	if err != nil {
		return "", err
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), errors.Join(err, resp.Body.Close())
}

// Guards against a part of an answer that is taken for the whole: only the end of its connection ends it, and a write of its request fails at that moment, or a
// little later.
func TestTransportTrustsNoEndBeforeTheRequestIsWritten(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\npart"
	failing := func(after time.Duration, err error) func(int, []byte) (int, error) {
		return func(n int, p []byte) (int, error) {
			if n < 3 {
				return len(p), nil
			}
			time.Sleep(after)
			return 0, err
		}
	}
	written := func(n int, p []byte) (int, error) {
		if n == 3 {
			time.Sleep(50 * time.Millisecond) // the goroutine that writes gets no processor time
		}
		return len(p), nil
	}
	for name, c := range map[string]struct {
		answer string
		write  func(int, []byte) (int, error)
		whole  bool
	}{
		"reset":           {unframed, failing(0, syscall.ECONNRESET), false},
		"reset later":     {unframed, failing(50*time.Millisecond, syscall.EPIPE), false},
		"write lasts":     {unframed, failing(3*writeTimeout, syscall.EPIPE), false},
		"HTTP/1.0":        {"HTTP/1.0 200 OK\r\n\r\npart", failing(50*time.Millisecond, syscall.EPIPE), false},
		"written":         {unframed, written, true},
		"length, unread":  {"HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\npart", failing(50*time.Millisecond, syscall.EPIPE), true},
		"cut, unwritten":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", failing(50*time.Millisecond, syscall.EPIPE), false},
		"chunks, written": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", written, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rt := NewTransport(&http.Transport{DialContext: dialScripted(c.answer, c.write)})
			body, err := post(rt)
			must.Eq(t, c.whole, err == nil, must.Sprintf("%q %v", body, err))
			must.Eq(t, c.whole, body == "part" && err == nil)
		})
	}
}

// Guards against answers that are none and are passed on; against sound ones that are refused; and, since each request may run, against net/http sending one again by
// itself after a faulty answer on a connection that it had used before.
func TestTransportChecksHeads(t *testing.T) {
	malformed, unusual := raw.MalformedAnswers(""), raw.UnusualAnswers("")
	var sends atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get("Answer")
		text, ok := malformed[name]
		if !ok {
			text, ok = unusual[name]
		}
		if !ok {
			return // an ordinary answer, after which the connection is used again
		}
		sends.Add(1)
		raw.Answer{Text: text}.Send(w, r)
	}))
	t.Cleanup(srv.Close)
	client := &http.Client{Transport: NewTransport(new(http.Transport))}
	t.Cleanup(client.CloseIdleConnections)
	get := func(answer string) (string, error) {
		req, err := http.NewRequest(http.MethodGet, srv.URL, nil)
		must.NoError(t, err)
		req.Header.Set("Answer", answer)
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return fmt.Sprintf("%d %s", resp.StatusCode, body), err
	}
	for name := range malformed {
		_, err := get("")
		must.NoError(t, err)
		sends.Store(0)
		_, err = get(name)
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(name))
		must.Eq(t, 1, sends.Load(), must.Sprint(name))
	}
	for name := range unusual {
		_, err := get("")
		must.NoError(t, err)
		got, err := get(name)
		must.NoError(t, err, must.Sprint(name))
		must.StrHasPrefix(t, "2", got)
		must.Eq(t, !strings.HasPrefix(name, "204"), strings.HasSuffix(got, " body"), must.Sprint(name, got))
	}
}

// Guards against sound answers that are taken for unasked ones: net/http hands a connection on to the next request before the caller of this one has its answer.
func TestTransportAnswersManyOnReusedConnections(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(srv.Close)
	client := &http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: 8})}
	t.Cleanup(client.CloseIdleConnections)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				resp, err := client.Get(srv.URL)
				if err != nil {
					t.Error(err)
					return
				}
				_ = resp.Body.Close()
			}
		})
	}
	callers.Wait()
}
