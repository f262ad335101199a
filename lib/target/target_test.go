package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
)

func streamOf(text string) *Stream { return NewStream(io.NopCloser(strings.NewReader(text))) }

func TestStreamParsesFrames(t *testing.T) {
	g := ids.From(1, 1)
	st := streamOf(": hello\r\n\r\nevent: x\nid: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\\"\"},\"finish_reason\":null}],\r\n" +
		"data:  \"ext\":{\"generation\":\"" + g.String() + "\",\"attempt\":2,\"index\":5}}\r\n\r\n" +
		"data: {\"error\":{\"type\":\"preempted\"},\"ext\":{\"generation\":\"\",\"attempt\":0,\"index\":0}}\n\ndata: [DONE]\n\n")
	f, err := st.Next()
	must.NoError(t, err)
	must.Eq(t, g, f.Generation)
	must.Eq(t, 2, f.Attempt)
	must.Eq(t, 5, f.Index)
	must.Eq(t, `a"`, string(f.Text))
	must.Eq(t, "", f.Finish)
	f, err = st.Next()
	must.NoError(t, err)
	must.Eq(t, engineapi.ErrPreempted, f.Err.Type)
	must.True(t, f.Generation.IsZero())
	_, err = st.Next()
	must.ErrorIs(t, err, io.EOF)
	must.False(t, errors.Is(err, ErrTruncated))
}

// An interrupted stream can look like a finished one. Every end other than [DONE] must be an error, both inside an event
// and between two.
func TestTruncatedStreamIsError(t *testing.T) {
	for _, text := range []string{"", ": x\n", "data: [DONE]", "data: [DONE]\n", `data: {"a"`, "data: x\n"} {
		_, err := streamOf(text).Next()
		must.ErrorIs(t, err, ErrTruncated, must.Sprintf("%q", text))
	}
}

func TestBadFramesRejected(t *testing.T) {
	for _, data := range []string{
		"{", "[]", "{}", `{"ext":{}}`, `{"ext":{"generation":"zz","attempt":1,"index":0}}`,
		`{"ext":{"generation":"00000000000000000000000000000001","attempt":-1,"index":0},"choices":[{}]}`,
		`{"ext":{"generation":"00000000000000000000000000000001","attempt":1},"choices":[{}]}`,
		`{"ext":{"generation":"00000000000000000000000000000001","attempt":1,"index":0}}`,
	} {
		_, err := streamOf("data: " + data + "\n\n").Next()
		must.ErrorIs(t, err, ErrBadFrame, must.Sprint(data))
	}
}

// An engine that never terminates an event must not exhaust the entry's memory.
func TestEventSizeBounded(t *testing.T) {
	_, err := NewStream(io.NopCloser(endless{})).Next()
	must.ErrorIs(t, err, ErrEventTooLarge)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// A reused connection breaks after the target has read a call. Because of the Idempotency-Key, net/http would resend the
// call by itself. The target must receive a call that must not be repeated only once, with and without a body.
func TestNoResendAfterBrokenConnection(t *testing.T) {
	var seen atomic.Int32
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go answerOnceThenCut(conn, &seen)
		}
	}()
	clients := NewClients()
	defer clients.Close()
	c := clients.Client("t", ln.Addr().String())
	for _, body := range []string{"", "go"} {
		seen.Store(0)
		call := &Call{Method: http.MethodPost, Path: "/x", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), NoResend: true}
		for range 2 {
			resp, err := c.Do(context.Background(), call)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		must.Eq(t, 2, seen.Load(), must.Sprint("requests seen by the target, for two calls"))
	}
}

// answerOnceThenCut answers a connection's first request and closes the connection after reading the second.
func answerOnceThenCut(conn net.Conn, seen *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		seen.Add(1)
		if i > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// ErrNotSent is the proof behind "not run". It must hold for a refused connection, and must not hold for a connection that
// broke after the request was sent, whether new or reused.
func TestErrNotSentOnlyIfNothingSent(t *testing.T) {
	clients := NewClients()
	defer clients.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	dead := httptest.NewServer(nil)
	deadAddr := dead.Listener.Addr().String()
	dead.Close()
	for _, once := range []bool{true, false} {
		call := &Call{Method: http.MethodGet, Path: "/", Header: http.Header{}, NoResend: once}
		_, err := clients.Client("dead", deadAddr).Do(context.Background(), call)
		must.ErrorIs(t, err, ErrNotSent)
		_, err = clients.Client("cut", cut.Listener.Addr().String()).Do(context.Background(), call)
		must.ErrorIs(t, err, ErrBroken)
		must.False(t, errors.Is(err, ErrNotSent))
	}
}

// Following a target's redirect would send a second request, possibly to another host.
func TestRedirectsNotFollowed(t *testing.T) {
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	clients := NewClients()
	defer clients.Close()
	resp, err := clients.Client("t", srv.Listener.Addr().String()).Do(context.Background(), &Call{Method: http.MethodPost, Path: "/", NoResend: true})
	must.NoError(t, err)
	resp.Body.Close()
	must.Eq(t, http.StatusTemporaryRedirect, resp.StatusCode)
	must.Eq(t, 1, calls.Load())
}

func TestCopyEndToEndHeaders(t *testing.T) {
	dst := http.Header{}
	CopyEndToEndHeaders(dst, http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "X-End": {"2"}, "Upgrade": {"h2c"}, "Te": {"trailers"}})
	must.Eq(t, http.Header{"X-End": {"2"}}, dst)
}
