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

// drainID identifies one source's drain of a target.
type drainID struct{ target, by string }

// drainState is the newest known state of a drain.
type drainState struct {
	on        bool
	rev       uint64    // table revision at which it was read
	orderedAt time.Time // on the clock of the instance that took the operator's request
	learnedAt time.Time // when this process learned of it
	lost      bool      // a restored table has an older state
}

// survivesRestore reports whether a drain stays in force over one that was read after the table was restored from a backup.
func (d drainState) survivesRestore(read drainState) bool {
	return platformapi.EraOf(read.rev) > platformapi.EraOf(d.rev) && read.orderedAt.Before(d.orderedAt)
}

// targetReport is the entry's report of a target, dated on this process's clock.
type targetReport struct {
	*meshpb.TargetReport
	takenAt time.Time
}

// sharedState holds the state that the loops of a Process share.
type sharedState struct {
	mu        sync.Mutex
	instances []platformapi.Instance
	drains    map[drainID]drainState
	ordered   map[string]drainRecord // operators' drains written by this process, by target
	entry     *meshpb.EntryStatus
	reports   map[string]targetReport
	leases    map[string]*lease.Term
	shares    map[string]sentShare
}

// sentShare is the power share last sent to the entry for a shard, with the time at which it expires.
type sentShare struct {
	*meshpb.PowerShare
	until time.Time
}

func newSharedState() sharedState {
	return sharedState{drains: map[drainID]drainState{}, ordered: map[string]drainRecord{}, reports: map[string]targetReport{}, leases: map[string]*lease.Term{}}
}

// handleEntryMessage processes a message from the entry.
func (s *sharedState) handleEntryMessage(m *meshpb.LocalUp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := m.GetStatus(); status != nil {
		s.entry = status
	}
	if m.GetReports() != nil {
		s.setReports(m.GetReports().GetTargets(), time.Now())
	}
}

// setReports replaces all reports, so that targets that the entry no longer has are removed.
func (s *sharedState) setReports(list []*meshpb.TargetReport, now time.Time) {
	clear(s.reports)
	for _, r := range list {
		s.reports[r.GetTarget()] = targetReport{r, now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)}
	}
}

func (s *sharedState) setInstances(list []platformapi.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(list)
}

// live counts the instances of the last list.
func (s *sharedState) live() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return liveCount(s.instances)
}

// setDrain reports whether it changed the drain. A revision older than the known one is ignored.
func (s *sharedState) setDrain(target, by string, d drainState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := drainID{target, by}
	old, known := s.drains[k]
	if known && d.rev < old.rev {
		return false
	}
	if known && old.survivesRestore(d) {
		old.rev, old.lost = d.rev, true
		s.drains[k] = old
		return false
	}
	if known && old.on == d.on {
		d.learnedAt = old.learnedAt
	}
	s.drains[k] = d
	return !known || old.on != d.on
}

// recordOrder remembers an operator's drain that this process has written to the table.
func (s *sharedState) recordOrder(target string, rec drainRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered[target] = rec
}

// lostDrains returns the operators' drains written by this process that the table of the given era lacks or has an older
// state of. A drain that another process has written since is left to that process.
func (s *sharedState) lostDrains(era uint64) map[string]drainRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]drainRecord)
	for target, rec := range s.ordered {
		d := s.drains[drainID{target, byOperator}]
		if d.orderedAt.Equal(rec.Time) && (d.lost || platformapi.EraOf(d.rev) < era) {
			out[target] = rec
		}
	}
	return out
}

func (s *sharedState) drainRev(target, by string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains[drainID{target, by}].rev
}

// draining reports whether any source drains the target.
func (s *sharedState) draining(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains[drainID{target, byOperator}].on || s.drains[drainID{target, byPlacement}].on
}

// drainedSince returns when this process learned of a drain that is on, or zero if it is off.
func (s *sharedState) drainedSince(target, by string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.drains[drainID{target, by}]; d.on {
		return d.learnedAt
	}
	return time.Time{}
}

// trackLease shows a lease to operators until the returned function is called.
func (s *sharedState) trackLease(h *lease.Term) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[h.Name()] = h
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.leases, h.Name())
	}
}

func (s *sharedState) setShares(shares map[string]*meshpb.PowerShare, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = make(map[string]sentShare, len(shares))
	for name, share := range shares {
		s.shares[name] = sentShare{share, now.Add(time.Duration(share.GetValidMs()) * time.Millisecond)}
	}
}

// snapshot returns a copy of the state shown to operators.
func (s *sharedState) snapshot() stateView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stateView{
		instances: s.instances,
		entry:     s.entry,
		reports:   maps.Clone(s.reports),
		leases:    slices.Collect(maps.Values(s.leases)),
		shares:    s.shares,
	}
}

type stateView struct {
	instances []platformapi.Instance
	entry     *meshpb.EntryStatus
	reports   map[string]targetReport
	leases    []*lease.Term
	shares    map[string]sentShare
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
