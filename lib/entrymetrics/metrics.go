// Package entrymetrics holds an entry's metrics. Label values come from settings and from fixed sets only, and the
// number of workspace and class pairs is bounded, so that no caller can make the entry's memory grow.
package entrymetrics

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/result"
)

// maxPairs bounds the label pairs kept apart; further ones are counted under Other.
const maxPairs = 2048

// Other is the label value of pairs beyond the bound.
const Other = "other"

// Set is the metrics of one entry.
type Set struct {
	set *metrics.Set

	mu    sync.RWMutex
	pairs map[pairKey]*Pair
}

type pairKey struct{ workspace, class string }

// Pair is the metrics of one workspace and class. Durations are in seconds.
type Pair struct {
	FirstToken *metrics.Histogram // request accepted to first token
	InterToken *metrics.Histogram // between tokens, within and across attempts
	Stall      *metrics.Histogram // stall time of one generation, all stalls added up
	QueueWait  *metrics.Histogram // submit to grant
	Duration   *metrics.Histogram // request accepted to its end

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

// Pair returns the metrics of a workspace and class.
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
	if len(s.pairs) >= maxPairs {
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

// CountResult counts one ended request by its code.
func (p *Pair) CountResult(c result.Code) {
	name := fmt.Sprintf("anvilwick_results_total{%s,code=\"%d\",name=%q}", p.labels, c, result.Lookup(c).Name)
	p.set.GetOrCreateCounter(name).Inc()
}

// CountEarlyRefusal counts a request refused before its workspace was known.
func (s *Set) CountEarlyRefusal(c result.Code) {
	name := fmt.Sprintf("anvilwick_refused_early_total{code=\"%d\",name=%q}", c, result.Lookup(c).Name)
	s.set.GetOrCreateCounter(name).Inc()
}

// CountDroppedFrame counts a frame that the stream check dropped; verdict is one of stream.Verdict's names.
func (s *Set) CountDroppedFrame(verdict string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("anvilwick_frames_dropped_total{verdict=%q}", verdict)).Inc()
}

// CountAttempt counts an ended attempt; reason is one of a fixed set.
func (s *Set) CountAttempt(reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf("anvilwick_attempts_total{reason=%q}", reason)).Inc()
}

// Gauge registers a gauge that is read when metrics are written.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge("anvilwick_"+name, f)
}

// Write writes the metrics of s. Those of the process and of other packages are written once for every program by
// lib/opsapi: a scraper refuses a page that has a series twice.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }
