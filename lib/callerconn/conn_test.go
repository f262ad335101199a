package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/membudget"
)

// headServer serves requests on metered connections, with a part of 100 MiB in use.
type headServer struct {
	addr string
	runs atomic.Int32 // requests that reached the handler
}

func startHeadServer(t testing.TB, inUse usedMemory, headTimeout time.Duration) *headServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return serveHeads(t, ln, inUse, headTimeout, true)
}

func serveHeads(t testing.TB, ln net.Listener, inUse usedMemory, headTimeout time.Duration, metered bool) *headServer {
	s := &headServer{addr: ln.Addr().String()}
	srv := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
		}),
		ConnState: OnState, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64 << 10,
	}
	if metered {
		ln = newListener(ln, inUse, headTimeout)
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

func newListener(ln net.Listener, inUse usedMemory, headTimeout time.Duration) *Listener {
	return &Listener{
		Listener: ln, Memory: membudget.NewOf(100<<20, inUse), HeadTimeout: func() time.Duration { return headTimeout },
		ConnsRefused: new(metrics.Counter), HeadsRefused: new(metrics.Counter),
	}
}

// dial opens a connection to the server.
func (s *headServer) dial(t testing.TB) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

const (
	smallRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	bulkRefused  = usedMemory(60 << 20) // of 100 MiB: large heads are refused, small ones are not
)

// largeRequest returns a request with a head of 60 KB of lines of a length.
func largeRequest(line int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := 0; b.Len() < 60<<10; i++ {
		name := fmt.Sprintf("A%x: ", i)
		b.WriteString(name + strings.Repeat("v", max(1, line-len(name))) + "\r\n")
	}
	return b.String() + "\r\n"
}

// Guards against a large head that is refused in a way that keeps its caller from repeating it, as a malformed one (400) or a reset, wherever the refusal
// cuts it; and against small ones that are refused with it.
func TestHeadWithoutMemoryIsRefusedTruthfully(t *testing.T) {
	s := startHeadServer(t, bulkRefused, time.Minute)
	for _, line := range []int{10, 37, 100, 5000, 70000} {
		c, rd := s.dial(t)
		for range 2 {
			_, err := io.WriteString(c, smallRequest)
			must.NoError(t, err)
			resp, err := http.ReadResponse(rd, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, resp.StatusCode)
		}
		ran := s.runs.Load()
		_, err := io.WriteString(c, largeRequest(line)) // whole, before anything is read
		must.NoError(t, err)
		resp, err := http.ReadResponse(rd, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode, must.Sprint(line))
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		must.True(t, resp.Close)
		_, err = rd.ReadByte()
		must.ErrorIs(t, err, io.EOF)
		must.Eq(t, ran, s.runs.Load())
	}
}

// Guards against heads that are granted memory by their length only: many short lines take ten times their bytes.
func TestLinesOfHeadCount(t *testing.T) {
	l := newListener(nil, 0, time.Minute)
	for line, want := range map[int]int64{10: 500 << 10, 1000: 100 << 10} {
		c := &conn{from: l}
		c.setState(http.StateNew)
		must.True(t, c.admit([]byte(largeRequest(line))))
		must.Greater(t, want, c.granted, must.Sprint(line))
		must.Less(t, 2*want, c.granted, must.Sprint(line))
	}
}

// Guards against heads that hold memory longer than the settings allow.
func TestHeadEndsByTheTimeOfTheSettings(t *testing.T) {
	s := startHeadServer(t, 0, 200*time.Millisecond)
	c, rd := s.dial(t)
	for _, part := range []string{"GET / HT", "TP/1.1\r\n"} {
		_, err := io.WriteString(c, part)
		must.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
	begun := time.Now()
	_, err := rd.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Less(t, 2*time.Second, time.Since(begun))
	must.Zero(t, s.runs.Load())
}

// Guards against a head's time limit that cuts the body after it.
func TestHeadTimeoutDoesNotConcernTheBody(t *testing.T) {
	s := startHeadServer(t, 0, 200*time.Millisecond)
	c, rd := s.dial(t)
	for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\n", "Content-Length: 2\r\n\r\n", "a", "b"} {
		_, err := io.WriteString(c, part)
		must.NoError(t, err)
		time.Sleep(120 * time.Millisecond)
	}
	resp, err := http.ReadResponse(rd, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// BenchmarkSmallHead compares requests on metered connections and on bare ones.
func BenchmarkSmallHead(b *testing.B) {
	head := "GET /a/b HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Some-Header: some value of it\r\n", 12) + "\r\n"
	for _, metered := range []bool{false, true} {
		b.Run(fmt.Sprint("metered=", metered), func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(b, err)
			s := serveHeads(b, ln, 0, time.Minute, metered)
			c, rd := s.dial(b)
			must.NoError(b, c.SetDeadline(time.Time{}))
			for b.Loop() {
				_, _ = io.WriteString(c, head)
				resp, err := http.ReadResponse(rd, nil)
				must.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
