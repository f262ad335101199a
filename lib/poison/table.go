// Package poison detects requests that kill the engines that run them, by content and across instances, without blaming other
// generations that ran at the same time.
//
// When an engine dies, every content running on it becomes a suspect. Suspects are placed on separate engines, so that a second
// death singles out one of them: that content is poisoned and refused. A suspect that finishes is cleared. Instances exchange
// records; a death counts once, no matter how many instances report it.
//
// Table does so for whole contents, SegmentTable for segments of prompts, which many different requests may have in common.
package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the thresholds and periods of the detection.
type Config struct {
	Weight            float64       // blame that makes a content poisoned; a first death weighs 1
	NewestSuspects    int           // how many of an instance's most recently started contents on a dying engine are strong suspects
	Window            time.Duration // deaths older than this are ignored
	RefusePeriod      time.Duration // how long a poisoned content is refused after its last death
	ExonerationPeriod time.Duration // a content that finished within this period is not blamed
	SettleTime        time.Duration // how long peers may take to report what else was running, before a content is refused
	MaxSize           int           // contents kept; above it the least recently used one is evicted
}

// DefaultConfig refuses after the second death within an hour, for 15 minutes.
var DefaultConfig = Config{
	Weight: 2, NewestSuspects: 2, Window: time.Hour, RefusePeriod: 15 * time.Minute, SettleTime: 300 * time.Millisecond,
	ExonerationPeriod: 10 * time.Minute, MaxSize: 4096,
}

// Verdict is a Table's decision on a content.
type Verdict uint8

// The verdicts.
const (
	Clean    Verdict = iota
	Suspect          // do not place it on TargetsToAvoid
	Settling         // a second death was just seen: start nothing, and check again after the wait
	Poisoned         // refuse with result.Poisoned; the wait is how long the refusal lasts
)

// String returns the name used in metrics and logs.
func (v Verdict) String() string { return [...]string{"clean", "suspect", "settling", "poisoned"}[v] }

// Table keeps the blame per content. It is safe for concurrent use.
type Table struct {
	cfg              Config
	mu               sync.Mutex
	contents         map[uint64]*content
	deaths           map[uint64]*death
	running          map[string]map[uint64]uint64 // this instance's runs: fingerprint by target and start
	starts           uint64
	log              []logRecord
	seq              uint64
	updates          chan struct{}
	recentlyFinished finishedSet
}

type content struct {
	deaths    map[uint64]struct{} // death ids
	finished  map[uint64]struct{} // ids of finished runs
	clearedAt time.Time           // when the last run finished; deaths up to then do not count
	lastUsed  time.Time
}

// death is one death of an engine, with the contents that were running on it.
type death struct {
	at           time.Time
	lastReportAt time.Time // when the last content was added
	lastStart    uint64    // last start of this instance before the death; later runs were not affected
	running      map[uint64]blame
}

type blame struct {
	level  Level // before the death
	newest bool
}

// Run is one run of a content on a target, from Started to Stopped, Finished or TargetDied.
type Run struct {
	target      string
	fingerprint uint64
	start       uint64 // sequence number of the start at this instance
}

// finishedPerSuspect is how many finished contents are remembered per suspect kept. Most requests finish.
const finishedPerSuspect = 4

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, contents: make(map[uint64]*content), deaths: make(map[uint64]*death),
		running: make(map[string]map[uint64]uint64), updates: make(chan struct{}, 1),
		recentlyFinished: finishedSet{period: cfg.ExonerationPeriod, max: finishedPerSuspect * cfg.MaxSize},
	}
}

// Fingerprint identifies content: the workspace, and the body without what changes between resends (keys, ids).
func Fingerprint(workspace string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// DeathID identifies one death of an engine by the incarnation that died. It is the same at each instance that saw the death.
func DeathID(target string, incarnation uint64) uint64 { return hashID(target, incarnation) }

// finishID identifies one finished run.
func finishID(now time.Time, r Run) uint64 {
	return hashID(r.target, r.fingerprint, r.start, uint64(now.UnixNano()))
}

func hashID(name string, values ...uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	var b [8]byte
	for _, w := range values {
		binary.LittleEndian.PutUint64(b[:], w)
		_, _ = d.Write(b[:])
	}
	return max(1, d.Sum64())
}

// Check returns the verdict on a content, with a wait for Settling and Poisoned.
func (t *Table) Check(now time.Time, fingerprint uint64) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.contents[fingerprint]
	if c == nil {
		return Clean, 0
	}
	weight, lastDeath, lastReport := t.blameOf(now, fingerprint, 0, c)
	refusedUntil := lastDeath.Add(t.cfg.RefusePeriod)
	settled := lastReport.Add(t.cfg.SettleTime)
	switch {
	case weight == 0:
		return Clean, 0
	case weight < t.cfg.Weight-blameTolerance || !now.Before(refusedUntil):
		return Suspect, 0
	case now.Before(settled):
		return Settling, settled.Sub(now)
	}
	return Poisoned, refusedUntil.Sub(now)
}

// Started records that a generation of this instance runs on target.
func (t *Table) Started(target string, fingerprint uint64) Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.running[target]
	if m == nil {
		m = make(map[uint64]uint64)
		t.running[target] = m
	}
	t.starts++
	m[t.starts] = fingerprint
	return Run{target: target, fingerprint: fingerprint, start: t.starts}
}

// Stopped records that a run ended for any reason other than its target's death.
func (t *Table) Stopped(r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(r)
}

