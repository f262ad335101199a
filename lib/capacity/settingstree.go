package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const (
	treeServices   = 4
	treeDomains    = 21
	treeProbe      = 300 * time.Millisecond
	treeName       = "capacity"
	changesTimed   = 3
	changePoll     = 50 * time.Millisecond
	changeDeadline = 20 * time.Second
)

// settingsText returns settings with 4 services and 21 failure domains.
func settingsText(workspaces, targets int) []byte {
	var b bytes.Buffer
	b.WriteString("site:\n  name: capacity\n  failure_domains: [domain-0")
	for d := range treeDomains - 1 {
		fmt.Fprintf(&b, ", domain-%d", d+1)
	}
	b.WriteString("]\nclasses:\n  urgent: {priority: 100, urgent: true}\n  overnight: {max_wait: 8h}\nworkspaces:\n")
	for w := range workspaces {
		fmt.Fprintf(&b, "  workspace-%d:\n    keys:\n      - sha256:%064x\n    classes: [urgent, overnight]\n", w, w+1)
	}
	b.WriteString("services:\n")
	for s := range treeServices {
		fmt.Fprintf(&b, "  service-%d:\n    kind: model\n    models: [model-%d]\n", s, s)
		if targets > 0 {
			b.WriteString("    targets:\n")
		}
		for i := s; i < targets; i += treeServices {
			fmt.Fprintf(&b, "      target-%d:\n        addr: 10.%d.%d.%d:8000\n        failure_domain: domain-%d\n        kv_tokens: 120000\n", i, i>>16, i>>8&255, i&255, i%treeDomains)
		}
	}
	return b.Bytes()
}

// MeasureSettings measures the time to parse and resolve settings, and the heap that they retain, by workspaces and by
// targets.
func MeasureSettings(_ context.Context, r Report) error {
	if err := measureTrees(r, "workspace", [][2]int{{60, 0}, {120, 0}, {240, 0}, {480, 0}}); err != nil {
		return err
	}
	return measureTrees(r, "target", [][2]int{{10, 750}, {10, 1500}, {10, 3000}, {10, 12000}})
}

func measureTrees(r Report, by string, sizes [][2]int) error {
	var cpu, heap, text []Point
	for _, size := range sizes {
		workspaces, targets := size[0], size[1]
		n := float64(max(workspaces, targets))
		source := settingsText(workspaces, targets)
		if _, err := loadTree(source); err != nil {
			return err
		}
		spent := perOp(treeProbe, func() { _, _ = loadTree(source) })
		bytes := retainedHeap(func() any { snap, _ := loadTree(bytes.Clone(source)); return snap })
		r.point("settings", "workspaces=%d targets=%d text_bytes=%d parse_and_resolve_us=%.0f heap_bytes=%.0f", workspaces, targets, len(source), micros(spent), bytes)
		cpu = append(cpu, Point{n, micros(spent)})
		heap = append(heap, Point{n, bytes})
		text = append(text, Point{n, float64(len(source))})
	}
	r.fit("settings", "parse_and_resolve_us", by, cpu)
	r.fit("settings", "heap_bytes", by, heap)
	r.fit("settings", "text_bytes", by, text)
	return nil
}

type loadedTree struct {
	tree *settings.Tree
	snap *settings.Snapshot
}

func loadTree(source []byte) (loadedTree, error) {
	tree, err := settings.Parse(source, treeName)
	if err != nil {
		return loadedTree{}, err
	}
	snap, err := tree.Resolve(1)
	return loadedTree{tree, snap}, err
}

// countingTransport counts requests with POST and the bytes of all bodies.
type countingTransport struct {
	next  http.RoundTripper
	bytes atomic.Int64 // received and sent
	posts atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.bytes.Add(max(0, r.ContentLength))
	if r.Method == http.MethodPost {
		c.posts.Add(1)
	}
	res, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	c.bytes.Add(int64(len(body)))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, err
}

// MeasureChanges measures the cost of one settings change for an instance. Changes are committed one after the other to a
// stand-in of the table in this process, while n instances follow settings of up to 480 workspaces. The slope by instances
// is the cost of one instance, including the stand-in's answers; the base is the cost of the commit.
func MeasureChanges(ctx context.Context, r Report) error {
	for _, workspaces := range []int{120, 240, 480} {
		var cpu, bytes []Point
		for _, n := range []int{1, 4, 8} {
			spent, received, err := runChanges(ctx, n, settingsText(workspaces, 0))
			if err != nil {
				return err
			}
			r.point("change", "workspaces=%d instances=%d cpu_us=%.0f received_bytes=%.0f", workspaces, n, micros(spent), received)
			cpu = append(cpu, Point{float64(n), micros(spent)})
			bytes = append(bytes, Point{float64(n), received})
		}
		r.fit(fmt.Sprint("change-", workspaces, "-workspaces"), "cpu_us", "instance", cpu)
		r.fit(fmt.Sprint("change-", workspaces, "-workspaces"), "received_bytes", "instance", bytes)
	}
	return nil
}

// runChanges returns the processor time and the received bytes of one change with n instances.
func runChanges(ctx context.Context, n int, text []byte) (time.Duration, float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	srv := standin.New(standin.Config{Unlimited: true})
	operator := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: srv.Transport(), WritesPerSec: 1e6, ReadsPerSec: 1e6})
	transport := &countingTransport{next: srv.Transport()}
	table := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: transport, WritesPerSec: 1e6, ReadsPerSec: 1e6})
	syncs := make([]*settingsync.Sync, n)
	for i := range syncs {
		syncs[i] = settingsync.New(settingsync.Config{Table: table, Poll: changePoll, SwapShare: 1})
		wg.Go(func() { syncs[i].Run(ctx) })
	}
	var cpu time.Duration
	var bytes int64
	for i := range uint64(changesTimed + 1) {
		from, got := processTime(), transport.bytes.Load()
		text = append(text, "# one more\n"...)
		change := settingsync.Change{Text: text, File: treeName, Base: i, Operator: treeName, Time: time.Now()}
		if _, err := settingsync.Commit(ctx, operator, change); err != nil {
			return 0, 0, err
		}
		if err := awaitInForce(ctx, syncs, i+1); err != nil {
			return 0, 0, err
		}
		if i > 0 { // the first one transfers the whole text
			cpu += processTime() - from
			bytes += transport.bytes.Load() - got
		}
	}
	return cpu / changesTimed, float64(bytes) / changesTimed, nil
}

func awaitInForce(ctx context.Context, syncs []*settingsync.Sync, revision uint64) error {
	end := time.Now().Add(changeDeadline)
	for _, s := range syncs {
		for s.Status().InForce < revision {
			if ctx.Err() != nil || time.Now().After(end) {
				return fmt.Errorf("revision %d not in force", revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// newCountingTransport returns a countingTransport over sockets.
func newCountingTransport(conns int) *countingTransport {
	return &countingTransport{next: httpresp.NewTransport(&http.Transport{MaxIdleConnsPerHost: conns})}
}
