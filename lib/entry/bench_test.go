package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stream"
	"anvilwick.example/anvilwick/lib/target"
)

// frames is an endless response body of token frames.
type frames struct {
	gen  string
	next uint32
	buf  []byte
	sent int // bytes of buf already read
}

func (f *frames) Read(p []byte) (int, error) {
	if f.sent == len(f.buf) {
		f.buf, f.sent = appendFrame(f.buf[:0], f.gen, f.next), 0
		f.next++
	}
	n := copy(p, f.buf[f.sent:])
	f.sent += n
	return n, nil
}

func (f *frames) Close() error { return nil }

func appendFrame(dst []byte, gen string, index uint32) []byte {
	dst = append(dst, `data: {"id":"gen-`...)
	dst = append(dst, gen...)
	dst = append(dst, `","object":"text_completion","model":"planner-llm","choices":[{"index":0,"text":" market","finish_reason":null}],"ext":{"generation":"`...)
	dst = append(dst, gen...)
	dst = append(dst, `","attempt":1,"index":`...)
	dst = strconv.AppendUint(dst, uint64(index), 10)
	return append(dst, "}}\n\n"...)
}

// BenchmarkForwardToken measures the entry's own cost per token: reading the event, parsing and checking the frame, metrics,
// stall monitoring, and building the caller's event. Generating the frames and the network are not included.
func BenchmarkForwardToken(b *testing.B) {
	s := New(Options{Placer: nil})
	g, sk := benchGeneration(s)
	src := &frames{gen: g.idText}
	st := target.NewStream(src)
	r := &attemptRun{server: s, g: g, tokens: 1}
	r.watch = s.watches.start(time.Now(), g, "planner-1")
	var spare []byte
	b.ReportAllocs()
	for b.Loop() {
		f, err := st.Next()
		if err != nil || r.handleToken(f) != stream.Deliver {
			b.Fatal("token lost")
		}
		spare = sk.take(spare)
	}
}

func benchGeneration(s *Server) (*generation, *sink) {
	p := &settings.Policy{SlowReaderBuffer: 1 << 20, SlowReaderWait: time.Minute, StallFloor: time.Second}
	a := &completionRequest{
		request: &request{accepted: time.Now(), workspace: &settings.Workspace{Name: "w"}, class: "c"},
		conn:    httptest.NewRecorder(),
		policy:  p,
	}
	a.completion = mustCompletion()
	g := s.newGeneration(a, [16]byte{1}, stream.New)
	sk := a.newSink()
	_ = g.attach(time.Now(), sk, true)
	_, _ = g.beginAttempt()
	g.startAttempt("planner-1", "", time.Now(), func(error) {})
	return g, sk
}

// BenchmarkStream measures the CPU time per token of complete streams over loopback: "direct" between a caller and an engine,
// "entry" with the entry in between, all in this process. The difference is the entry's overhead.
func BenchmarkStream(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(benchEngine))
	defer engine.Close()
	b.Run("direct", func(b *testing.B) {
		body := `{"ext":{"generation":"` + strings.Repeat("ab", 16) + `"}}`
		benchStreams(b, engine.URL, body)
	})
	b.Run("entry", func(b *testing.B) {
		r := newRig(b, siteText("  slow_reader_buffer: 100000\n", true, []string{engine.Listener.Addr().String()}, nil), nil)
		benchStreams(b, r.http.URL, `{"model":"planner-llm","prompt":"x","stream":true}`)
	})
}

const (
	benchTokens = 100
	benchStep   = 10 * time.Millisecond
)

// benchEngine sends one token every benchStep.
func benchEngine(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		_, _ = io.WriteString(w, `{"incarnation":1}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, rest, _ := strings.Cut(string(body), `"generation":"`)
	gen := rest[:32]
	conn := http.NewResponseController(w)
	var buf []byte
	for i := range uint32(benchTokens) {
		buf = appendFrame(buf[:0], gen, i)
		_, _ = w.Write(buf)
		_ = conn.Flush()
		time.Sleep(benchStep)
	}
	fmt.Fprintf(w, `data: {"choices":[{"index":0,"finish_reason":"stop"}],"ext":{"generation":"%s","attempt":1,"index":%d}}`+"\n\ndata: [DONE]\n\n", gen, benchTokens)
}

// latencies collects the latencies seen by callers.
type latencies struct {
	mu    sync.Mutex
	first []time.Duration // request to first token
	gaps  []time.Duration // between tokens
}

// benchStreams runs b.N streams, eight at a time.
func benchStreams(b *testing.B, url, body string) {
	sem := make(chan struct{}, 8)
	seen := &latencies{}
	before := processorTime()
	for b.Loop() {
		sem <- struct{}{}
		go func() {
			defer func() { <-sem }()
			benchStream(b, seen, url, body)
		}()
	}
	for range cap(sem) {
		sem <- struct{}{}
	}
	spent := processorTime() - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N*benchTokens), "cpu-µs/token")
	slices.Sort(seen.first)
	slices.Sort(seen.gaps)
	b.ReportMetric(quantile(seen.first, 0.5), "first-ms-p50")
	b.ReportMetric(quantile(seen.first, 0.99), "first-ms-p99")
	b.ReportMetric(quantile(seen.gaps, 0.5), "gap-ms-p50")
	b.ReportMetric(quantile(seen.gaps, 0.99), "gap-ms-p99")
}

func quantile(sorted []time.Duration, q float64) float64 {
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

func benchStream(b *testing.B, seen *latencies, url, body string) {
	start := time.Now()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+engineapi.PathCompletions, strings.NewReader(body))
	must.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(b, err)
	defer resp.Body.Close()
	var at []time.Time
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			at = append(at, time.Now())
		}
	}
	must.Len(b, benchTokens+1, at)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.first = append(seen.first, at[0].Sub(start))
	for i := 1; i < benchTokens; i++ {
		seen.gaps = append(seen.gaps, at[i].Sub(at[i-1]))
	}
}

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
