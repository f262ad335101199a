package stall

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Config holds the thresholds of a Monitor.
type Config struct {
	Quantile   float64       // of the gaps between tokens
	Factor     float64       // timeout = Factor x that quantile
	Floor      time.Duration // shortest timeout
	Cap        time.Duration // longest timeout
	Cold       time.Duration // timeout of a target with fewer than MinSamples gaps
	MinSamples float64
	FirstToken time.Duration // timeout before the first token, when prefill and a stall look alike
	HalfLife   time.Duration // of a gap's weight
	// A link is frozen when at least LinkStreams of its streams, and at least the share LinkShare of them, are silent.
	LinkStreams int
	LinkShare   float64
}

// DefaultConfig suits engines with 10 to 100 ms between tokens.
var DefaultConfig = Config{
	Quantile: 0.999, Factor: 4, Floor: 500 * time.Millisecond, Cap: 10 * time.Second, Cold: 5 * time.Second,
	MinSamples: 50, FirstToken: 30 * time.Second, HalfLife: 2 * time.Minute, LinkStreams: 3, LinkShare: 0.8,
}

// Kind is the scope of a Stall.
type Kind uint8

// Kinds.
const (
	Generation Kind = iota + 1 // only this stream stopped
	Link                       // nearly all streams of the link stopped together
)

// String returns the name used in metrics and logs.
func (k Kind) String() string { return [...]string{"", "generation", "link"}[k] }

// Stall is a stream without progress for longer than its target's timeout.
type Stall struct {
	Stream uint64
	Target string
	Kind   Kind
	Silent time.Duration
}

// Monitor detects stalls among the streams of one entry. It is safe for concurrent use.
type Monitor struct {
	cfg     Config
	mu      sync.Mutex
	gaps    map[string]*histogram
	streams map[uint64]*stream
	links   map[string]*linkCount
}

type stream struct {
	target    string
	lastToken time.Time
	started   bool // has produced a token
	reported  bool
}

type linkCount struct{ streams, silent int }

// New returns a Monitor without streams.
func New(cfg Config) *Monitor {
	return &Monitor{
		cfg: cfg, gaps: make(map[string]*histogram),
		streams: make(map[uint64]*stream), links: make(map[string]*linkCount),
	}
}

// Start begins monitoring a stream. The id is unique within the entry.
func (m *Monitor) Start(now time.Time, id uint64, target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams[id] = &stream{target: target, lastToken: now}
}

// Token records progress. The time to the first token does not count as a gap, because it includes queueing and prefill.
func (m *Monitor) Token(now time.Time, id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.streams[id]
	if s == nil {
		return
	}
	if s.started {
		m.observe(now, s.target, now.Sub(s.lastToken))
	}
	s.started = true
	s.reported = false
	s.lastToken = now
}

// Excuse leaves a time that ends now out of the silence of all streams, because the process stood still for it and read nothing.
func (m *Monitor) Excuse(now time.Time, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.streams {
		s.lastToken = Later(s.lastToken, d, now)
	}
}

// Later returns a time d after t, or now if that is earlier.
func Later(t time.Time, d time.Duration, now time.Time) time.Time {
	if t = t.Add(d); t.After(now) {
		return now
	}
	return t
}

// End stops monitoring a stream.
func (m *Monitor) End(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.streams, id)
}

// Forget drops the gaps observed on target.
func (m *Monitor) Forget(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.gaps, target)
}

// Timeout returns how long a started stream on target may stay silent.
func (m *Monitor) Timeout(target string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.timeout(target)
}

func (m *Monitor) timeout(target string) time.Duration {
	h := m.gaps[target]
	if h == nil || h.total < m.cfg.MinSamples {
		return m.cfg.Cold
	}
	d := time.Duration(m.cfg.Factor * float64(h.quantile(m.cfg.Quantile)))
	return min(max(d, m.cfg.Floor), m.cfg.Cap)
}

// observe adds a gap. Gaps are clipped at Cap.
//
// Failure: an engine that froze repeatedly fed its own stalls into the histogram, and the timeout grew until no stall was
// detected. Clipping bounds the influence of one gap, and Cap bounds the timeout.
func (m *Monitor) observe(now time.Time, target string, gap time.Duration) {
	h := m.gaps[target]
	if h == nil {
		h = &histogram{}
		m.gaps[target] = h
	}
	h.decay(now, m.cfg.HalfLife)
	h.add(min(gap, m.cfg.Cap))
}

// Check appends each newly stalled stream to dst and returns it. Each silence is reported once: as Generation, or as Link when
// the whole link is silent. For Link the entry should leave the link instead of fencing the streams one by one as if the
// generations were at fault.
func (m *Monitor) Check(now time.Time, dst []Stall) []Stall {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.links)
	from := len(dst)
	for id, s := range m.streams {
		silent := now.Sub(s.lastToken)
		limit := m.limit(s)
		m.countLink(s, silent > limit/2)
		if silent > limit && !s.reported {
			s.reported = true
			dst = append(dst, Stall{Stream: id, Target: s.target, Kind: Generation, Silent: silent})
		}
	}
	slices.SortFunc(dst[from:], func(a, b Stall) int { return cmp.Compare(a.Stream, b.Stream) })
	for i := from; i < len(dst); i++ {
		if m.linkFrozen(dst[i].Target) {
			dst[i].Kind = Link
		}
	}
	return dst
}

func (m *Monitor) limit(s *stream) time.Duration {
	if !s.started {
		return m.cfg.FirstToken
	}
	return m.timeout(s.target)
}

// countLink counts a stream towards its link. Neighbours count as silent from half their timeout on: the streams of a frozen
// link produced their last tokens some milliseconds apart, and the first to time out would otherwise look like the only one.
// A stream in prefill is expected to be silent, so it is not evidence about its link until half of FirstToken has passed.
func (m *Monitor) countLink(s *stream, silent bool) {
	if !s.started && !silent {
		return
	}
	l := m.links[s.target]
	if l == nil {
		l = &linkCount{}
		m.links[s.target] = l
	}
	l.streams++
	if silent {
		l.silent++
	}
}

func (m *Monitor) linkFrozen(target string) bool {
	l := m.links[target]
	return l.silent >= m.cfg.LinkStreams && float64(l.silent) >= m.cfg.LinkShare*float64(l.streams)
}
