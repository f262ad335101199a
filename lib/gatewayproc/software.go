package gatewayproc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
)

// The store holds a row for each service with the software versions that its targets have run lately. The reader of the store adds a version
// when its first target is listed. An instance that knows nothing of a stream, because all who did have stopped, learns from
// the rows whether its service has had a single version.

const (
	// softwareRetention is how long a version stays in its row after its last target has left. No stream lasts as long.
	softwareRetention = 10 * time.Minute
	// restoreDoubt is how long a row says nothing after the store was restored from a copy, which may lack the newest version.
	restoreDoubt = 2 * time.Minute
	// softwareSweep is the period at which versions without targets are looked for.
	softwareSweep = time.Minute
	// softwareRetry is the pause after a row could not be written.
	softwareRetry = 200 * time.Millisecond
	// softwareTries bounds the tries to update rows that wait for answers at the same time.
	softwareTries = int(registerTimeout / softwareRetry)
	// softwareReread is the pause between two reads of a row that is about to be written.
	softwareReread = 50 * time.Millisecond
)

// SoftwareRows are the rows of the services' software versions, by service.
type SoftwareRows interface {
	// ReadAll reads all rows, with the era of the store.
	ReadAll(ctx context.Context) ([]feed.Row, int64, error)
	// Write writes a row if the stored one still has its version; 0: if there is none.
	Write(ctx context.Context, row feed.Row) error
}

// softwareRow is the value of a row.
type softwareRow struct {
	Versions  []uint64 `json:"versions"`          // fleet.Software.ID, ascending
	Era       int64    `json:"era"`               // of the store in which the row was written
	DoubtedMS int64    `json:"doubted,omitempty"` // Unix milliseconds until which the row may lack a version

	stored int64 // version of the row in the store; 0: there is none
}

// add adds a version and reports whether it is new.
func (r *softwareRow) add(version uint64) bool {
	at, found := slices.BinarySearch(r.Versions, version)
	if !found {
		r.Versions = slices.Insert(r.Versions, at, version)
	}
	return !found
}

// readSoftware reads the rows by service.
func (p *Process) readSoftware(ctx context.Context) (rows map[string]softwareRow, era int64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	list, era, err := p.site.SoftwareRows.ReadAll(callCtx)
	if err != nil {
		return nil, 0, err
	}
	rows = make(map[string]softwareRow, len(list))
	for _, row := range list {
		r := softwareRow{stored: row.Version}
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, 0, fmt.Errorf("gatewayproc: software versions of %s: %w", row.Key, err)
		}
		rows[row.Key] = r
	}
	return rows, era, nil
}

// software is what this instance has seen of the services' versions.
type software struct {
	mu       sync.Mutex
	seen     map[string]map[uint64]time.Time // by service: when a target of the version was last listed
	reported map[string]bool                 // services that a peer with all targets reports as mixed
	change   chan struct{}                   // a version was seen for the first time
}

func newSoftware() *software {
	return &software{seen: make(map[string]map[uint64]time.Time), reported: make(map[string]bool), change: make(chan struct{}, 1)}
}

// observe records the version of a listed target, unless it is 0: unknown. It reports whether the service is mixed since then.
func (s *software) observe(now time.Time, service string, version uint64) (turned bool) {
	if version == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mixed(now, service)
	versions := s.seen[service]
	if versions == nil {
		versions = make(map[uint64]time.Time)
		s.seen[service] = versions
	}
	if _, known := versions[version]; !known {
		select {
		case s.change <- struct{}{}:
		default:
		}
	}
	versions[version] = now
	return !before && s.mixed(now, service)
}

// hasSeen reports whether a target of the version was listed, or is lately.
func (s *software) hasSeen(service string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, seen := s.seen[service][version]
	return seen
}

// recordReport records whether a service is mixed, as a peer with all targets reports. It reports whether the service is mixed since then.
func (s *software) recordReport(now time.Time, service string, mixed bool) (turned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mixed(now, service)
	s.reported[service] = mixed
	return mixed && !before
}

// forgetReported forgets what peers have said: this instance has all targets itself.
func (s *software) forgetReported() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.reported)
}

// isMixed reports whether a service has, or lately had, several versions.
func (s *software) isMixed(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mixed(now, service)
}

