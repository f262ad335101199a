// Package poison finds requests that kill the engines that run them, by content and across instances, without
// blaming the innocent generations that ran beside them.
//
// An engine's death makes every content aboard a suspect. Suspects are kept apart, so that a second death names one
// of them: that one is poisoned and refused. A suspect that finishes is cleared. Instances exchange records; one death
// counts once, whoever tells of it.
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

// Config holds the rule's numbers.
type Config struct {
	Weight            float64       // blame that makes a content poisoned; a first death weighs 1
	NewestSuspects    int           // of an instance's contents on a dying engine, how many of the last started are strong suspects
	Window            time.Duration // a death older than this is forgotten
	RefusePeriod      time.Duration // how long a poisoned content is refused after its last death
	ExonerationPeriod time.Duration // a content that finished within it is not blamed
	SettleTime        time.Duration // how long peers may take to tell who else was aboard, before a content is refused
	MaxSize           int           // contents kept; over it the one touched longest ago is dropped
}

// DefaultConfig refuses after the second death within an hour, for 15 minutes.
var DefaultConfig = Config{
	Weight: 2, NewestSuspects: 2, Window: time.Hour, RefusePeriod: 15 * time.Minute, SettleTime: 300 * time.Millisecond,
	ExonerationPeriod: 10 * time.Minute, MaxSize: 4096,
}

// Verdict is what a Table thinks of a content.
type Verdict uint8

// Verdicts.
const (
	Clean    Verdict = iota
	Suspect          // place it on none of Avoid's targets
	Settling         // a second death was just seen: ask again after the wait, start nothing until then
	Poisoned         // refuse with result.Poisoned; the wait tells how long that holds
)

// String returns the name used in metrics and logs.
func (v Verdict) String() string { return [...]string{"clean", "suspect", "settling", "poisoned"}[v] }

// Table holds blame by content. It is safe for concurrent use.
type Table struct {
	cfg      Config
	mu       sync.Mutex
	contents map[uint64]*content
	deaths   map[uint64]*death
	running  map[string]map[uint64]uint64 // this instance's runs by target: fingerprint by start
	starts   uint64
	log      []logged
	seq      uint64
	news     chan struct{}
	vouchers vouchers
}

type content struct {
	deaths   map[uint64]struct{} // by death id
	finished map[uint64]struct{} // runs that finished, by id
	cleared  time.Time           // when the last of them did; deaths up to here don't count
	touched  time.Time
}

// death is one death of an engine, with the contents that were aboard.
type death struct {
	at     time.Time
	heard  time.Time // when the last content was added
	starts uint64    // runs of this instance with a higher start began after it
	aboard map[uint64]blame
}

type blame struct {
	level  Level // before this death
	newest bool
}

// Run is one run of a content on a target, from Started to one of Stopped, Finished and Lost.
type Run struct {
	target      string
	fingerprint uint64
	start       uint64 // order of starts at this instance
}

// vouchersFor is how many finished contents are remembered for each suspect; most requests finish.
const vouchersFor = 4

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, contents: make(map[uint64]*content), deaths: make(map[uint64]*death),
		running: make(map[string]map[uint64]uint64), news: make(chan struct{}, 1),
		vouchers: vouchers{period: cfg.ExonerationPeriod, max: vouchersFor * cfg.MaxSize},
	}
}

