package poison

import (
	"maps"
	"slices"
	"time"
)

// RecordKind is what a SegmentRecord reports.
type RecordKind uint8

// The kinds of records.
const (
	RecordDeath      RecordKind = iota + 1 // an engine died under a run with the segments
	RecordSurvival                         // a run with the segments has survived
	RecordConviction                       // requests with all of the segments are refused
	RecordControl                          // how common the segments are among the runs of an instance that had runs on a dead engine
	RecordTrial                            // the segments are on trial, and a run with them begins
)

// SegmentRecord is what instances exchange. Merging is idempotent.
type SegmentRecord struct {
	Kind           RecordKind
	Service, Model string
	Segments       []uint64
	At             time.Time // of the death, the survival, or the conviction's last death

	// Of a death.
	Death    Death
	RunAge   time.Duration // of the run, from its start to its end
	Reporter uint64        // the instance; 0: a build that does not say
	Runs     int           // how many runs of the reporter on the engine have been reported so far
	Controls []Controls    // RecordControl: of each segment

	Deaths, Probes int       // RecordConviction; RecordTrial: Deaths of the segment, 0: a run begins
	ProbeAt        time.Time // RecordConviction; RecordTrial with Deaths: no run before
}

func (v *Conviction) record() SegmentRecord {
	return SegmentRecord{
		Kind: RecordConviction, Service: v.Service, Model: v.Model, Segments: v.Segments, At: v.LastDeath,
		Deaths: v.Deaths, Probes: v.Probes, ProbeAt: v.ProbeAt,
	}
}

// survivalInterval is the least time by which a survival must be newer than the one reported before to be reported.
const survivalInterval = time.Second

// maxOutbox bounds the records that wait to be sent.
const maxOutbox = 256

// outbox holds the records that this instance has not sent yet.
type outbox struct {
	records   []SegmentRecord
	survivals map[Cause]time.Time // to report
	reported  map[Cause]time.Time // survivals that any instance has reported
	updates   chan struct{}
}

func newOutbox() outbox {
	return outbox{survivals: make(map[Cause]time.Time), reported: make(map[Cause]time.Time), updates: make(chan struct{}, 1)}
}

func (o *outbox) add(rec SegmentRecord) {
	if len(o.records) < maxOutbox {
		o.records = append(o.records, rec)
	}
	o.signal()
}

// addControl queues controls in place of older ones for the same segments of a death.
func (o *outbox) addControl(rec SegmentRecord) {
	for i, old := range o.records {
		if old.Kind == RecordControl && old.Death.ID == rec.Death.ID && slices.Equal(old.Segments, rec.Segments) {
			o.records[i] = rec
			return
		}
	}
	o.add(rec)
}

// dropTrial removes a queued reminder of a trial: a peer has reported it.
func (o *outbox) dropTrial(c Cause) {
	o.records = slices.DeleteFunc(o.records, func(r SegmentRecord) bool {
		return r.Kind == RecordTrial && r.Service == c.Service && r.Model == c.Model && slices.Equal(r.Segments, []uint64{c.Segment})
	})
}

// offerSurvival queues a survival unless one that is about as new has been reported.
func (o *outbox) offerSurvival(c Cause, at time.Time) {
	if at.Sub(o.reported[c]) < survivalInterval {
		return
	}
	o.survivals[c] = at
	o.signal()
}

// heard notes a survival that a peer has reported.
func (o *outbox) heard(c Cause, at time.Time) {
	if len(o.reported) >= maxOutbox {
		clear(o.reported)
	}
	if at.After(o.reported[c]) {
		o.reported[c] = at
	}
	if own, ok := o.survivals[c]; ok && own.Sub(at) < survivalInterval {
		delete(o.survivals, c)
	}
}

func (o *outbox) signal() {
	select {
	case o.updates <- struct{}{}:
	default:
	}
}

// Updates receives a value when there are records to send to peers.
func (t *SegmentTable) Updates() <-chan struct{} { return t.outbox.updates }

// Take returns the records to send to all peers, and forgets them.
func (t *SegmentTable) Take() []SegmentRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.outbox.records
	t.outbox.records = nil
	for _, c := range slices.SortedFunc(maps.Keys(t.outbox.survivals), func(a, b Cause) int {
		return a.compare(b)
	}) {
		at := t.outbox.survivals[c]
		out = append(out, SegmentRecord{Kind: RecordSurvival, Service: c.Service, Model: c.Model, Segments: []uint64{c.Segment}, At: at})
		delete(t.outbox.survivals, c)
		t.outbox.heard(c, at)
	}
	return out
}

// ConvictionRecords returns records of the convictions in force, to be repeated to peers: some may have joined since.
func (t *SegmentTable) ConvictionRecords() []SegmentRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SegmentRecord
	for _, v := range t.refused {
		if !v.Fixed {
			out = append(out, v.record())
		}
	}
	return out
}

// Merge applies the records of a peer.
func (t *SegmentTable) Merge(now time.Time, recs []SegmentRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range recs {
		t.mergeRecord(now, rec)
	}
	t.acquit(now)
}

func (t *SegmentTable) mergeRecord(now time.Time, rec SegmentRecord) {
	if len(rec.Segments) == 0 || len(rec.Segments) > t.cfg.MaxDeathRecords || rec.At.After(now) {
		return
	}
	switch rec.Kind {
	case RecordDeath:
		if t.recordDeath(now, rec) {
			t.compare(now, t.deaths[rec.Death.ID], rec)
			t.remindOfTrials(now, rec)
		}
	case RecordControl:
		t.mergeControls(rec)
	case RecordTrial:
		t.mergeTrial(rec)
	case RecordSurvival:
		for _, s := range rec.Segments {
			c := Cause{Service: rec.Service, Model: rec.Model, Segment: s}
			t.known.add(rec.At, c)
			t.outbox.heard(c, rec.At)
		}
	case RecordConviction:
		v := &Conviction{
			Service: rec.Service, Model: rec.Model, Segments: slices.Sorted(slices.Values(rec.Segments)),
			Deaths: rec.Deaths, LastDeath: rec.At, ProbeAt: rec.ProbeAt, Probes: rec.Probes,
		}
		if t.adopt(now, v, SourcePeer) {
			return
		}
		// The peer has not heard of the survivals that disprove it.
		for _, s := range v.Segments {
			c := Cause{Service: v.Service, Model: v.Model, Segment: s}
			if at := t.known.last(now, c); at.After(v.LastDeath) {
				delete(t.outbox.reported, c)
				t.outbox.offerSurvival(c, at)
			}
		}
	}
}
