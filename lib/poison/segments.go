package poison

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Cause is a prompt segment at one model of a service: something that many different requests have in common and that may crash each engine
// that begins one of them.
type Cause struct {
	Service, Model string
	Segment        uint64
}

// SegmentConfig holds the thresholds and periods of a SegmentTable.
type SegmentConfig struct {
	NewDeaths       int           // deaths that convict segments of which no run has survived within Window
	KnownDeaths     int           // deaths since its last survival that convict any other segment
	KnownContrast   int           // runs without such a segment that must have survived since
	MinAddresses    int           // addresses at which engines died; one engine may be defective
	BurstSpan       time.Duration // deaths within this time may have one cause that is no request, such as a rack's power
	MaxBurstDeaths  int           // how many deaths of a burst count
	SurvivalTime    time.Duration // a run that has produced output for this long has survived
	SettleTime      time.Duration // how long peers may take to report on a death
	Window          time.Duration // deaths and survivals older than this are ignored
	MaxDeaths       int           // deaths kept; the oldest is evicted
	MaxSurvivals    int           // segments kept that have survived lately
	MaxVerdicts     int           // verdicts kept; further ones are not reached
	MaxDeathRecords int           // segments of one death that an instance reports
}

// DefaultSegmentConfig convicts a segment by its third death if no run with it has ever survived.
var DefaultSegmentConfig = SegmentConfig{
	NewDeaths: 3, KnownDeaths: 5, KnownContrast: 3, MinAddresses: 2, BurstSpan: 100 * time.Millisecond, MaxBurstDeaths: 2,
	SurvivalTime: 2 * time.Second, SettleTime: 300 * time.Millisecond, Window: 30 * time.Minute,
	MaxDeaths: 256, MaxSurvivals: 4096, MaxVerdicts: 64, MaxDeathRecords: 32,
}

// SegmentTable finds segments of prompts that crash the engines that run them, across instances.
//
// Requests that share such a segment may differ in all else, so blame is kept by segment. A segment is innocent as soon as a run with it has
// survived; among the others, those are convicted that explain the most deaths. It is safe for concurrent use.
type SegmentTable struct {
	cfg     SegmentConfig
	mu      sync.Mutex
	deaths  map[uint64]*segmentDeath
	oldest  []uint64      // ids of deaths in the order of their arrival
	blamed  map[Cause]int // number of deaths with the segment
	known   survivals
	recent  map[serviceModel]*outcomes // runs that survived
	failed  map[serviceModel]*outcomes // runs that a death ended
	runs    map[*SegmentRun]struct{}
	refused []*Conviction
	reached []*Conviction // by the judgement that is going on
	trials  map[Cause]*trial
	settled time.Time // when the last report has settled; zero: nothing to judge
	id      uint64    // of this table, among its peers
	outbox  outbox
	changes chan SegmentChange
	pending chan struct{} // a report waits to be judged
}

type serviceModel struct{ service, model string }

// segmentDeath is one death of an engine, with the segments of the runs that it may have been due to.
type segmentDeath struct {
	at       time.Time
	reported time.Time // when the last segment was added
	address  uint64
	suspects map[Cause]*suspect
	runs     map[uint64]int // by reporting instance: how many of its runs, none of which had survived, were on the engine
}

// suspect is what speaks for and against a segment as the cause of a death.
type suspect struct {
	runs     int                 // with it
	begun    bool                // the response of a run with it had begun
	age      time.Duration       // of the oldest run with it, from its start
	controls map[uint64]Controls // by reporting instance
}

// NewSegmentTable returns an empty SegmentTable.
func NewSegmentTable(cfg SegmentConfig) *SegmentTable {
	return &SegmentTable{
		cfg: cfg, deaths: make(map[uint64]*segmentDeath), blamed: make(map[Cause]int), known: newSurvivals(cfg.Window, cfg.MaxSurvivals),
		id: rand.Uint64(), trials: make(map[Cause]*trial),
		recent: make(map[serviceModel]*outcomes), failed: make(map[serviceModel]*outcomes), runs: make(map[*SegmentRun]struct{}), outbox: newOutbox(),
		changes: make(chan SegmentChange, cfg.MaxVerdicts), pending: make(chan struct{}, 1),
	}
}

