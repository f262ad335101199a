package poison

import (
	"slices"
	"time"
)

// Record is what instances tell each other: a content was aboard when an engine died, or a content finished. Age is
// relative, so that clocks need not agree. Merging a Record twice, or from two tellers, changes nothing.
type Record struct {
	Fingerprint uint64
	Death       uint64 // of the engine; with LevelFinished, names the run that finished
	Level       Level  // how strongly it was suspected before
	Newest      bool   // it had just started
	Age         time.Duration
}

type logged struct {
	seq         uint64
	fingerprint uint64
	death       uint64
	at          time.Time
	level       Level
	newest      bool
}

// maxLog bounds what a new peer is told. Older records are lost to it, which costs one more death at worst.
const maxLog = 1024

func (t *Table) append(now time.Time, l logged) {
	t.seq++
	l.seq = t.seq
	t.log = append(t.log, l)
	old := 0
	for old < len(t.log) && (len(t.log)-old > maxLog || now.Sub(t.log[old].at) >= t.cfg.Window) {
		old++
	}
	t.log = slices.Delete(t.log, 0, old)
	select {
	case t.news <- struct{}{}:
	default:
	}
}

// Updates has a value when there is something new to tell peers. They should hear of it within Config.Settle.
func (t *Table) Updates() <-chan struct{} { return t.news }

// Since returns the records after seq, and the seq to ask with next time. Start from 0 for a peer that is new or has
// restarted. What was merged is in it too, so that news crosses between instances that have no link.
func (t *Table) Since(now time.Time, seq uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recs []Record
	for _, l := range t.log {
		if l.seq > seq {
			recs = append(recs, l.record(now))
		}
	}
	return recs, t.seq
}

func (l logged) record(now time.Time) Record {
	return Record{Fingerprint: l.fingerprint, Death: l.death, Level: l.level, Newest: l.newest, Age: now.Sub(l.at)}
}

// Merge takes in records of a peer.
func (t *Table) Merge(now time.Time, recs []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, r := range recs {
		t.merge(now, r)
	}
}

func (t *Table) merge(now time.Time, r Record) {
	if r.Age >= t.cfg.Window || r.Level > LevelFinished {
		return
	}
	l := logged{
		fingerprint: r.Fingerprint, death: r.Death, level: r.Level, newest: r.Newest, at: now.Add(-max(0, r.Age)),
	}
	if r.Level == LevelFinished {
		t.finish(now, l)
		return
	}
	t.record(now, l)
}

// TargetsToAvoid lists the targets on which this instance runs another suspect that is suspected as strongly or more. A
// suspect is not to be placed there: were the engine to die, its death would name neither.
func (t *Table) TargetsToAvoid(now time.Time, fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	level := t.level(now, fingerprint, 0)
	if level == LevelNone {
		return nil
	}
	var targets []string
	for target, runs := range t.running {
		if t.hasRival(now, runs, fingerprint, level) {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

func (t *Table) hasRival(now time.Time, runs map[uint64]uint64, fingerprint uint64, level Level) bool {
	for _, f := range runs {
		if f != fingerprint && t.level(now, f, 0) >= max(level, LevelStrong) {
			return true
		}
	}
	return false
}