// Fingerprint names content: the workspace and the body without what changes between resends (keys, ids).
func Fingerprint(workspace string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// DeathID names one death of an engine, the same at each instance that saw it: the incarnation that died.
func DeathID(target string, incarnation uint64) uint64 { return hashID(target, incarnation) }

// finishID names one run that finished.
func finishID(now time.Time, r Run) uint64 {
	return hashID(r.target, r.fingerprint, r.start, uint64(now.UnixNano()))
}

func hashID(name string, words ...uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	var b [8]byte
	for _, w := range words {
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
	weight, last, heard := t.weigh(now, fingerprint, 0, c)
	refusedUntil := last.Add(t.cfg.RefusePeriod)
	settled := heard.Add(t.cfg.SettleTime)
	switch {
	case weight == 0:
		return Clean, 0
	case weight < t.cfg.Weight-rounding || !now.Before(refusedUntil):
		return Suspect, 0
	case now.Before(settled):
		return Settling, settled.Sub(now)
	}
	return Poisoned, refusedUntil.Sub(now)
}

// Started notes that a generation of this instance runs on target.
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

// Stopped notes that a run ended, for any reason but its target's death.
func (t *Table) Stopped(r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped(r)
}

func (t *Table) stopped(r Run) {
	delete(t.running[r.target], r.start)
	if len(t.running[r.target]) == 0 {
		delete(t.running, r.target)
	}
}

// Finished is Stopped for a generation that ran to its end, which clears a suspect.
func (t *Table) Finished(now time.Time, r Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped(r)
	t.vouchers.add(now, r.fingerprint)
	if t.level(now, r.fingerprint, 0) == LevelNone {
		return
	}
	t.finish(now, logged{fingerprint: r.fingerprint, death: finishID(now, r), at: now, level: LevelFinished})
}

// TargetDied is Stopped for a run whose target died under it; incarnation is the one that died, as far as it is known. The
// first run to tell blames all that are aboard and ends them; those that tell the same death later change nothing. It is
// not for a target that left in good order, nor for a link that broke.
//
// Failure: the news of one death come from each run that was aboard, some after the target has restarted. Were each to
// blame what runs there now, one death would count twice, against contents that were not aboard.
func (t *Table) TargetDied(now time.Time, r Run, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, aboard := t.running[r.target][r.start]; !aboard {
		return
	}
	t.sweep(now)
	last := t.lastStarts(r.target)
	delete(t.running, r.target)
	for i, f := range newestFirst(last) {
		id := t.deathOf(r.target, incarnation, last[f])
		t.record(now, logged{
			fingerprint: f, death: id, at: now, level: t.level(now, f, id), newest: i < t.cfg.NewestSuspects,
		})
	}
}

// lastStarts returns the start of the newest run of each content on target.
func (t *Table) lastStarts(target string) map[uint64]uint64 {
	last := make(map[uint64]uint64)
	for start, f := range t.running[target] {
		last[f] = max(last[f], start)
	}
	return last
}

func newestFirst(last map[uint64]uint64) []uint64 {
	return slices.SortedFunc(maps.Keys(last), func(a, b uint64) int { return cmp.Compare(last[b], last[a]) })
}

// restarts is added to an incarnation whose death is known when a run that began after it has died too: the target has
// restarted, and its new incarnation was not learnt in time.
const restarts = 1 << 48

// deathOf names the death that ended a run.
func (t *Table) deathOf(target string, incarnation, start uint64) uint64 {
	for {
		id := DeathID(target, incarnation)
		if d := t.deaths[id]; d == nil || start <= d.starts {
			return id
		}
		incarnation += restarts
	}
}

// record takes in that a content was aboard at a death, and logs it for peers unless it was known.
func (t *Table) record(now time.Time, l logged) {
	d := t.deaths[l.death]
	if d == nil {
		d = &death{at: l.at, starts: t.starts, aboard: make(map[uint64]blame)}
		t.deaths[l.death] = d
	}
	if t.vouchers.has(now, l.fingerprint) {
		l.level = LevelExonerated
	}
	old, known := d.aboard[l.fingerprint]
	merged := blame{level: max(old.level, l.level), newest: old.newest || l.newest}
	if known && merged == old {
		return
	}
	l.level, l.newest = merged.level, merged.newest
	d.aboard[l.fingerprint] = merged
	d.heard = now
	c := t.content(now, l.fingerprint)
	c.deaths[l.death] = struct{}{}
	t.append(now, l)
}

func (t *Table) content(now time.Time, fingerprint uint64) *content {
	c := t.contents[fingerprint]
	if c == nil {
		t.makeRoom()
		c = &content{deaths: make(map[uint64]struct{}), finished: make(map[uint64]struct{})}
		t.contents[fingerprint] = c
	}
	c.touched = now
	return c
}

// finish takes in that a run finished, and logs it for peers unless it was known.
func (t *Table) finish(now time.Time, l logged) {
	c := t.content(now, l.fingerprint)
	if _, known := c.finished[l.death]; known {
		return
	}
	c.finished[l.death] = struct{}{}
	if l.at.After(c.cleared) {
		c.cleared = l.at
	}
	t.append(now, l)
}

// sweep forgets what is older than the window.
func (t *Table) sweep(now time.Time) {
	for id, d := range t.deaths {
		if now.Sub(d.at) >= t.cfg.Window {
			delete(t.deaths, id)
		}
	}
	for f, c := range t.contents {
		if now.Sub(c.touched) >= t.cfg.Window {
			delete(t.contents, f)
		}
	}
}

// makeRoom drops the content that was touched longest ago when the table is full.
func (t *Table) makeRoom() {
	if len(t.contents) < t.cfg.MaxSize {
		return
	}
	var oldest uint64
	var at time.Time
	for f, c := range t.contents {
		if at.IsZero() || c.touched.Before(at) {
			oldest, at = f, c.touched
		}
	}
	delete(t.contents, oldest)
}