// SegmentRun is one run on an engine, from Begin to End.
type SegmentRun struct {
	table  *SegmentTable
	causes []Cause
	began  time.Time

	survived bool      // guarded by table.mu
	ended    time.Time // guarded by table.mu; zero: the run has not ended

	mu     sync.Mutex
	cancel func() // nil: the run has ended
}

// Begin records that a run is sent to an engine. cancel is called once if its segments are convicted before it has survived.
func (t *SegmentTable) Begin(now time.Time, service, model string, segments []uint64, cancel func()) *SegmentRun {
	r := &SegmentRun{table: t, cancel: cancel, began: now, causes: make([]Cause, len(segments))}
	for i, s := range segments {
		r.causes[i] = Cause{Service: service, Model: model, Segment: s}
	}
	if len(segments) == 0 {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r] = struct{}{}
	t.reportTrial(now, r)
	return r
}

// Survive records that the engine has outlived the start of the run, or has completed it.
func (r *SegmentRun) Survive(now time.Time) {
	if len(r.causes) == 0 {
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.survived {
		return
	}
	r.survived = true
	t.recordOutcome(outcome{at: now, causes: r.causes})
	for _, c := range r.causes {
		t.known.add(now, c)
		if t.suspected(c) {
			t.outbox.offerSurvival(c, now)
		}
	}
	t.acquit(now)
}

// SurviveAfter calls Survive if the run has produced output for long enough.
func (r *SegmentRun) SurviveAfter(now, firstOutput time.Time) {
	if now.Sub(firstOutput) >= r.table.cfg.SurvivalTime {
		r.Survive(now)
	}
}

// End ends the run without a verdict on it. It is not cancelled any more.
func (r *SegmentRun) End(now time.Time) {
	if len(r.causes) == 0 {
		return
	}
	r.table.mu.Lock()
	delete(r.table.runs, r)
	r.ended = now
	r.table.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = nil
}

func (r *SegmentRun) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// Death describes the death of an engine under a run.
type Death struct {
	ID      uint64 // the same at each instance that sees the death
	Address uint64 // of the engine
	Begun   bool   // the engine had begun to answer the run
}

// EngineDied records that the engine died while it had the run. It may be called after End.
func (r *SegmentRun) EngineDied(now time.Time, d Death) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.survived || len(r.causes) == 0 {
		return
	}
	delete(t.runs, r)
	t.recordOutcome(outcome{at: now, causes: r.causes, death: d.ID})
	rec := SegmentRecord{Kind: RecordDeath, Service: r.causes[0].Service, Model: r.causes[0].Model, Death: d, At: now, Reporter: t.id, Runs: 1}
	if !r.ended.IsZero() {
		rec.RunAge = r.ended.Sub(r.began)
	}
	if known := t.deaths[d.ID]; known != nil {
		rec.Runs += known.runs[t.id]
	}
	for _, c := range r.causes[:min(len(r.causes), t.cfg.MaxDeathRecords)] {
		rec.Segments = append(rec.Segments, c.Segment)
	}
	if t.recordDeath(now, rec) {
		// Peers know a death before its controls.
		t.outbox.add(rec)
		t.compare(now, t.deaths[d.ID], rec)
	}
}

