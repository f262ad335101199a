package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stallFloor is the longest gap between tokens that does not count as a stall.
const stallFloor = 250 * time.Millisecond

// Range of the histograms, in microseconds.
const (
	histMax    = int64(2 * time.Hour / time.Microsecond)
	histDigits = 3
)

// metrics accumulates a run's figures.
type metrics struct {
	window  time.Duration
	gaps    *hdrhistogram.Histogram
	ttft    *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	stall   time.Duration
	wait    time.Duration
	tokens  int // within the window
	moves   int
	aborted int // attempts aborted by Config.StallTimeout
	overCap int
	// Messages between entries and owners as if every owner were a separate process.
	messages  int
	items     int            // generations named in progress messages
	served    map[string]int // tokens within the window by workspace
	requested map[string]int
}

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func (m *metrics) init(cfg *Config) {
	m.window = cfg.Window
	m.gaps, m.ttft, m.urgent = newHist(), newHist(), newHist()
	m.served = make(map[string]int)
	m.requested = make(map[string]int)
	for i := range cfg.Arrivals {
		r := &cfg.Arrivals[i]
		m.requested[r.Workspace] += r.Length
	}
}

// record adds d to h, clamped to the histogram's range so that recording can't fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histMax))
}

func (m *metrics) firstToken(f *flow, now time.Duration) {
	d := now - f.req.At
	m.wait += d
	record(m.ttft, d)
	if f.req.Class.Urgent {
		record(m.urgent, d)
	}
}

func (m *metrics) gap(d time.Duration) {
	record(m.gaps, d)
	m.stall += max(0, d-stallFloor)
}

func (m *metrics) token(f *flow, now time.Duration) {
	if now <= m.window {
		m.tokens++
		m.served[f.req.Workspace]++
	}
}

// Result holds a run's figures as defined in the package comment.
type Result struct {
	Deployment   string
	Policy       string
	Fault        string
	Without      string
	Offered      int
	Completed    int
	Refused      int
	Lost         int
	StallS       float64
	Preemptions  int
	ITLP99MS     float64
	TTFTP95MS    float64
	TokensPerS   float64
	Fairness     float64
	UrgentP95MS  float64
	WaitS        float64
	OverCapTicks int
	EndS         float64 // virtual time of the last event
	Messages     int     // between entries and owners
	Items        int     // generations named in progress messages
	Aborted      int     // attempts aborted by entries as stalled, with Config.StallTimeout
}

func (s *sim) result() Result {
	r := Result{
		Deployment:   s.cfg.Mix.Deployment,
		Policy:       s.cfg.Policy,
		Fault:        s.cfg.Fault,
		Without:      s.cfg.Without,
		Offered:      len(s.flows),
		StallS:       s.metrics.stall.Seconds(),
		Preemptions:  int(s.preemptions()) + s.metrics.moves,
		ITLP99MS:     percentile(s.metrics.gaps, 99),
		TTFTP95MS:    percentile(s.metrics.ttft, 95),
		UrgentP95MS:  percentile(s.metrics.urgent, 95),
		TokensPerS:   float64(s.metrics.tokens) / s.cfg.Window.Seconds(),
		Fairness:     fairness(s.cfg.Mix.Workspaces, s.metrics.served, s.metrics.requested),
		WaitS:        s.metrics.wait.Seconds(),
		OverCapTicks: s.metrics.overCap,
		EndS:         s.now.Seconds(),
		Messages:     s.metrics.messages,
		Items:        s.metrics.items,
		Aborted:      s.metrics.aborted,
	}
	for i := range s.flows {
		switch s.flows[i].state {
		case flowCompleted:
			r.Completed++
		case flowRefused:
			r.Refused++
		}
	}
	r.Lost = r.Offered - r.Completed - r.Refused
	return r
}

func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}
