package siterun

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/opsapi"
)

// Names of metrics that every daemon exports.
const (
	metricCPU    = "process_cpu_seconds_total"
	metricMemory = "process_resident_memory_bytes"

	metricMoved   = `anvilwick_attempts_total{reason="moved"}`
	metricStalled = `anvilwick_attempts_total{reason="stalled"}`
)

// byteMetrics sum up what a control process sends and receives: platform, targets, and the link to its entry.
var byteMetrics = []string{
	"anvilwick_control_sent_bytes_total", "anvilwick_control_received_bytes_total",
	"anvilwick_mesh_sent_bytes_total", "anvilwick_mesh_received_bytes_total",
}

// usage is what a process has used so far.
type usage struct {
	at     time.Time
	cpu    float64 // seconds
	memory float64 // resident bytes
	bytes  float64 // sent and received on links of control

	moved   float64 // attempts of an entry that its scheduler moved
	stalled float64 // attempts of an entry that it gave up as stalled
}

// usageOf reads a process's own metrics.
func usageOf(ctx context.Context, n *localsite.Node) (usage, error) {
	u := usage{at: time.Now()}
	return u, opsapi.Scrape(ctx, n.OpsAddr, u.add)
}

func (u *usage) add(name string, v float64) {
	bare, _, _ := strings.Cut(name, "{")
	switch bare {
	case metricCPU:
		u.cpu = v
	case metricMemory:
		u.memory = v
	}
	switch name {
	case metricMoved:
		u.moved = v
	case metricStalled:
		u.stalled = v
	}
	for _, m := range byteMetrics {
		if bare == m {
			u.bytes += v
		}
	}
}

// usages reads a group of processes; those that don't answer are left out.
func usages(ctx context.Context, nodes []*localsite.Node) map[*localsite.Node]usage {
	out := make(map[*localsite.Node]usage, len(nodes))
	for _, n := range nodes {
		if u, err := usageOf(ctx, n); err == nil {
			out[n] = u
		}
	}
	return out
}

// printUsage writes one line for each process that answered before and after.
func printUsage(w io.Writer, before, after map[*localsite.Node]usage, nodes []*localsite.Node) {
	for _, n := range nodes {
		b, ok1 := before[n]
		a, ok2 := after[n]
		if !ok1 || !ok2 {
			continue
		}
		span := a.at.Sub(b.at).Seconds()
		fmt.Fprintf(w, "process=%q cpu_percent=%.2f memory_mb=%.1f control_bytes_per_s=%.0f\n",
			n.Name, 100*(a.cpu-b.cpu)/span, a.memory/1e6, (a.bytes-b.bytes)/span)
	}
}
