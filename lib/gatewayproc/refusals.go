package gatewayproc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/poison"
)

// A conviction of prompt segments has a row in the store. All instances follow the table: those that start later, or all after a common stop, know
// what has been found, and at most one of them makes each probe. Operators set and lift refusals by its rows, too.

// refusalOptions are the feed options of the table. Peers tell of new convictions meanwhile.
var refusalOptions = feed.Options{
	Wait: 10 * time.Second, Timeout: time.Second, Retry: 200 * time.Millisecond, RetryMax: 2 * time.Second, MinInterval: 500 * time.Millisecond,
}

const (
	// refusalsRetention leaves instances time to write again the rows that a restored store lacks.
	refusalsRetention = 10 * time.Second
	// refusalTimeout bounds one call to the store.
	refusalTimeout = time.Second
	// refusalRetry is the pause after a row could not be written. Until it is, the conviction is repeated to peers at this period.
	refusalRetry = 2 * time.Second
	// metricConvictions counts convictions that came into force, by source.
	metricConvictions = "anvilwick_gateway_segment_convictions_total"
)

// ConditionalRows are rows that are written only at a known version.
type ConditionalRows interface {
	// Write writes a row if the stored one still has its version; 0: if there is none.
	Write(ctx context.Context, row feed.Row) error
	// Remove removes a row if the stored one still has its version.
	Remove(ctx context.Context, row feed.Row) error
}

// refusalRow is the value of a row.
type refusalRow struct {
	Service     string   `json:"service"`
	Model       string   `json:"model,omitempty"`
	Segments    []string `json:"segments"` // hexadecimal
	Deaths      int      `json:"deaths,omitempty"`
	LastDeathMS int64    `json:"last_death,omitempty"` // Unix milliseconds
	ProbeAtMS   int64    `json:"probe_at,omitempty"`   // Unix milliseconds
	Probes      int      `json:"probes,omitempty"`
	Fixed       bool     `json:"fixed,omitempty"` // set by an operator
}

// refusalKey returns the key that instances choose for a conviction's row.
func refusalKey(name string) string { return strconv.FormatUint(xxhash.Sum64String(name), 16) }

func encodeRefusal(v *poison.Conviction) ([]byte, error) {
	row := refusalRow{
		Service: v.Service, Model: v.Model, Deaths: v.Deaths, LastDeathMS: v.LastDeath.UnixMilli(),
		ProbeAtMS: v.ProbeAt.UnixMilli(), Probes: v.Probes, Fixed: v.Fixed,
	}
	for _, s := range v.Segments {
		row.Segments = append(row.Segments, strconv.FormatUint(s, 16))
	}
	return json.Marshal(row)
}

var errNoSegments = errors.New("no service or no segments")

func decodeRefusal(row feed.Row) (poison.Conviction, error) {
	var r refusalRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return poison.Conviction{}, fmt.Errorf("gatewayproc: refusal %s: %w", row.Key, err)
	}
	v := poison.Conviction{
		Service: r.Service, Model: r.Model, Deaths: r.Deaths, LastDeath: time.UnixMilli(r.LastDeathMS),
		ProbeAt: time.UnixMilli(r.ProbeAtMS), Probes: r.Probes, Fixed: r.Fixed,
	}
	for _, s := range r.Segments {
		n, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return poison.Conviction{}, fmt.Errorf("gatewayproc: refusal %s: segment %q: %w", row.Key, s, err)
		}
		v.Segments = append(v.Segments, n)
	}
	if len(v.Segments) == 0 || v.Service == "" {
		return poison.Conviction{}, fmt.Errorf("gatewayproc: refusal %s: %w", row.Key, errNoSegments)
	}
	slices.Sort(v.Segments)
	return v, nil
}

// storedRefusals are the rows as last read, and what this instance has to change about them.
type storedRefusals struct {
	mu        sync.Mutex
	rows      map[string]storedRefusal     // by key; operators choose keys of their own
	unsaved   map[string]poison.Conviction // without a row, by name
	unremoved map[string]bool              // names of convictions that have ended
	change    chan struct{}
}

type storedRefusal struct {
	version int64
	name    string
}

func newStoredRefusals() *storedRefusals {
	return &storedRefusals{
		rows: make(map[string]storedRefusal), unsaved: make(map[string]poison.Conviction), unremoved: make(map[string]bool),
		change: make(chan struct{}, 1),
	}
}

// add queues a conviction to be written.
func (s *storedRefusals) add(v poison.Conviction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsaved[v.Name()] = v
	delete(s.unremoved, v.Name())
	s.signal()
}

// end queues the row of a conviction that has ended to be removed.
func (s *storedRefusals) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unsaved, name)
	s.unremoved[name] = true
	s.signal()
}

func (s *storedRefusals) signal() {
	select {
	case s.change <- struct{}{}:
	default:
	}
}

// done takes a conviction off the queues.
func (s *storedRefusals) done(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unsaved, name)
	delete(s.unremoved, name)
}

// superfluous returns the rows of convictions that have ended.
func (s *storedRefusals) superfluous() map[string]feed.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]feed.Row)
	for name := range s.unremoved {
		row := s.find(name)
		if row.Version == 0 {
			delete(s.unremoved, name)
			continue
		}
		out[name] = row
	}
	return out
}

