package loadgen

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilwick.example/anvilwick/lib/result"
)

// Range of the histograms: 1 µs to 1 h, with three significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// statsKey identifies the group that a request is counted in.
type statsKey struct{ workspace, class string }

// classStats holds the statistics of one workspace and class.
type classStats struct {
	sent, complete, refused, failed, unknown int
	tokens                                   int
	firstToken, interToken, stall, total     *hdrhistogram.Histogram // microseconds
}

func newClassStats() *classStats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, significantDigits) }
	return &classStats{firstToken: h(), interToken: h(), stall: h(), total: h()}
}

// Stats aggregates the outcomes that callers observed.
type Stats struct {
	StallFloor time.Duration // time between two tokens beyond this counts as stall time

	mu         sync.Mutex
	byKey      map[statsKey]*classStats
	codes      map[result.Code]int
	violations []string
	resumes    int
	unsent     int
	maxDelay   time.Duration
}

// NewStats returns empty statistics.
func NewStats(stallFloor time.Duration) *Stats {
	return &Stats{StallFloor: stallFloor, byKey: map[statsKey]*classStats{}, codes: map[result.Code]int{}}
}

// Outcome is the result of one request as observed by its caller.
type Outcome struct {
	Workspace string
	Class     string
	Sent      time.Time
	Ended     time.Time
	Tokens    []time.Time // arrival time of each token
	Code      result.Code // 0: no response with a code
	Complete  bool        // the complete, correct answer was received
	Resumes   int
	Violation string // description of a violated guarantee; empty: none
}

// Add records o.
func (s *Stats) Add(o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.statsFor(o)
	p.sent++
	s.codes[o.Code]++
	s.resumes += o.Resumes
	if o.Violation != "" {
		s.violations = append(s.violations, o.Violation)
	}
	p.count(o)
	p.measure(o, s.StallFloor)
}

func (s *Stats) statsFor(o Outcome) *classStats {
	k := statsKey{o.Workspace, o.Class}
	if s.byKey[k] == nil {
		s.byKey[k] = newClassStats()
	}
	return s.byKey[k]
}

func (p *classStats) count(o Outcome) {
	if o.Complete {
		p.complete++
		return
	}
	switch result.Lookup(o.Code).Outcome {
	case result.NotRun:
		p.refused++
	case result.FailedRan:
		p.failed++
	default:
		p.unknown++
	}
}

func (p *classStats) measure(o Outcome, floor time.Duration) {
	if o.Complete {
		record(p.total, o.Ended.Sub(o.Sent))
	}
	if len(o.Tokens) == 0 {
		return
	}
	p.tokens += len(o.Tokens)
	record(p.firstToken, o.Tokens[0].Sub(o.Sent))
	stalled := time.Duration(0)
	for i := 1; i < len(o.Tokens); i++ {
		gap := o.Tokens[i].Sub(o.Tokens[i-1])
		record(p.interToken, gap)
		stalled += max(0, gap-floor)
	}
	record(p.stall, stalled)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // cannot fail: clamped to the range
}

// CountUnsent counts an arrival that the load generator could not send. A run with unsent arrivals is not a valid measurement.
func (s *Stats) CountUnsent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent++
}

// RecordDelay records how much later than planned a request was sent.
func (s *Stats) RecordDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxDelay = max(s.maxDelay, d)
}

// Violations returns a description of each violated guarantee.
func (s *Stats) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Print writes the statistics per workspace and class, the result codes, and a final line of totals.
func (s *Stats) Print(w io.Writer, seed uint64, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := newClassStats()
	for _, k := range s.sortedKeys() {
		p := s.byKey[k]
		p.print(w, k)
		all.merge(p)
	}
	for _, c := range s.sortedCodes() {
		fmt.Fprintf(w, "code=%d name=%s count=%d\n", c, codeName(c), s.codes[c])
	}
	for _, violation := range s.violations {
		fmt.Fprintf(w, "wrong: %s\n", violation)
	}
	fmt.Fprintf(w, "load: seed=%d span_s=%.1f sent=%d whole=%d refused=%d failed=%d unknown=%d unsent=%d resumed=%d tokens=%d "+
		"ttft_p50_ms=%.1f ttft_p99_ms=%.1f between_p50_ms=%.1f between_p99_ms=%.1f stall_p99_ms=%.1f stall_max_ms=%.1f late_ms=%.1f wrong=%d\n",
		seed, span.Seconds(), all.sent, all.complete, all.refused, all.failed, all.unknown, s.unsent, s.resumes, all.tokens,
		percentileMS(all.firstToken, 50), percentileMS(all.firstToken, 99), percentileMS(all.interToken, 50), percentileMS(all.interToken, 99),
		percentileMS(all.stall, 99), percentileMS(all.stall, 100),
		float64(s.maxDelay.Microseconds())/1000, len(s.violations))
}

func codeName(c result.Code) string {
	if c == 0 {
		return "no_numbered_answer"
	}
	return result.Lookup(c).Name
}

func (s *Stats) sortedKeys() []statsKey {
	keys := make([]statsKey, 0, len(s.byKey))
	for k := range s.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b statsKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.class, b.class))
	})
	return keys
}

func (s *Stats) sortedCodes() []result.Code {
	codes := make([]result.Code, 0, len(s.codes))
	for c := range s.codes {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}

func (p *classStats) merge(q *classStats) {
	p.sent += q.sent
	p.complete += q.complete
	p.refused += q.refused
	p.failed += q.failed
	p.unknown += q.unknown
	p.tokens += q.tokens
	p.firstToken.Merge(q.firstToken)
	p.interToken.Merge(q.interToken)
	p.stall.Merge(q.stall)
	p.total.Merge(q.total)
}

func (p *classStats) print(w io.Writer, k statsKey) {
	fmt.Fprintf(w, "workspace=%s class=%s sent=%d whole=%d refused=%d failed=%d unknown=%d tokens=%d\n",
		k.workspace, k.class, p.sent, p.complete, p.refused, p.failed, p.unknown, p.tokens)
	row := func(name string, h *hdrhistogram.Histogram) {
		if h.TotalCount() == 0 {
			return
		}
		fmt.Fprintf(w, "  %-14s n=%-7d p50=%.1fms p90=%.1fms p99=%.1fms p999=%.1fms max=%.1fms\n",
			name, h.TotalCount(), percentileMS(h, 50), percentileMS(h, 90), percentileMS(h, 99), percentileMS(h, 99.9), percentileMS(h, 100))
	}
	row("first_token", p.firstToken)
	row("between_tokens", p.interToken)
	row("stall", p.stall)
	row("whole_answer", p.total)
}

// percentileMS returns the percentile in milliseconds, or 0 if h is empty.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
