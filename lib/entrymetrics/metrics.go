// Package entrymetrics holds an entry's metrics. Label values come only from the settings and fixed sets, and the number of
// workspace and class pairs is bounded, so that no caller can grow the entry's memory.
package entrymetrics

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/result"
)

// maxLabelPairs bounds the number of label pairs; further pairs are counted under Other.
const maxLabelPairs = 2048

// Other is the label value for pairs beyond the bound.
const Other = "other"

// Set holds the metrics of one entry.
type Set struct {
	set *metrics.Set

	mu    sync.RWMutex
	pairs map[pairKey]*Pair
}

type pairKey struct{ workspace, class string }

// Pair holds the metrics of one workspace and class. Durations are in seconds.
type Pair struct {
	FirstToken *metrics.Histogram // request accepted to first token
	InterToken *metrics.Histogram // time between tokens, within and across attempts
	Stall      *metrics.Histogram // total stall time of one generation
	QueueWait  *metrics.Histogram // submit to grant
	Duration   *metrics.Histogram // request accepted to request ended

	Tokens      *metrics.Counter
	Preemptions *metrics.Counter
	Retries     *metrics.Counter

	set    *metrics.Set
	labels string
}

// New returns an empty Set.
func New() *Set {
	return &Set{set: metrics.NewSet(), pairs: make(map[pairKey]*Pair)}
}

// Pair returns the metrics of a workspace and class, or those of Other if the bound is reached.
func (s *Set) Pair(workspace, class string) *Pair {
	k := pairKey{workspace, class}
	s.mu.RLock()
	p, ok := s.pairs[k]
	s.mu.RUnlock()
	if ok {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pairs) >= maxLabelPairs {
		k = pairKey{Other, Other}
	}
	if p, ok := s.pairs[k]; ok {
		return p
	}
	p = s.newPair(k)
	s.pairs[k] = p
	return p
}

func (s *Set) newPair(k pairKey) *Pair {
	labels := fmt.Sprintf("workspace=%q,class=%q", k.workspace, k.class)
	histogram := func(name string) *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf("anvilwick_%s{%s}", name, labels))
	}
	counter := func(name string) *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf("anvilwick_%s{%s}", name, labels))
	}
	return &Pair{
		FirstToken:  histogram("first_token_seconds"),
		InterToken:  histogram("inter_token_seconds"),
		Stall:       histogram("stall_seconds"),
		QueueWait:   histogram("queue_wait_seconds"),
		Duration:    histogram("request_seconds"),
		Tokens:      counter("tokens_total"),
		Preemptions: counter("preemptions_total"),
		Retries:     counter("retries_total"),
		set:         s.set,
		labels:      labels,
	}
}

// CountResult counts a finished request by its result code.
func (p *Pair) CountResult(c result.Code) {
	name := fmt.Sprintf("anvilwick_results_total{%s,code=\"%d\",name=%q}", p.labels, c, result.Lookup(c).Name)
	p.set.GetOrCreateCounter(name).Inc()
}

// CountEarlyRefusal counts a request refused before its workspace was known.
func (s *Set) CountEarlyRefusal(c result.Code) {
	name := fmt.Sprintf("anvilwick_refused_early_total{code=\"%d\",name=%q}", c, result.Lookup(c).Name)
	s.set.GetOrCreateCounter(name).Inc()
}

// CountDroppedFrame counts a frame dropped by the stream check; verdict is the name of a stream.Verdict.
func (s *Set) CountDroppedFrame(verdict string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("anvilwick_frames_dropped_total{verdict=%q}", verdict)).Inc()
}

// CountAttempt counts a finished attempt; reason must be from a fixed set.
func (s *Set) CountAttempt(reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("anvilwick_attempts_total{reason=%q}", reason)).Inc()
}

// Gauge registers a gauge whose value f returns at each scrape.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge("anvilwick_"+name, f)
}

// Write writes the metrics of s. Process metrics and those of other packages are written by lib/opsapi, once for each
// program: a scraper rejects a page with duplicate series.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }
