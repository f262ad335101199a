package settingsync

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// exampleWithWorkspaces returns Kelburn's example with n more workspaces, a tenth of which override something at planner-llm.
func exampleWithWorkspaces(t testing.TB, n int) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/kelburn/settings.yaml")
	must.NoError(t, err)
	var workspaces, overrides strings.Builder
	for i := range n {
		fmt.Fprintf(&workspaces, "  workspace-%d:\n    keys:\n      - sha256:%s\n    classes: [urgent, standard, overnight]\n", i, Digest(fmt.Append(nil, i)))
		if i%10 == 0 {
			fmt.Fprintf(&overrides, "      workspace-%d:\n        classes:\n          overnight:\n            concurrency: %d\n", i, i+1)
		}
	}
	text = bytes.Replace(text, []byte("\nworkspaces:\n"), []byte("\nworkspaces:\n"+workspaces.String()), 1)
	return bytes.Replace(text, []byte("    workspaces:\n"), []byte("    workspaces:\n"+overrides.String()), 1)
}

// countingTransport counts the body bytes that an instance receives.
type countingTransport struct {
	next     http.RoundTripper
	received atomic.Int64
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	c.received.Add(int64(len(body)))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, err
}

// BenchmarkChange measures the cost to one instance of changing one key hash, of a workspace drawn at random each time:
// reading the head and the revision, then unpacking, parsing and resolving the text. A full text is read every
// fullTextInterval revisions.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{0, 480} {
		b.Run(fmt.Sprintf("workspaces-%d", 10+n), func(b *testing.B) { benchChange(b, exampleWithWorkspaces(b, n)) })
	}
}

func benchChange(b *testing.B, text []byte) {
	srv := standin.New(standin.Config{})
	operator := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: srv.Transport()})
	wire := &countingTransport{next: srv.Transport()}
	s := New(Config{Table: platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: wire})})
	rng := rand.New(rand.NewPCG(1, 1))
	var base baseText
	var revision uint64
	for b.Loop() {
		b.StopTimer()
		text = replaceKeyHash(text, rng)
		_, err := Commit(b.Context(), operator, Change{Text: text, File: "f", Base: revision, Operator: "o", Time: time.Now()})
		must.NoError(b, err)
		revision++
		b.StartTimer()
		base = s.poll(b.Context(), base)
		s.swap()
		must.Eq(b, revision, s.Status().InForce)
	}
	b.ReportMetric(float64(len(text)), "text-bytes")
	b.ReportMetric(float64(wire.received.Load())/float64(b.N), "received-bytes/op")
}

// replaceKeyHash replaces the key hash of a workspace chosen with rng.
func replaceKeyHash(text []byte, rng *rand.Rand) []byte {
	parts := bytes.Split(text, []byte("sha256:"))
	chosen := 1 + rng.IntN(len(parts)-1)
	parts[chosen] = slices.Concat([]byte(Digest(fmt.Append(nil, rng.Uint64()))), parts[chosen][64:])
	return bytes.Join(parts, []byte("sha256:"))
}

// BenchmarkPropagation measures the time from an accepted commit until each of 8 instances has the revision in force, in
// real time.
func BenchmarkPropagation(b *testing.B) {
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{})
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	syncs := make([]*Sync, 8)
	for i := range syncs {
		syncs[i] = New(Config{Table: platform.New(platform.Config{Addr: l.Addr()})})
		wg.Go(func() { syncs[i].Run(ctx) })
	}
	operator := platform.New(platform.Config{Addr: l.Addr()})
	text := exampleWithWorkspaces(b, 0)
	var took []time.Duration
	var revision uint64
	for b.Loop() {
		text = append(text, "# one more\n"...)
		_, err := Commit(ctx, operator, Change{Text: text, File: "f", Base: revision, Operator: "o", Time: time.Now()})
		must.NoError(b, err)
		accepted := time.Now()
		revision++
		for _, s := range syncs {
			for s.Status().InForce < revision {
				time.Sleep(time.Millisecond)
			}
			took = append(took, time.Since(accepted))
		}
	}
	cancel()
	wg.Wait()
	_ = l.Close(b.Context())
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "worst-ms")
}
