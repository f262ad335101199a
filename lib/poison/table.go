// Package poison finds requests that kill the engines that run them, by content and across instances, without
// blaming the innocent generations that ran beside them.
//
// An engine's death makes every content aboard a suspect. Suspects are kept apart, so that a second death names one
// of them: that one is poisoned and refused. A suspect that finishes is cleared. Instances exchange records; one death
// counts once, whoever tells of it.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the rule's numbers.
type Config struct {
	Weight  float64       // blame that makes a content poisoned; a first death weighs 1
	Newest  int           // of an instance's contents on a dying engine, how many of the last started are strong suspects
	Window  time.Duration // a death older than this is forgotten
	Refuse  time.Duration // how long a poisoned content is refused after its last death
	Settle  time.Duration // how long peers may take to tell who else was aboard, before a content is refused
	MaxSize int           // contents kept; over it the one touched longest ago is dropped
}

// DefaultConfig refuses after the second death within an hour, for 15 minutes.
var DefaultConfig = Config{
	Weight: 2, Newest: 2, Window: time.Hour, Refuse: 15 * time.Minute, Settle: 300 * time.Millisecond, MaxSize: 4096,
}

// Level is how strongly a content was suspected before a death.
type Level uint8

// Levels.
const (
	LevelNone   Level = iota
	LevelWeak         // was aboard, among many, when an engine died
	LevelStrong       // had only just started when an engine died, or was aboard more than once
)

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
	running  map[string]map[uint64]*run // by target and fingerprint: this instance's generations
	starts   uint64
	log      []logged
	seq      uint64
}

type content struct {
	deaths  map[uint64]struct{} // by death id
	cleared time.Time           // deaths up to here don't count
	touched time.Time
}

// death is one death of an engine, with the contents that were aboard.
type death struct {
	at     time.Time
	heard  time.Time // when the last content was added
	aboard map[uint64]blame
}

type blame struct {
	level  Level // before this death
	newest bool
}

type run struct {
	count int
	start uint64 // order of the last start
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, contents: make(map[uint64]*content), deaths: make(map[uint64]*death),
		running: make(map[string]map[uint64]*run),
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
func DeathID(target string, incarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	var b [8]byte
	for i := range b {
		b[i] = byte(incarnation >> (8 * i))
	}
	_, _ = d.Write(b[:])
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
	weight, last, heard := t.weigh(now, fingerprint, c)
	refusedUntil := last.Add(t.cfg.Refuse)
	settled := heard.Add(t.cfg.Settle)
	switch {
	case weight == 0:
		return Clean, 0
	case weight < t.cfg.Weight || !now.Before(refusedUntil):
		return Suspect, 0
	case now.Before(settled):
		return Settling, settled.Sub(now)
	}
	return Poisoned, refusedUntil.Sub(now)
}

// weigh sums the blame of a content that still counts, and tells when its last death was and when last heard of.
func (t *Table) weigh(now time.Time, fingerprint uint64, c *content) (weight float64, last, heard time.Time) {
	for id := range c.deaths {
		d := t.deaths[id]
		if d == nil || !d.at.After(c.cleared) || now.Sub(d.at) >= t.cfg.Window {
			continue
		}
		weight += d.share(fingerprint)
		if d.at.After(last) {
			last = d.at
		}
		if d.heard.After(heard) {
			heard = d.heard
		}
	}
	return weight, last, heard
}

// share is the part of a death that is laid at one content. Those that were suspected most before it share one death
// between them; the others aboard are innocent by all likelihood. When none was suspected, each gets a whole one.
func (d *death) share(fingerprint uint64) float64 {
	top, n := LevelNone, 0
	for _, b := range d.aboard {
		switch {
		case b.level > top:
			top, n = b.level, 1
		case b.level == top:
			n++
		}
	}
	switch {
	case d.aboard[fingerprint].level < top:
		return 0
	case top == LevelNone:
		return 1
	}
	return 1 / float64(n)
}

// level is how strongly a content is suspected now.
func (t *Table) level(now time.Time, fingerprint uint64) Level {
	c := t.contents[fingerprint]
	if c == nil {
		return LevelNone
	}
	weight, _, _ := t.weigh(now, fingerprint, c)
	if weight == 0 {
		return LevelNone
	}
	if weight > 1 {
		return LevelStrong
	}
	for id := range c.deaths {
		d := t.deaths[id]
		if d != nil && d.at.After(c.cleared) && d.aboard[fingerprint].newest {
			return LevelStrong
		}
	}
	return LevelWeak
}

// Started notes that a generation of this instance runs on target.
func (t *Table) Started(target string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.running[target]
	if m == nil {
		m = make(map[uint64]*run)
		t.running[target] = m
	}
	r := m[fingerprint]
	if r == nil {
		r = &run{}
		m[fingerprint] = r
	}
	t.starts++
	r.count++
	r.start = t.starts
}

// Stopped notes that it no longer runs there, for any reason but the target's death.
func (t *Table) Stopped(target string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped(target, fingerprint)
}

func (t *Table) stopped(target string, fingerprint uint64) {
	r := t.running[target][fingerprint]
	if r == nil {
		return
	}
	r.count--
	if r.count > 0 {
		return
	}
	delete(t.running[target], fingerprint)
	if len(t.running[target]) == 0 {
		delete(t.running, target)
	}
}

// Finished is Stopped for a generation that ran to its end, which clears a suspect.
func (t *Table) Finished(now time.Time, target string, fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped(target, fingerprint)
	if t.level(now, fingerprint) == LevelNone {
		return
	}
	t.clear(now, fingerprint, now)
	t.append(now, logged{fingerprint: fingerprint, at: now})
}

// Died notes that target died, and with it all generations of this instance on it. Tell it once for each incarnation,
// and neither for a target that left in good order nor for a link that broke.
func (t *Table) Died(now time.Time, target string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	id := DeathID(target, incarnation)
	aboard := t.aboard(now, target)
	delete(t.running, target)
	for _, l := range aboard {
		l.death, l.at = id, now
		t.record(now, l)
	}
}

// aboard lists this instance's contents on target, the last started first.
func (t *Table) aboard(now time.Time, target string) []logged {
	runs := t.running[target]
	list := make([]logged, 0, len(runs))
	for f := range runs {
		list = append(list, logged{fingerprint: f, level: t.level(now, f)})
	}
	slices.SortFunc(list, func(a, b logged) int {
		return cmp.Compare(runs[b.fingerprint].start, runs[a.fingerprint].start)
	})
	for i := range list {
		list[i].newest = i < t.cfg.Newest
	}
	return list
}

// record takes in that a content was aboard at a death, and logs it for peers unless it was known.
func (t *Table) record(now time.Time, l logged) {
	d := t.deaths[l.death]
	if d == nil {
		d = &death{at: l.at, aboard: make(map[uint64]blame)}
		t.deaths[l.death] = d
	}
	old, known := d.aboard[l.fingerprint]
	merged := blame{level: max(old.level, l.level), newest: old.newest || l.newest}
	if known && merged == old {
		return
	}
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
		c = &content{deaths: make(map[uint64]struct{})}
		t.contents[fingerprint] = c
	}
	c.touched = now
	return c
}

func (t *Table) clear(now time.Time, fingerprint uint64, at time.Time) {
	c := t.content(now, fingerprint)
	if at.After(c.cleared) {
		c.cleared = at
	}
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
