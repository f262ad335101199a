package settings

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// largeTree returns a tree of the size that CAPACITY.md plans for. overrides is the number of workspaces in every 100 that
// override something in each service.
func largeTree(workspaces, services, overrides, targets int) []byte {
	var b bytes.Buffer
	b.WriteString("site:\n  name: large\n  failure_domains: [")
	for d := range 21 {
		if d > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "domain-%d", d)
	}
	b.WriteString("]\nclasses:\n  urgent: {priority: 100, urgent: true}\n  standard: {max_wait: 1m}\n  overnight: {max_wait: 8h}\nworkspaces:\n")
	for w := range workspaces {
		fmt.Fprintf(&b, "  workspace-%d:\n    keys:\n      - sha256:%064x\n    classes: [urgent, standard, overnight]\n", w, w+1)
	}
	b.WriteString("services:\n")
	for s := range services {
		fmt.Fprintf(&b, "  service-%d:\n    kind: model\n    models: [model-%d]\n", s, s)
		if overrides > 0 {
			b.WriteString("    workspaces:\n")
		}
		for w := range workspaces {
			if w%100 < overrides {
				fmt.Fprintf(&b, "      workspace-%d:\n        policy:\n          weight: 2\n        classes:\n          overnight:\n            concurrency: %d\n          urgent:\n            rate: 20\n", w, w+1)
			}
		}
		if targets > 0 {
			b.WriteString("    targets:\n")
		}
		for i := s; i < targets; i += services {
			fmt.Fprintf(&b, "      target-%d:\n        addr: 10.%d.%d.%d:8000\n        failure_domain: domain-%d\n        kv_tokens: 120000\n", i, i>>16, i>>8&255, i&255, i%21)
		}
	}
	return b.Bytes()
}

func benchTree(b *testing.B, overrides, targets int) {
	text := largeTree(480, 4, overrides, targets)
	b.Run("parse", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := Parse(text, "large")
			must.NoError(b, err)
		}
		b.ReportMetric(float64(len(text)), "file-bytes")
	})
	tree, err := Parse(text, "large")
	must.NoError(b, err)
	b.Run("resolve", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := tree.Resolve(1)
			must.NoError(b, err)
		}
	})
	b.Run("held", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tree, _ := Parse(bytes.Clone(text), "large")
		snap, _ := tree.Resolve(1)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for b.Loop() {
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes-held")
		runtime.KeepAlive(tree)
		runtime.KeepAlive(snap)
	})
}

func BenchmarkLarge(b *testing.B) {
	b.Run("few-overrides", func(b *testing.B) { benchTree(b, 10, 0) })
	b.Run("all-override", func(b *testing.B) { benchTree(b, 100, 0) })
	b.Run("12000-targets", func(b *testing.B) { benchTree(b, 10, 12000) })
}

func BenchmarkPolicy(b *testing.B) {
	tree, err := Parse(largeTree(480, 4, 100, 0), "large")
	must.NoError(b, err)
	snap, err := tree.Resolve(1)
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		snap.Policy("service-2", "workspace-77", "overnight")
	}
}

func BenchmarkLookupToken(b *testing.B) {
	tree, err := Parse(largeTree(480, 4, 0, 0), "large")
	must.NoError(b, err)
	snap, err := tree.Resolve(1)
	must.NoError(b, err)
	for b.Loop() {
		snap.LookupToken("a token of an ordinary length")
	}
}
