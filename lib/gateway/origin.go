package gateway

import (
	"context"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// unknownRetry is the Retry-After for a stream whose origin could not be looked up: an instance that has just lost its peers or the store
// reaches others soon.
const unknownRetry = 500 * time.Millisecond

// resumesStream reports whether the caller has events of the stream from an earlier attempt.
func (c *call) resumesStream() bool { return c.lastEvent != "" || c.resumes != "" }

// findOrigin finds which software version began a stream that its caller resumes, and returns a refusal if that is unknown: engines do not
// check who wrote the events that they continue from, so a guess would hand the caller a stream of two versions.
func (g *Gateway) findOrigin(ctx context.Context, c *call) *refusal {
	if g.Streams == nil || !c.resumesStream() {
		return nil
	}
	start := time.Now()
	origin := g.proveOrigin(ctx, c, g.Streams.FindStream(ctx, c.workspace, c.resumes, c.service))
	g.Log.Origin(c.entry(), origin, time.Since(start))
	c.software.ID = g.Fleet.ResolveSoftware(c.service, origin.Software)
	c.unlisted = origin.Unlisted
	switch {
	case origin.Software != 0:
		return nil
	case origin.Settled:
		return &refusal{status: http.StatusServiceUnavailable, reason: "stream_unknown"}
	}
	return &refusal{status: http.StatusServiceUnavailable, after: c.boundWait(unknownRetry), reason: "stream_unknown"}
}

const (
	// unlistedWait bounds the wait for a target of a version that this instance has never seen. An instance that stood still, or was cut off, reads the
	// list within some hundred milliseconds.
	unlistedWait = 900 * time.Millisecond
	// unlistedPoll is the pause between two looks at the list.
	unlistedPoll = 10 * time.Millisecond
)

// awaitListed waits for a target of the stream's version if this instance has never seen one: a stream began at one, so that its list is old. It reports
// whether to look for a target again.
func (r *run) awaitListed(ctx context.Context) bool {
	if !r.c.unlisted || r.headSent || r.c.sends > 0 || r.listAwaited {
		return false
	}
	r.listAwaited = true
	ctx, cancel := context.WithTimeout(ctx, r.c.boundWait(unlistedWait))
	defer cancel()
	for r.g.Fleet.Availability(time.Now(), r.need()).Accepting == 0 {
		select {
		case <-ctx.Done():
			return true // the owner of the engines may have read the list meanwhile
		case <-time.After(unlistedPoll):
		}
	}
	return true
}

// begin records which version made the first event that the caller is about to get: from then on no other may continue the stream.
func (r *run) begin(software fleet.Software) {
	if r.c.software.ID == 0 {
		r.c.software = software
	}
	r.recordStart()
}

// recordStart records which software version made the stream's events, or that it is doubted.
func (r *run) recordStart() {
	if r.g.Streams == nil || !r.c.route.MayRepeat() {
		return
	}
	start := StreamStart{
		Workspace: r.c.workspace, Attempt: r.c.id, Service: r.c.service, Software: r.c.software, Deadline: r.c.deadline,
	}
	switch {
	case r.doubted:
		start.Software = fleet.Software{}
	case r.unproven:
		start.Unproven = fleet.UnprovenRecord(r.currentTarget())
	}
	r.g.Streams.RecordStream(start)
}
