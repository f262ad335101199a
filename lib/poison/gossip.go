package poison

import (
	"slices"
	"time"
)

// Record is what instances exchange: a content was running when an engine died, or a content finished. Age is relative, so clocks
// need not agree. Merging is idempotent: a Record received twice, or from two peers, changes nothing.
type Record struct {
	Fingerprint uint64
	Death       uint64 // of the engine; with LevelFinished, names the run that finished
	Level       Level  // suspicion before the death
	Newest      bool   // the content had just started
	Age         time.Duration
}

type logRecord struct {
	seq         uint64
	fingerprint uint64
	death       uint64
	at          time.Time
	level       Level
	newest      bool
	merged      bool // received from a peer
}

// maxLogRecords bounds the records sent to a new peer. The peer misses older ones, which costs one more death at worst.
const maxLogRecords = 1024

func (t *Table) appendLog(now time.Time, l logRecord) {
	t.seq++
	l.seq = t.seq
	t.log = append(t.log, l)
	old := 0
	for old < len(t.log) && (len(t.log)-old > maxLogRecords || now.Sub(t.log[old].at) >= t.cfg.Window) {
		old++
	}
	t.log = slices.Delete(t.log, 0, old)
	select {
	case t.updates <- struct{}{}:
	default:
	}
}

// Updates receives a value when there are new records to send to peers. They should get them within Config.SettleTime.
func (t *Table) Updates() <-chan struct{} { return t.updates }

// Since returns the records after seq, and the seq to pass next time. Start from 0 for a peer that is new or has restarted. Merged
// records are included, so that records propagate between instances without a direct link.
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

// Own returns the newest of this instance's own records, at most n, and the seq of the last. It is for instances whose records reach all peers
// directly: if each passed on those that it has merged, each would receive them from all.
func (t *Table) Own(now time.Time, n int) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recs []Record
	var seq uint64
	for _, l := range t.log {
		if !l.merged {
			recs = append(recs, l.record(now))
			seq = l.seq
		}
	}
	return recs[max(0, len(recs)-n):], seq
}

func (l logRecord) record(now time.Time) Record {
	return Record{Fingerprint: l.fingerprint, Death: l.death, Level: l.level, Newest: l.newest, Age: now.Sub(l.at)}
}

// Merge applies records received from a peer.
func (t *Table) Merge(now time.Time, recs []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, r := range recs {
		t.mergeRecord(now, r)
	}
}

func (t *Table) mergeRecord(now time.Time, r Record) {
	if r.Age >= t.cfg.Window || r.Level > LevelFinished {
		return
	}
	l := logRecord{
		fingerprint: r.Fingerprint, death: r.Death, level: r.Level, newest: r.Newest, at: now.Add(-max(0, r.Age)), merged: true,
	}
	if r.Level == LevelFinished {
		t.recordFinish(now, l)
		return
	}
	t.recordDeath(now, l)
}

// TargetsToAvoid lists the targets on which this instance runs another content that is suspected as strongly or more. A suspect
// should not be placed there: if the engine died, its death would not tell which of the two is to blame.
func (t *Table) TargetsToAvoid(now time.Time, fingerprint uint64) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	level := t.level(now, fingerprint, 0)
	if level == LevelNone {
		return nil
	}
	var targets []string
	for target, runs := range t.running {
		if t.hasOtherSuspect(now, runs, fingerprint, level) {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets
}

func (t *Table) hasOtherSuspect(now time.Time, runs map[uint64]uint64, fingerprint uint64, level Level) bool {
	for _, f := range runs {
		if f != fingerprint && t.level(now, f, 0) >= max(level, LevelStrong) {
			return true
		}
	}
	return false
}
