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

// Bounds of the histograms: a microsecond to an hour, to three digits.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// pairKey is what figures are kept apart by.
type pairKey struct{ workspace, class string }

// pair holds the figures of one workspace and class.
type pair struct {
	sent, whole, refused, failed, unknown int
	tokens                                int
	first, between, stall, total          *hdrhistogram.Histogram // microseconds
}

func newPair() *pair {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
	return &pair{first: h(), between: h(), stall: h(), total: h()}
}

// Stats adds up what callers saw.
type Stats struct {
	StallFloor time.Duration // a wait between tokens beyond it is stall time

	mu      sync.Mutex
	pairs   map[pairKey]*pair
	codes   map[result.Code]int
	wrong   []string
	resumed int
	unsent  int
	maxLate time.Duration
}

// NewStats returns empty figures.
func NewStats(stallFloor time.Duration) *Stats {
	return &Stats{StallFloor: stallFloor, pairs: map[pairKey]*pair{}, codes: map[result.Code]int{}}
}

// Outcome is one request as its caller saw it.
type Outcome struct {
	Workspace string
	Class     string
	Sent      time.Time
	Ended     time.Time
	Tokens    []time.Time // when each token came
	Code      result.Code // 0: no numbered answer
	Complete  bool        // the whole right answer came
	Resumes   int
	Violation string // a promise that was broken; empty: none
}

// Add counts o.
func (f *Stats) Add(o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pair(o)
	p.sent++
	f.codes[o.Code]++
	f.resumed += o.Resumes
	if o.Violation != "" {
		f.wrong = append(f.wrong, o.Violation)
	}
	p.count(o)
	p.measure(o, f.StallFloor)
}

func (f *Stats) pair(o Outcome) *pair {
	k := pairKey{o.Workspace, o.Class}
	if f.pairs[k] == nil {
		f.pairs[k] = newPair()
	}
	return f.pairs[k]
}

func (p *pair) count(o Outcome) {
	if o.Complete {
		p.whole++
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

func (p *pair) measure(o Outcome, floor time.Duration) {
	if o.Complete {
		record(p.total, o.Ended.Sub(o.Sent))
	}
	if len(o.Tokens) == 0 {
		return
	}
	p.tokens += len(o.Tokens)
	record(p.first, o.Tokens[0].Sub(o.Sent))
	stalled := time.Duration(0)
	for i := 1; i < len(o.Tokens); i++ {
		gap := o.Tokens[i].Sub(o.Tokens[i-1])
		record(p.between, gap)
		stalled += max(0, gap-floor)
	}
	record(p.stall, stalled)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest)) // in bounds: can't fail
}

// CountUnsent counts an arrival that the tool itself could not send; such a run says nothing about the system.
func (f *Stats) CountUnsent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsent++
}

// RecordDelay tells how far behind its plan a request was sent.
func (f *Stats) RecordDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLate = max(f.maxLate, d)
}

// Violations returns the broken promises.
func (f *Stats) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.wrong)
}

// Print writes one table a workspace and class, the codes, and last the line of totals.
func (f *Stats) Print(w io.Writer, seed uint64, span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := newPair()
	for _, k := range f.sorted() {
		p := f.pairs[k]
		p.print(w, k)
		all.merge(p)
	}
	for _, c := range f.sortedCodes() {
		fmt.Fprintf(w, "code=%d name=%s count=%d\n", c, codeName(c), f.codes[c])
	}
	for _, s := range f.wrong {
		fmt.Fprintf(w, "wrong: %s\n", s)
	}
	fmt.Fprintf(w, "load: seed=%d span_s=%.1f sent=%d whole=%d refused=%d failed=%d unknown=%d unsent=%d resumed=%d tokens=%d "+
		"ttft_p50_ms=%.1f ttft_p99_ms=%.1f between_p50_ms=%.1f between_p99_ms=%.1f stall_p99_ms=%.1f stall_max_ms=%.1f late_ms=%.1f wrong=%d\n",
		seed, span.Seconds(), all.sent, all.whole, all.refused, all.failed, all.unknown, f.unsent, f.resumed, all.tokens,
		at(all.first, 50), at(all.first, 99), at(all.between, 50), at(all.between, 99), at(all.stall, 99), at(all.stall, 100),
		float64(f.maxLate.Microseconds())/1000, len(f.wrong))
}

func codeName(c result.Code) string {
	if c == 0 {
		return "no_numbered_answer"
	}
	return result.Lookup(c).Name
}

func (f *Stats) sorted() []pairKey {
	keys := make([]pairKey, 0, len(f.pairs))
	for k := range f.pairs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b pairKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.class, b.class))
	})
	return keys
}

func (f *Stats) sortedCodes() []result.Code {
	codes := make([]result.Code, 0, len(f.codes))
	for c := range f.codes {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	return codes
}

func (p *pair) merge(q *pair) {
	p.sent += q.sent
	p.whole += q.whole
	p.refused += q.refused
	p.failed += q.failed
	p.unknown += q.unknown
	p.tokens += q.tokens
	p.first.Merge(q.first)
	p.between.Merge(q.between)
	p.stall.Merge(q.stall)
	p.total.Merge(q.total)
}

func (p *pair) print(w io.Writer, k pairKey) {
	fmt.Fprintf(w, "workspace=%s class=%s sent=%d whole=%d refused=%d failed=%d unknown=%d tokens=%d\n",
		k.workspace, k.class, p.sent, p.whole, p.refused, p.failed, p.unknown, p.tokens)
	row := func(name string, h *hdrhistogram.Histogram) {
		if h.TotalCount() == 0 {
			return
		}
		fmt.Fprintf(w, "  %-14s n=%-7d p50=%.1fms p90=%.1fms p99=%.1fms p999=%.1fms max=%.1fms\n",
			name, h.TotalCount(), at(h, 50), at(h, 90), at(h, 99), at(h, 99.9), at(h, 100))
	}
	row("first_token", p.first)
	row("between_tokens", p.between)
	row("stall", p.stall)
	row("whole_answer", p.total)
}

// at returns a percentile in milliseconds; 0 when nothing was recorded.
func at(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
