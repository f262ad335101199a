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

// drainState is the newest drain known of a target, with the table's revision that it was read at.
type drainState struct {
	on  bool
	rev uint64
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
	drains    map[string]drainState
	entry     *meshpb.EntryStatus
	reports   map[string]report
	leases    map[string]*lease.Held
	shares    map[string]heldShare
}

// heldShare is what the entry was told of a service's power, with the time at which it runs out.
type heldShare struct {
	*meshpb.PowerShare
	until time.Time
}

func newTables() tables {
	return tables{drains: map[string]drainState{}, reports: map[string]report{}, leases: map[string]*lease.Held{}}
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

// setDrain reports whether it changed what is in force. An older revision than the one known changes nothing.
func (t *tables) setDrain(target string, d drainState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.drains[target]
	if known && d.rev < old.rev {
		return false
	}
	t.drains[target] = d
	return !known || old.on != d.on
}

func (t *tables) drainRev(target string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drains[target].rev
}

// hold shows a lease to operators until the returned function is called.
func (t *tables) hold(h *lease.Held) (release func()) {
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
	for service, s := range shares {
		t.shares[service] = heldShare{s, now.Add(time.Duration(s.GetValidMs()) * time.Millisecond)}
	}
}

// view copies what operators are shown.
func (t *tables) view() tablesView {
	t.mu.Lock()
	defer t.mu.Unlock()
	return tablesView{
		instances: t.instances,
		drains:    maps.Clone(t.drains),
		entry:     t.entry,
		reports:   maps.Clone(t.reports),
		leases:    slices.Collect(maps.Values(t.leases)),
		shares:    t.shares,
	}
}

type tablesView struct {
	instances []platformapi.Instance
	drains    map[string]drainState
	entry     *meshpb.EntryStatus
	reports   map[string]report
	leases    []*lease.Held
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