// recordDeath adds the segments of a record to its death and reports whether that is new.
func (t *SegmentTable) recordDeath(now time.Time, rec SegmentRecord) bool {
	if now.Sub(rec.At) >= t.cfg.Window {
		return false
	}
	d := t.deaths[rec.Death.ID]
	if d == nil {
		t.evictDeaths(now)
		d = &segmentDeath{at: rec.At, address: rec.Death.Address, suspects: make(map[Cause]*suspect), runs: make(map[uint64]int)}
		t.deaths[rec.Death.ID] = d
		t.oldest = append(t.oldest, rec.Death.ID)
	}
	changed := rec.Runs > d.runs[rec.Reporter]
	d.runs[rec.Reporter] = max(d.runs[rec.Reporter], rec.Runs)
	for _, s := range rec.Segments {
		c := Cause{Service: rec.Service, Model: rec.Model, Segment: s}
		known := d.suspects[c]
		if known == nil {
			t.blamed[c]++
			t.extendTrial(now, c)
			known = &suspect{controls: make(map[uint64]Controls)}
			d.suspects[c] = known
			changed = true
		}
		if changed {
			known.observe(rec)
		}
		// Whoever has seen the segment survive says so before the death is judged, although that was said before: an instance that has started
		// since has not heard it.
		if at := t.known.last(now, c); changed && !at.IsZero() {
			delete(t.outbox.reported, c)
			t.outbox.offerSurvival(c, at)
		}
	}
	if changed {
		d.reported = now
		t.settled = now.Add(t.cfg.SettleTime)
		select {
		case t.pending <- struct{}{}:
		default:
		}
	}
	return changed
}

// evictDeaths removes deaths older than the window, and the oldest one when the table is full.
func (t *SegmentTable) evictDeaths(now time.Time) {
	for len(t.oldest) > 0 && (len(t.oldest) >= t.cfg.MaxDeaths || now.Sub(t.deaths[t.oldest[0]].reported) >= t.cfg.Window) {
		for c := range t.deaths[t.oldest[0]].suspects {
			if t.blamed[c]--; t.blamed[c] <= 0 {
				delete(t.blamed, c)
			}
		}
		delete(t.deaths, t.oldest[0])
		t.oldest = slices.Delete(t.oldest, 0, 1)
	}
}

// suspected reports whether a segment is part of any death or verdict.
func (t *SegmentTable) suspected(c Cause) bool {
	return t.blamed[c] > 0 || slices.ContainsFunc(t.refused, func(v *Conviction) bool { return v.contains(c) })
}

// Judge convicts the segments that explain the deaths reported. It returns when to call it again; zero: after the next report.
func (t *SegmentTable) Judge(now time.Time) (again time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settled.IsZero() {
		return time.Time{}
	}
	if now.Before(t.settled) && !t.anySettled(now) {
		return t.settled
	}
	for _, v := range t.judge(now) {
		t.convict(v)
	}
	if now.Before(t.settled) {
		return t.settled
	}
	t.settled = time.Time{}
	return time.Time{}
}

// anySettled reports whether some death has settled: under a steady rate of deaths there may never be a moment at which all have.
func (t *SegmentTable) anySettled(now time.Time) bool {
	for _, d := range t.deaths {
		if now.Sub(d.reported) >= t.cfg.SettleTime {
			return true
		}
	}
	return false
}

// SegmentVerdict is the verdict on a request. Without Refused, its other fields are zero.
type SegmentVerdict struct {
	Refused    bool
	ProbeDue   bool // one request of all may find out whether the verdict still holds
	Conviction Conviction
}

// Check returns the verdict on a request.
func (t *SegmentTable) Check(now time.Time, service, model string, segments []uint64) SegmentVerdict {
	if len(segments) == 0 {
		return SegmentVerdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.refused {
		if v.matches(service, model, segments) {
			return SegmentVerdict{Refused: true, ProbeDue: !v.Fixed && !now.Before(v.ProbeAt), Conviction: *v}
		}
	}
	return SegmentVerdict{}
}

// Source is where a conviction comes from.
type Source uint8

// The sources.
const (
	SourceOwn   Source = iota // this instance's judgement
	SourcePeer                // another instance's
	SourceStore               // a row of the store
)

// String returns the name used in logs.
func (s Source) String() string { return [...]string{"own", "peer", "store"}[s] }

// SegmentChange is a conviction that came into force or ended.
type SegmentChange struct {
	Conviction Conviction
	Source     Source
	Ended      bool
}

// Changes receives each change. Changes that nobody reads are dropped; they are in force all the same.
func (t *SegmentTable) Changes() <-chan SegmentChange { return t.changes }

func (t *SegmentTable) announce(c SegmentChange) {
	select {
	case t.changes <- c:
	default:
	}
}
