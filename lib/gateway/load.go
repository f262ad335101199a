package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/plainload"
)

// metricLoadFaults counts responses whose load was ignored, by fault.
const metricLoadFaults = "anvilwick_gateway_load_faults_total"

const (
	// maxReportedRequests is the largest plausible number of running or waiting requests on a target.
	maxReportedRequests = 1 << 20
	// percent is the unit of the slowdown in a load header.
	percent = 100
	// maxLoadHeaders bounds the targets whose load headers are remembered. When there are more, a fault may be logged again.
	maxLoadHeaders = 16 << 10
)

// Faults of load headers.
const (
	loadMalformed = "malformed"    // a figure is no number, or out of range
	loadAbsent    = "no_slowdown"  // no slowdown from a target that has named one before
	slowdownFault = "bad_slowdown" // the slowdown is no number, or out of range
)

// load is the load named in a response: "running,waiting,slots", and in some services the slowdown in percent of the usual step time.
type load struct {
	running, waiting int
	slowdown         float64 // factor on the usual step time; 0: not named, or invalid
	known            bool    // running and waiting were named
	fault            string  // empty: none
}

func parseLoad(value string) load {
	parts := strings.Split(value, ",")
	if len(parts) < 2 {
		if strings.TrimSpace(value) == "" {
			return load{}
		}
		return load{fault: loadMalformed}
	}
	var out load
	var okRunning, okWaiting bool
	out.running, okRunning = parseRequests(parts[0])
	out.waiting, okWaiting = parseRequests(parts[1])
	if !okRunning || !okWaiting {
		return load{fault: loadMalformed}
	}
	out.known = true
	if len(parts) < 4 {
		return out
	}
	p, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64)
	if err != nil || !enginerate.ValidSlowdown(p/percent) {
		out.fault = slowdownFault
		return out
	}
	out.slowdown = p / percent
	return out
}

func parseRequests(s string) (n int, ok bool) {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	return n, err == nil && n >= 0 && n <= maxReportedRequests
}

// readLoad applies the load named in a response: the requests and the slowdown for this instance's choices, the slowdown for those of
// owners and, if the target is plain, of peers.
func (g *Gateway) readLoad(target fleet.Info, h http.Header) {
	value := h.Get(g.Names.Load)
	l := parseLoad(value)
	fault, first := g.loadHeaders.judge(target, l)
	if fault != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf("%s{fault=%q}", metricLoadFaults, fault)).Inc()
	}
	if first {
		g.Log.LoadFault(target, fault, value)
	}
	if l.known {
		report := plainload.Report{Running: l.running, Waiting: l.waiting, Slowdown: l.slowdown}
		if g.Fleet.ObserveLoad(time.Now(), target.ID, target.Born, report) && g.Owners != nil {
			g.Owners.AnnounceSlowdown(target, l.slowdown)
		}
	}
	if l.slowdown > 0 && g.Owners != nil {
		g.Owners.RecordPace(owner.Pace{Target: target.ID, Slowdown: l.slowdown})
	}
}

// loadHeaders remembers which incarnations of targets name a slowdown, and of which a fault was logged. The zero value is ready for use.
type loadHeaders struct {
	mu       sync.Mutex
	byTarget map[loadTarget]loadHeader
}

// loadTarget identifies an incarnation of a target.
type loadTarget struct {
	id   string
	born int64
}

type loadHeader struct {
	namesSlowdown, logged bool
}

// judge returns the fault of a load, and whether it is the first of its target. Targets of most services name no load or no slowdown; this
// is a fault only if the target has named one before.
func (m *loadHeaders) judge(t fleet.Info, l load) (fault string, first bool) {
	target := loadTarget{id: t.ID, born: t.Born}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.byTarget[target]
	is := old
	is.namesSlowdown = old.namesSlowdown || l.slowdown > 0
	fault = l.fault
	if fault == "" && l.slowdown == 0 && old.namesSlowdown {
		fault = loadAbsent
	}
	is.logged = old.logged || fault != ""
	if is != old {
		m.set(target, is)
	}
	return fault, is.logged && !old.logged
}

func (m *loadHeaders) set(target loadTarget, h loadHeader) {
	if m.byTarget == nil || len(m.byTarget) >= maxLoadHeaders {
		m.byTarget = make(map[loadTarget]loadHeader)
	}
	m.byTarget[target] = h
}
