package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Probe measures one kind of cost. Kind is the setup: "tables" without any transport, "sockets" for instances in one
// process over loopback, "processes" for the programs themselves.
type Probe struct {
	Name string
	Kind string
	Run  func(ctx context.Context, r Report, binaries string) error
}

func inProcess(f func(context.Context, Report) error) func(context.Context, Report, string) error {
	return func(ctx context.Context, r Report, _ string) error { return f(ctx, r) }
}

// Probes returns all probes in the order in which they run.
func Probes() []Probe {
	return []Probe{
		{"loopback", "sockets", inProcess(MeasureLoopback)},
		{"owner", "tables", inProcess(MeasureOwner)},
		{"lengths", "tables", inProcess(MeasureLengths)},
		{"settings", "tables", inProcess(MeasureSettings)},
		{"change", "tables", inProcess(MeasureChanges)},
		{"claim", "sockets", inProcess(MeasureClaims)},
		{"heartbeat", "tables and sockets", inProcess(MeasureHeartbeats)},
		{"placement", "sockets", inProcess(MeasurePlacementSlopes)},
		{"limits", "sockets and tables", inProcess(MeasureLimits)},
		{"stream", "processes", MeasureStreams},
		{"sites", "processes", MeasureSites},
	}
}

// Run runs the probes named in only, or all if it is empty, one after the other.
func Run(ctx context.Context, r Report, binaries string, only []string) error {
	fmt.Fprintf(r.W, "run time=%s cores=%d go=%s load_average=%q clock=processor\n",
		time.Now().UTC().Format(time.RFC3339), runtime.NumCPU(), runtime.Version(), loadAverage())
	defer removeLinkCerts()
	began := time.Now()
	for _, p := range Probes() {
		if !selected(p.Name, only) {
			continue
		}
		from, cpu := time.Now(), processTime()
		if err := p.Run(ctx, r, binaries); err != nil {
			return fmt.Errorf("probe %s: %w", p.Name, err)
		}
		fmt.Fprintf(r.W, "probe name=%s kind=%q took_s=%.1f cpu_s=%.1f\n", p.Name, p.Kind, time.Since(from).Seconds(), (processTime() - cpu).Seconds())
	}
	fmt.Fprintf(r.W, "capacity: ok took_s=%.0f load_average=%q\n", time.Since(began).Seconds(), loadAverage())
	return nil
}

func selected(name string, only []string) bool {
	if len(only) == 0 {
		return true
	}
	return slices.Contains(only, name)
}

// loadAverage returns the load averages of the machine, which show whether other programs disturbed the measurements.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	f := strings.Fields(string(b))
	return strings.Join(f[:min(3, len(f))], " ")
}

// MeasureHeartbeats measures membership: tables alone with up to 430 nodes, and nodes over loopback.
func MeasureHeartbeats(ctx context.Context, r Report) error {
	var bytes, cpu []Point
	for _, n := range []int{32, 64, 128, 430} {
		h := HeartbeatsInMemory(n, heartbeatEvery, 4*time.Second)
		r.point("heartbeat-tables", "nodes=%d bytes_per_s=%.0f messages_per_s=%.1f core_percent=%.4f", n, h.SentPerSec, h.MsgsPerSec, 100*h.CPUFraction)
		bytes = append(bytes, Point{float64(n), h.SentPerSec})
		cpu = append(cpu, Point{float64(n), 100 * h.CPUFraction})
	}
	r.fit("heartbeat-tables", "sent_bytes_per_s", "node", bytes)
	r.fit("heartbeat-tables", "core_percent", "node", cpu)
	bytes, cpu = nil, nil
	files, err := linkCerts()
	if err != nil {
		return err
	}
	for _, n := range []int{20, 40, 64} {
		h, err := HeartbeatsOverSockets(ctx, n, heartbeatEvery, 3*time.Second, &files)
		if err != nil {
			return err
		}
		r.point("heartbeat-sockets", "nodes=%d sent_bytes_per_s=%.0f core_percent=%.4f", n, h.SentPerSec, 100*h.CPUFraction)
		bytes = append(bytes, Point{float64(n), h.SentPerSec})
		cpu = append(cpu, Point{float64(n), 100 * h.CPUFraction})
	}
	r.fit("heartbeat-sockets", "sent_bytes_per_s", "node", bytes)
	r.fit("heartbeat-sockets", "core_percent", "node", cpu)
	return nil
}

const heartbeatEvery = 500 * time.Millisecond

// MeasurePlacementSlopes measures the cost of placement requests to another entry, by generations a second and by progress
// reports for one generation.
func MeasurePlacementSlopes(ctx context.Context, r Report) error {
	const span, lifetime = 1500 * time.Millisecond, time.Second
	var cpu, bytes []Point
	for _, rate := range []int{30, 58, 120} {
		p, err := MeasurePlacements(ctx, PlacementLoad{Rate: rate, Duration: span, Lifetime: lifetime, Prefixes: 8, Progress: time.Second})
		if err != nil {
			return err
		}
		r.point("placement", "rate=%d progress_s=1 up_bytes=%.0f down_bytes=%.0f cpu_us_per_generation=%.0f", rate, p.UpBytes, p.DownBytes, micros(p.CPUPerGen))
		cpu = append(cpu, Point{float64(rate), float64(rate) * 100 * p.CPUPerGen.Seconds()})
		bytes = append(bytes, Point{float64(rate), float64(rate) * (p.UpBytes + p.DownBytes)})
	}
	r.fit("placement", "core_percent_both_ends", "generation_per_s", cpu)
	r.fit("placement", "bytes_per_s", "generation_per_s", bytes)
	bytes = nil
	for _, interval := range []time.Duration{time.Second, 200 * time.Millisecond, 50 * time.Millisecond} {
		p, err := MeasurePlacements(ctx, PlacementLoad{Rate: 58, Duration: span, Lifetime: lifetime, Prefixes: 8, Progress: interval})
		if err != nil {
			return err
		}
		reports := lifetime.Seconds() / interval.Seconds()
		r.point("placement", "rate=58 reports=%.0f up_bytes=%.0f cpu_us_per_generation=%.0f", reports, p.UpBytes, micros(p.CPUPerGen))
		bytes = append(bytes, Point{reports, p.UpBytes + p.DownBytes})
	}
	r.fit("placement", "bytes_per_generation", "report", bytes)
	return nil
}
