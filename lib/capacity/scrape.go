package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/opsapi"
)

// usage is the cumulative resource usage of a process.
type usage struct {
	at        time.Time
	cpu       time.Duration
	memory    float64 // resident bytes
	meshBytes float64 // links to other anvilwick processes, both directions
	httpBytes float64 // platform and targets, both directions; control processes only
	reads     float64 // of the platform
	writes    float64
}

// usageOf reads a process's processor clock and its metrics.
func usageOf(ctx context.Context, n *localsite.Node) (usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OpsAddr+opsapi.PathMetrics, nil)
	if err != nil {
		return usage{}, err
	}
	resp, err := httpresp.DefaultClient.Do(req)
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	u, err := readMetrics(resp.Body)
	if err != nil {
		return usage{}, err
	}
	u.at = time.Now()
	u.cpu, err = processCPU(n.PID())
	return u, err
}

func readMetrics(r io.Reader) (usage, error) {
	var u usage
	seen := map[string]bool{}
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line := sc.Text()
		at := strings.LastIndexByte(line, ' ') // labels may contain spaces
		if at < 0 || line[0] == '#' {
			continue
		}
		if seen[line[:at]] {
			continue // an entry writes the metrics of its process twice; adding both would double its byte counts
		}
		seen[line[:at]] = true
		v, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return u, fmt.Errorf("metric %s: %w", line[:at], err)
		}
		u.add(line[:at], v)
	}
	return u, sc.Err()
}

func (u *usage) add(name string, v float64) {
	bare, labels, _ := strings.Cut(name, "{")
	switch bare {
	case "process_resident_memory_bytes":
		u.memory = v
	case "anvilwick_mesh_sent_bytes_total", "anvilwick_mesh_received_bytes_total":
		u.meshBytes += v
	case "anvilwick_control_sent_bytes_total", "anvilwick_control_received_bytes_total":
		u.httpBytes += v
	case "anvilwick_platform_exchanges_total":
		u.addExchange(labels, v)
	}
}

func (u *usage) addExchange(labels string, v float64) {
	switch {
	case strings.Contains(labels, "not_sent"):
	case strings.Contains(labels, `use="txn"`):
		u.writes += v
	default:
		u.reads += v
	}
}

// rates is usage per second, the mean of several processes of one kind.
type rates struct {
	processes                                                  int
	corePercent, memoryMB, meshBytes, httpBytes, reads, writes float64
}

func meanRates(before, after []usage) (m rates) {
	m.processes = len(after)
	for i := range after {
		a, b := after[i], before[i]
		span := a.at.Sub(b.at).Seconds() * float64(len(after))
		m.corePercent += 100 * (a.cpu - b.cpu).Seconds() / span
		m.memoryMB += a.memory / 1e6 / float64(len(after))
		m.meshBytes += (a.meshBytes - b.meshBytes) / span
		m.httpBytes += (a.httpBytes - b.httpBytes) / span
		m.reads += (a.reads - b.reads) / span
		m.writes += (a.writes - b.writes) / span
	}
	return m
}

func usagesOf(ctx context.Context, nodes []*localsite.Node) ([]usage, error) {
	var out []usage
	for _, n := range nodes {
		u, err := usageOf(ctx, n)
		if err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}
