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

// Metrics of a process that are read here. Every daemon exports the first two.
const (
	metricCPU    = "process_cpu_seconds_total"
	metricMemory = "process_resident_memory_bytes"

	metricMoved   = `anvilwick_attempts_total{reason="moved"}`
	metricStalled = `anvilwick_attempts_total{reason="stalled"}`
)

// byteMetrics add up to the bytes that a control process sends and receives: platform, targets, and the link to its entry.
var byteMetrics = []string{
	"anvilwick_control_sent_bytes_total", "anvilwick_control_received_bytes_total",
	"anvilwick_mesh_sent_bytes_total", "anvilwick_mesh_received_bytes_total",
}

// usage is the cumulative resource usage of a process.
type usage struct {
	at     time.Time
	cpu    float64 // seconds
	memory float64 // resident bytes
	bytes  float64 // sent and received on the links of a control process

	moved   float64 // attempts of an entry that its scheduler moved
	stalled float64 // attempts of an entry that it gave up as stalled
}

// usageOf reads the metrics of a process.
func usageOf(ctx context.Context, n *localsite.Node) (usage, error) {
	u := usage{at: time.Now()}
	return u, opsapi.Scrape(ctx, n.OpsAddr, u.addMetric)
}

func (u *usage) addMetric(name string, v float64) {
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

// usages reads the metrics of several processes and omits those that don't answer.
func usages(ctx context.Context, nodes []*localsite.Node) map[*localsite.Node]usage {
	out := make(map[*localsite.Node]usage, len(nodes))
	for _, n := range nodes {
		if u, err := usageOf(ctx, n); err == nil {
			out[n] = u
		}
	}
	return out
}

// printUsage writes one line for each process whose metrics were read before and after.
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
