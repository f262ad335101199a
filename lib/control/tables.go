package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/settings"
)

// drainID names one party's drain of a target.
type drainID struct{ target, by string }

// drainState is the newest that is known of a drain.
type drainState struct {
	on    bool
	rev   uint64    // of the table, that it was read at
	made  time.Time // by the clock of the instance that took the order
	since time.Time // when this process learnt of it
	lost  bool      // a copy of the table has an older one
}

// outlives reports whether a drain stays in force over one that the table shows after it came back from a copy.
func (d drainState) outlives(read drainState) bool {
	return platformapi.EraOf(read.rev) > platformapi.EraOf(d.rev) && read.made.Before(d.made)
}

// report is what the entry said of a target, dated on this process's clock.
type report struct {
	*meshpb.TargetReport
	taken time.Time
}

// tables holds all that the loops of a Process share.
type tables struct {
	mu        sync.Mutex
	instances []platformapi.Instance
	drains    map[drainID]drainState
	ordered   map[string]drainRecord // operators' drains that this process has written, by target
	entry     *meshpb.EntryStatus
	reports   map[string]report
	leases    map[string]*lease.Term
	shares    map[string]heldShare
}

// heldShare is what the entry was told of a shard's power, with the time at which it runs out.
type heldShare struct {
	*meshpb.PowerShare
	until time.Time
}

func newTables() tables {
	return tables{drains: map[drainID]drainState{}, ordered: map[string]drainRecord{}, reports: map[string]report{}, leases: map[string]*lease.Term{}}
}

// hear takes a message from the entry.
func (t *tables) hear(m *meshpb.LocalUp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := m.GetStatus(); st != nil {
		t.entry = st
	}
	if m.GetReports() != nil {
		t.setReports(m.GetReports().GetTargets(), time.Now())
	}
}

// setReports replaces all reports: a target that the entry no longer has would else stay for ever.
func (t *tables) setReports(list []*meshpb.TargetReport, now time.Time) {
	clear(t.reports)
	for _, r := range list {
		t.reports[r.GetTarget()] = report{r, now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)}
	}
}

func (t *tables) setInstances(list []platformapi.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = slices.Clone(list)
}

// live counts the instances of the last list.
func (t *tables) live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return live(t.instances)
}

// setDrain reports whether it changed what is in force. An older revision than the one known changes nothing.
func (t *tables) setDrain(target, by string, d drainState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := drainID{target, by}
	old, known := t.drains[k]
	if known && d.rev < old.rev {
		return false
	}
	if known && old.outlives(d) {
		old.rev, old.lost = d.rev, true
		t.drains[k] = old
		return false
	}
	if known && old.on == d.on {
		d.since = old.since
	}
	t.drains[k] = d
	return !known || old.on != d.on
}

// noteOrdered remembers an operator's drain that the table has from this process.
func (t *tables) noteOrdered(target string, rec drainRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ordered[target] = rec
}

// lostDrains returns the operators' drains that this process has written and that the table lacks in an era, or has an older one of. One that
// another has written since is that one's.
func (t *tables) lostDrains(era uint64) map[string]drainRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]drainRecord)
	for target, rec := range t.ordered {
		d := t.drains[drainID{target, byOperator}]
		if d.made.Equal(rec.Time) && (d.lost || platformapi.EraOf(d.rev) < era) {
			out[target] = rec
		}
	}
	return out
}

func (t *tables) drainRev(target, by string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drains[drainID{target, by}].rev
}

// draining reports whether anybody drains the target.
func (t *tables) draining(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drains[drainID{target, byOperator}].on || t.drains[drainID{target, byPlacement}].on
}

// drainedSince returns when this process learnt of a drain that is on; zero when it is off.
func (t *tables) drainedSince(target, by string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d := t.drains[drainID{target, by}]; d.on {
		return d.since
	}
	return time.Time{}
}

// hold shows a lease to operators until the returned function is called.
func (t *tables) hold(h *lease.Term) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases[h.Name()] = h
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.leases, h.Name())
	}
}

func (t *tables) setShares(shares map[string]*meshpb.PowerShare, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares = make(map[string]heldShare, len(shares))
	for name, s := range shares {
		t.shares[name] = heldShare{s, now.Add(time.Duration(s.GetValidMs()) * time.Millisecond)}
	}
}

// view copies what operators are shown.
func (t *tables) view() tablesView {
	t.mu.Lock()
	defer t.mu.Unlock()
	return tablesView{
		instances: t.instances,
		entry:     t.entry,
		reports:   maps.Clone(t.reports),
		leases:    slices.Collect(maps.Values(t.leases)),
		shares:    t.shares,
	}
}

type tablesView struct {
	instances []platformapi.Instance
	entry     *meshpb.EntryStatus
	reports   map[string]report
	leases    []*lease.Term
	shares    map[string]heldShare
}

func findTarget(snap *settings.Snapshot, name string) *settings.Target {
	for _, svc := range snap.Services {
		for i := range svc.Targets {
			if svc.Targets[i].Name == name {
				return &svc.Targets[i]
			}
		}
	}
	return nil
}