// anyMixed reports whether any service is mixed.
func (s *software) anyMixed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.reported {
		if s.mixed(now, service) {
			return true
		}
	}
	for service := range s.seen {
		if s.mixed(now, service) {
			return true
		}
	}
	return false
}

// mayBeMixed reports whether a version may be one of a mixed service. Of a version that was never seen the service is not known.
func (s *software) mayBeMixed(now time.Time, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, versions := range s.seen {
		if _, known := versions[version]; known {
			return s.mixed(now, service)
		}
	}
	return true
}

// mixed is isMixed with s.mu held.
func (s *software) mixed(now time.Time, service string) bool {
	if s.reported[service] {
		return true
	}
	n := 0
	for _, at := range s.seen[service] {
		if now.Sub(at) <= softwareRetention {
			n++
		}
	}
	return n > 1
}

// refresh records that the versions of the listed targets are still in use. current lists those of a service.
func (s *software) refresh(now time.Time, current func(service string) []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, seen := range s.seen {
		for _, version := range current(service) {
			seen[version] = now
		}
	}
}

// merge returns the rows to write in an era of the store: those that lack a version, or were written in another era.
func (s *software) merge(now time.Time, rows map[string]softwareRow, era int64) map[string]softwareRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]softwareRow)
	for service, seen := range s.seen {
		row, known := rows[service]
		row.Versions = slices.Clone(row.Versions)
		changed := !known
		for version := range seen {
			changed = row.add(version) || changed
		}
		// Only the first era begins without anything that a copy might lack.
		if known && row.Era != era || !known && era > feed.FirstEra {
			row.DoubtedMS = now.Add(restoreDoubt).UnixMilli()
			changed = true
		}
		if row.Era = era; changed {
			out[service] = row
		}
	}
	return out
}

// sweep forgets the versions that have had no target for softwareRetention, and returns the rows without them.
func (s *software) sweep(now time.Time, rows map[string]softwareRow) map[string]softwareRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]softwareRow)
	for service, row := range rows {
		seen := s.seen[service]
		if seen == nil {
			continue
		}
		kept := softwareRow{Era: row.Era, DoubtedMS: row.DoubtedMS, stored: row.stored}
		for _, version := range row.Versions {
			if _, known := seen[version]; !known {
				seen[version] = now // from before this instance's start
			}
			if now.Sub(seen[version]) <= softwareRetention {
				kept.add(version)
				continue
			}
			delete(seen, version)
		}
		if len(kept.Versions) < len(row.Versions) {
			out[service] = kept
		}
	}
	return out
}