func (t *Table) removeRun(r Run) {
	delete(t.running[r.target], r.start)
	if len(t.running[r.target]) == 0 {
		delete(t.running, r.target)
	}
}

// Finished is Stopped for a generation that completed, which clears a suspect.
func (t *Table) Finished(now time.Time, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(r)
	t.recentlyFinished.add(now, r.fingerprint)
	if t.level(now, r.fingerprint, 0) == LevelNone {
		return
	}
	t.recordFinish(now, logRecord{fingerprint: r.fingerprint, death: finishID(now, r), at: now, level: LevelFinished})
}

// TargetDied is Stopped for a run whose target died; incarnation is the one that died, as far as known. The first run to report
// a death blames all contents running on the target and ends their runs; later reports of the same death change nothing. It must
// not be called for a target that stopped in an orderly way, or for a broken connection.
//
// Failure: each run on a target reports the same death, some after the target has restarted. If each report blamed the contents
// then running, one death would count twice, and against contents that were not running at the death.
func (t *Table) TargetDied(now time.Time, r Run, incarnation uint64) {
	t.targetDied(now, r, func(start uint64) uint64 { return t.deathIDOf(r.target, incarnation, start) })
}

// IncarnationDied is TargetDied for a death that may be one that is known: a run that started after that shows no restart of the target, which may only
// close connections.
func (t *Table) IncarnationDied(now time.Time, r Run, incarnation uint64) {
	t.targetDied(now, r, func(uint64) uint64 { return DeathID(r.target, incarnation) })
}

// targetDied records a death; idOf returns its id for a run that started as the given one of this instance.
func (t *Table) targetDied(now time.Time, r Run, idOf func(start uint64) uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, running := t.running[r.target][r.start]; !running {
		return
	}
	t.sweep(now)
	newest := t.newestStarts(r.target)
	delete(t.running, r.target)
	for i, f := range newestFirst(newest) {
		id := idOf(newest[f])
		t.recordDeath(now, logRecord{
			fingerprint: f, death: id, at: now, level: t.level(now, f, id), newest: i < t.cfg.NewestSuspects,
		})
	}
}

// newestStarts returns the start of the newest run of each content on target.
func (t *Table) newestStarts(target string) map[uint64]uint64 {
	newest := make(map[uint64]uint64)
	for start, f := range t.running[target] {
		newest[f] = max(newest[f], start)
	}
	return newest
}

func newestFirst(newest map[uint64]uint64) []uint64 {
	return slices.SortedFunc(maps.Keys(newest), func(a, b uint64) int { return cmp.Compare(newest[b], newest[a]) })
}

// restartOffset is added to an incarnation whose death is known when a run that started after that death has died too: the target has
// restarted, and its new incarnation was not learnt in time.
const restartOffset = 1 << 48

// deathIDOf returns the id of the death that ended a run.
func (t *Table) deathIDOf(target string, incarnation, start uint64) uint64 {
	for {
		id := DeathID(target, incarnation)
		if d := t.deaths[id]; d == nil || start <= d.lastStart {
			return id
		}
		incarnation += restartOffset
	}
}

// recordDeath adds a content to a death, and logs it for peers unless it was known.
func (t *Table) recordDeath(now time.Time, l logRecord) {
	d := t.deaths[l.death]
	if d == nil {
		d = &death{at: l.at, lastStart: t.starts, running: make(map[uint64]blame)}
		t.deaths[l.death] = d
	}
	if t.recentlyFinished.has(now, l.fingerprint) {
		l.level = LevelExonerated
	}
	old, known := d.running[l.fingerprint]
	merged := blame{level: max(old.level, l.level), newest: old.newest || l.newest}
	if known && merged == old {
		return
	}
	l.level, l.newest = merged.level, merged.newest
	d.running[l.fingerprint] = merged
	d.lastReportAt = now
	c := t.content(now, l.fingerprint)
	c.deaths[l.death] = struct{}{}
	t.appendLog(now, l)
}

func (t *Table) content(now time.Time, fingerprint uint64) *content {
	c := t.contents[fingerprint]
	if c == nil {
		t.evictOldest()
		c = &content{deaths: make(map[uint64]struct{}), finished: make(map[uint64]struct{})}
		t.contents[fingerprint] = c
	}
	c.lastUsed = now
	return c
}

// recordFinish records that a run finished, and logs it for peers unless it was known.
func (t *Table) recordFinish(now time.Time, l logRecord) {
	c := t.content(now, l.fingerprint)
	if _, known := c.finished[l.death]; known {
		return
	}
	c.finished[l.death] = struct{}{}
	if l.at.After(c.clearedAt) {
		c.clearedAt = l.at
	}
	t.appendLog(now, l)
}

// sweep removes deaths and contents older than the window.
func (t *Table) sweep(now time.Time) {
	for id, d := range t.deaths {
		if now.Sub(d.at) >= t.cfg.Window {
			delete(t.deaths, id)
		}
	}
	for f, c := range t.contents {
		if now.Sub(c.lastUsed) >= t.cfg.Window {
			delete(t.contents, f)
		}
	}
}

// evictOldest evicts the least recently used content when the table is full.
func (t *Table) evictOldest() {
	if len(t.contents) < t.cfg.MaxSize {
		return
	}
	var oldest uint64
	var at time.Time
	for f, c := range t.contents {
		if at.IsZero() || c.lastUsed.Before(at) {
			oldest, at = f, c.lastUsed
		}
	}
	delete(t.contents, oldest)
}