// pending returns the convictions that have no row yet.
func (s *storedRefusals) pending() []poison.Conviction {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]poison.Conviction, 0, len(s.unsaved))
	for name, v := range s.unsaved {
		if s.find(name).Version != 0 {
			delete(s.unsaved, name)
			continue
		}
		out = append(out, v)
	}
	return out
}

// row returns the key and the version of a conviction's row, without its value; the version is 0 if there is none.
func (s *storedRefusals) row(name string) feed.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(name)
}

func (s *storedRefusals) find(name string) feed.Row {
	for key, row := range s.rows {
		if row.name == name {
			return feed.Row{Key: key, Version: row.version}
		}
	}
	return feed.Row{Key: refusalKey(name)}
}

// set notes a row as read and returns the name of the conviction that it held before.
func (s *storedRefusals) set(key string, row storedRefusal) (previous string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous = s.rows[key].name
	if row.version == 0 {
		delete(s.rows, key)
		return previous
	}
	s.rows[key] = row
	return previous
}

// applyRefusals puts the rows of the table in force.
func (p *Process) applyRefusals(u feed.Update) {
	now := time.Now()
	table := p.gate.Segments()
	for _, row := range u.Rows {
		if row.Removed && row.LostInRestore {
			p.restoreRefusal(row.Key)
			continue
		}
		if row.Removed {
			if name := p.refusals.set(row.Key, storedRefusal{}); name != "" {
				table.Lift(now, name)
			}
			continue
		}
		v, err := decodeRefusal(row)
		if err != nil {
			logline.Send(log.Error().Str("event", "refusal_refused"), err)
			continue
		}
		p.refusals.set(row.Key, storedRefusal{version: row.Version, name: v.Name()})
		if !table.Enforce(now, v) {
			p.refusals.end(v.Name())
		}
	}
}

// restoreRefusal queues a conviction whose row a restored store lacks.
func (p *Process) restoreRefusal(key string) {
	name := p.refusals.set(key, storedRefusal{})
	for _, v := range p.gate.Segments().Convictions() {
		if v.Name() == name {
			p.refusals.add(v)
		}
	}
}

// keepRefusals logs convictions, and writes those that this instance has reached.
func (p *Process) keepRefusals(ctx context.Context) {
	changes := p.gate.Segments().Changes()
	for {
		var retry <-chan time.Time
		if p.saveRefusals(ctx) {
			retry = time.After(refusalRetry)
		}
		select {
		case <-ctx.Done():
			return
		case c := <-changes:
			p.handleChange(c)
		case <-p.refusals.change:
		case <-retry:
			// Without the row, instances that join know of the conviction only from their peers.
			p.broadcastSegments(p.gate.Segments().ConvictionRecords())
		}
	}
}

func (p *Process) handleChange(c poison.SegmentChange) {
	v := &c.Conviction
	if !c.Ended {
		ev := log.Warn().Str("event", "segments_convicted").Str("segments", v.Name()).Str("source", c.Source.String())
		ev = ev.Int("deaths", v.Deaths).Int64("last_death_ms", time.Since(v.LastDeath).Milliseconds()).Int("probes", v.Probes)
		ev.Bool("fixed", v.Fixed).Msg("")
		metrics.GetOrCreateCounter(fmt.Sprintf("%s{source=%q}", metricConvictions, c.Source.String())).Inc()
		if c.Source == poison.SourceOwn {
			p.refusals.add(*v)
		}
		return
	}
	log.Info().Str("event", "segments_acquitted").Str("segments", v.Name()).Int("deaths", v.Deaths).Msg("")
	p.refusals.end(v.Name())
}

// saveRefusals writes the convictions that have no row yet and removes the rows of those that have ended. It reports whether any is left.
func (p *Process) saveRefusals(ctx context.Context) (left bool) {
	for _, v := range p.refusals.pending() {
		if err := p.writeRefusal(ctx, &v, feed.Row{Key: refusalKey(v.Name())}); err != nil {
			logline.Send(log.Warn().Str("event", "refusal_not_written").Str("segments", v.Name()), err)
			left = true
			continue
		}
		p.refusals.done(v.Name())
	}
	for name, row := range p.refusals.superfluous() {
		if err := p.removeRefusal(ctx, row); err != nil {
			logline.Send(log.Info().Str("event", "refusal_not_removed").Str("segments", name), err)
			left = true
			continue
		}
		p.refusals.done(name)
	}
	return left
}

func (p *Process) removeRefusal(ctx context.Context, row feed.Row) error {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	return p.site.RefusalRows.Remove(ctx, row)
}

func (p *Process) writeRefusal(ctx context.Context, v *poison.Conviction, row feed.Row) (err error) {
	if row.Value, err = encodeRefusal(v); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	return p.site.RefusalRows.Write(ctx, row)
}

// probes implements gateway.Probes.
type probes struct{ p *Process }

// Acquire implements gateway.Probes. The row's condition admits one instance, and a restart doesn't forget the probe.
func (a probes) Acquire(ctx context.Context, v poison.Conviction) bool {
	row := a.p.refusals.row(v.Name())
	if row.Version == 0 {
		return false
	}
	v.Probes++
	v.ProbeAt = time.Now().Add(poison.ProbePause(v.Deaths, v.Probes))
	if err := a.p.writeRefusal(ctx, &v, row); err != nil {
		return false
	}
	a.p.gate.Segments().Enforce(time.Now(), v)
	log.Info().Str("event", "segments_probed").Str("segments", v.Name()).Int("probes", v.Probes).Msg("")
	return true
}