// keepSoftware keeps the services' rows up to date while this instance reads the store.
func (p *Process) keepSoftware(ctx context.Context) {
	var era int64 // in which the rows were last brought up to date; 0: not yet
	swept, refreshed := time.Now(), time.Now()
	for {
		changed, pause := p.feeds.instances.Changed(), registerRetry
		now := time.Now()
		if now.Sub(refreshed) > softwareSweep {
			p.software.refresh(now, p.fleet.ServiceSoftware)
			refreshed = now
		}
		switch {
		case !p.syncer.ReadsStore():
			era = 0
		case era != p.era.Load() || now.Sub(swept) > softwareSweep:
			if err := p.updateSoftware(ctx, now); err != nil {
				logline.Send(log.Warn().Str("event", "software_not_written"), err)
				pause = softwareRetry
				break
			}
			era, swept = p.era.Load(), now
		}
		select {
		case <-ctx.Done():
			return
		case <-p.software.change:
			era = 0
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// updateSoftware is tryUpdateSoftware, tried again while a call of an earlier try has no answer: when the store takes writes again, a try begins within
// softwareRetry, as proveOnlySoftware assumes. The first result counts.
func (p *Process) updateSoftware(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, softwareTries)
	next := time.NewTicker(softwareRetry)
	defer next.Stop()
	for range softwareTries {
		go func() { results <- p.tryUpdateSoftware(ctx, now) }()
		select {
		case err := <-results:
			return err
		case <-next.C:
		}
	}
	return <-results
}

// tryUpdateSoftware adds to the services' rows the versions that they lack, and removes those that are long gone.
func (p *Process) tryUpdateSoftware(ctx context.Context, now time.Time) error {
	rows, era, err := p.readSoftware(ctx)
	if err != nil {
		return err
	}
	p.software.refresh(now, p.fleet.ServiceSoftware) // before the sweep, which would remove the versions of listed targets
	write := p.software.sweep(now, rows)
	for service, row := range p.software.merge(now, rows, era) {
		write[service] = row
	}
	for service, row := range write {
		if err := p.writeSoftware(ctx, service, row); err != nil {
			return err
		}
		log.Info().Str("event", "software").Str("service", service).Int("versions", len(row.Versions)).Msg("")
	}
	return nil
}

// errNoRow: a service has no row yet.
var errNoRow = errors.New("gatewayproc: no row of software versions")

// onlySoftware returns the only version that a service has had for longer than any stream lasts; ok is false if there were several, or if
// that is not certain. For the row of a service whose first targets have just been listed it waits: the caller would only return.
func (p *Process) onlySoftware(ctx context.Context, service string) (version uint64, ok bool, err error) {
	return awaitRow(ctx, func() (uint64, bool, error) {
		version, ok, err := p.readOnlySoftware(ctx, service)
		if errors.Is(err, errNoRow) && len(p.fleet.ServiceSoftware(service)) == 0 {
			err = fmt.Errorf("gatewayproc: software versions of %s: no target is listed", service)
		}
		return version, ok, err
	})
}

// awaitRow repeats a read until it finds a row, fails otherwise, or ctx is done.
func awaitRow(ctx context.Context, read func() (uint64, bool, error)) (version uint64, ok bool, err error) {
	for {
		version, ok, err = read()
		if !errors.Is(err, errNoRow) {
			return version, ok, err
		}
		select {
		case <-ctx.Done():
			return 0, false, err
		case <-time.After(softwareReread):
		}
	}
}

// readOnlySoftware returns the only version in a service's row if the list in the store names no other: this instance's copy of the list may be old, and
// the row may lack a version while it can't be written. The row is read again after the list, since it has the versions whose targets have left.
func (p *Process) readOnlySoftware(ctx context.Context, service string) (version uint64, ok bool, err error) {
	if len(p.fleet.ServiceSoftware(service)) > 1 || p.software.isMixed(time.Now(), service) {
		return 0, false, nil
	}
	version, ok, err = p.rowSoftware(ctx, service)
	if err != nil || !ok {
		return 0, false, err
	}
	listed, err := p.readListedSoftware(ctx, service)
	if err != nil {
		return 0, false, err
	}
	for _, other := range listed {
		if other != version {
			return 0, false, nil
		}
	}
	return p.rowSoftware(ctx, service)
}

// rowSoftware returns the version in a service's row; ok is false if there are several.
func (p *Process) rowSoftware(ctx context.Context, service string) (version uint64, ok bool, err error) {
	rows, era, err := p.readSoftware(ctx)
	if err != nil {
		return 0, false, err
	}
	row, known := rows[service]
	if !known {
		return 0, false, fmt.Errorf("%w: service %s", errNoRow, service)
	}
	if row.Era != era || time.Now().UnixMilli() < row.DoubtedMS {
		return 0, false, fmt.Errorf("gatewayproc: software versions of %s: row of era %d in era %d, doubted until %d", service, row.Era, era, row.DoubtedMS)
	}
	for _, listed := range p.fleet.ServiceSoftware(service) {
		row.add(listed)
	}
	if len(row.Versions) != 1 {
		return 0, false, nil
	}
	return row.Versions[0], true, nil
}

// readListedSoftware reads the versions of a service's targets in the store.
func (p *Process) readListedSoftware(ctx context.Context, service string) ([]uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	page, err := p.site.Targets.Snapshot(callCtx)
	if err != nil {
		return nil, fmt.Errorf("gatewayproc: software versions of %s: %w", service, err)
	}
	var out []uint64
	for _, row := range page.Rows {
		// An entry that can't be read names no target to use.
		if info, err := p.site.DecodeTarget(row); err == nil && info.Service == service {
			out = append(out, info.Software.ID)
		}
	}
	return out, nil
}

// observeSoftware records the versions of listed targets. Streams that began before their service had a second version are recorded in the store
// when it gets one.
func (p *Process) observeSoftware(entries []fleet.Info) {
	now := time.Now()
	turned := false
	for _, e := range entries {
		turned = p.software.observe(now, e.Service, e.Software.ID) || turned
	}
	if turned {
		p.storeStreams()
	}
}
