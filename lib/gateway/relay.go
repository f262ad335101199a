package gateway

import (
	"errors"
	"io"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// recordPrefill records the time to a first event for the prefill rates, here and at the owner.
func (g *Gateway) recordPrefill(sample owner.PrefillSample) {
	g.placer.Prefill.Observe(sample.Service, sample.Unread, sample.Took)
	if g.Owners != nil {
		g.Owners.RecordPrefill(sample)
	}
}

// recordPace records the time since the previous events of a stream from a target, of which count have just arrived.
func (g *Gateway) recordPace(clock *eventClock, target string, count int, cut bool) {
	if g.Owners == nil {
		return
	}
	shortest, gap := clock.arrive(time.Now(), count, cut)
	if gap > 0 {
		g.Owners.RecordPace(owner.Pace{Target: target, Shortest: shortest, Longest: gap})
	}
}

// errNoEvent means that a response ended by the end of its connection brought no event.
var errNoEvent = errors.New("gateway: the response has neither a length nor an event")

// relay forwards complete events as they arrive.
func (r *run) relay(x *exchange) end {
	events := eventBuffer{memory: r.g.Memory}
	var clock eventClock
	var firstOutput time.Time
	p := make([]byte, 4<<10)
	for {
		n, err := x.resp.Read(p)
		if n > 0 {
			r.recordContact(x.target.ID)
			whole, count, id, eerr := events.add(p[:n])
			if eerr != nil {
				x.err = eerr
				return endBroken
			}
			r.g.recordPace(&clock, x.target.ID, count, n == len(p))
			if now := time.Now(); count > 0 && firstOutput.IsZero() {
				firstOutput = now
			} else if count > 0 {
				x.run.segments.SurviveAfter(now, firstOutput)
			}
			if werr := r.forward(x.resp, whole, count, id); werr != nil {
				x.err = werr
				return endCaller
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && !events.incomplete():
			if x.resp.CloseDelimited() && !r.headSent && r.lastID == "" && !r.stoppedByMove(x.resp) {
				// Only the end of the connection ends this response. Without any event that is more likely the target's crash.
				x.err = errNoEvent
				return endBroken
			}
			x.whole = true
			if r.stoppedByMove(x.resp) {
				return endMoved
			}
			if !r.headSent {
				// An empty stream is a valid response, too.
				if werr := r.forward(x.resp, nil, 0, ""); werr != nil {
					return endCaller
				}
			}
			return endComplete
		default:
			x.err = err
			return r.breakReason()
		}
	}
}

// stoppedByMove reports whether the end of a response without Content-Length was caused by a move.
func (r *run) stoppedByMove(resp *wirehttp.Response) bool {
	if !resp.CloseDelimited() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handoff != nil
}

// breakReason distinguishes a stream stopped by a move from a broken one.
func (r *run) breakReason() end {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handoff != nil {
		return endMoved
	}
	return endBroken
}

// forward sends complete events to the caller. The head is sent with the first event: until then another target can respond.
func (r *run) forward(resp *wirehttp.Response, whole []byte, count int, id string) error {
	if r.lastID != "" {
		var seen int
		if whole, seen = dropSeen(whole, r.lastID); seen > 0 {
			r.logRepeated(seen)
			count -= seen
		}
	}
	if len(whole) == 0 && (r.headSent || !resp.Ended()) {
		return nil
	}
	if !r.headSent {
		r.headSent = true
		r.written = cutUnread(r.w, r.c.limit, nil) // its engine is not read after that
		r.begin(r.currentTarget().Software)
		r.g.copyHead(r.w, resp.Header)
		r.w.WriteHeader(resp.Status)
		r.firstAt = time.Now()
		r.answered()
		r.g.times.ObserveFirst(r.c.kind(), r.firstAt.Sub(r.sentAt))
		r.g.recordPrefill(owner.PrefillSample{
			Service: r.c.service, Target: r.currentTarget().ID, Unread: r.lastKnown.Load.Unread, Took: r.firstAt.Sub(r.sentAt),
		})
		r.g.Log.FirstEvent(r.c.entry(), r.currentTarget().ID, r.waited)
		r.c.observe(metricFirst)
	}
	if _, err := r.w.Write(whole); err != nil {
		return err
	}
	if id != "" {
		r.lastID = id
	}
	if count > 0 {
		now := time.Now()
		if !r.lastEventAt.IsZero() {
			r.c.observeGap(now.Sub(r.lastEventAt))
			r.pause = max(r.pause, now.Sub(r.lastEventAt))
		}
		r.lastEventAt = now
		r.events += count
		r.addOutput(count)
	}
	return r.rc.Flush()
}

// logRepeated counts events that a target sent although the caller has them, and logs them once per stream.
func (r *run) logRepeated(n int) {
	if !r.repeatLogged {
		r.g.Log.EventsRepeated(r.c.entry(), r.currentTarget().ID, r.lastID, n)
	}
	r.repeatLogged = true
	r.c.count(metricRepeat, "service", r.c.service)
}
