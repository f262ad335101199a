package gatewayproc

import (
	"cmp"
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/gateway"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/resume"
)

// recordMargin is how long a record outlives the caller's deadline: clocks are stepped, and a last attempt may be on its way.
const recordMargin = 3 * time.Second

// maxRecordTTL bounds how long a record is kept, whatever deadline a caller names.
const maxRecordTTL = 10 * time.Minute

// streams implements gateway.Streams.
type streams struct{ p *Process }

// newStreams assembles the records of streams.
func (p *Process) newStreams() {
	onErr := func(operation string, err error) {
		logline.Send(log.Warn().Str("event", "stream_records_failed").Str("operation", operation), err)
	}
	p.keeper = resume.NewKeeper(p.cfg.Instance, p.site.StreamRows, p.onlySoftware, onErr)
	p.keeper.Prove = p.proveOnlySoftware
	p.recorder = resume.NewRecorder(p.self(), p.link, p.keeper)
	p.link.Streams = p.recorder
	p.gate.Streams = streams{p}
}

// RecordStream implements gateway.Streams.
func (s streams) RecordStream(start gateway.StreamStart) {
	expires := time.Now().Add(min(time.Until(start.Deadline), maxRecordTTL) + recordMargin)
	e := resume.Entry{Key: resume.Key(start.Workspace, start.Attempt), Software: cmp.Or(start.Unproven, start.Software.ID), Expires: expires}
	// An instance that holds a subset of the targets may see a version here first.
	turned := s.p.software.observe(time.Now(), start.Service, start.Software.ID)
	mixed := s.p.software.isMixed(time.Now(), start.Service)
	s.p.recorder.Record(e, mixed)
	if turned || !mixed && s.p.software.isMixed(time.Now(), start.Service) {
		s.p.storeStreams()
	}
}

// storeStreams writes to the store the records of streams of services with several versions that are held only in memory. It is called when a service
// gets its second version, and after a restore of the store.
func (p *Process) storeStreams() {
	if now := time.Now(); p.software.anyMixed(now) {
		p.recorder.StoreHeld(func(version uint64) bool { return p.software.mayBeMixed(now, version) })
	}
}

// FindStream implements gateway.Streams.
func (s streams) FindStream(ctx context.Context, workspace, attempt, service string) gateway.StreamOrigin {
	found := s.p.recorder.Find(ctx, resume.Key(workspace, attempt), service)
	return gateway.StreamOrigin{
		Software: found.Software, Settled: found.Settled, Unlisted: found.Software != 0 && !s.p.software.hasSeen(service, found.Software),
	}
}

// handOverTimeout bounds the hand-over of records when this instance stops.
const handOverTimeout = 120 * time.Millisecond

// handOver passes the records that this instance holds on to its peers: at the start of a graceful stop, and at its end for those of the streams
// that began meanwhile.
func (p *Process) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	p.recorder.HandOver(ctx)
}

// handOverBy is handOver with an end, if that comes earlier than its time limit.
func (p *Process) handOverBy(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	p.handOver(ctx)
}
