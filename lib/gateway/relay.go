package gateway

import (
	"errors"
	"io"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// learnReading learns how fast prompts are read, here and at the owner.
func (g *Gateway) learnReading(m owner.PrefillSample) {
	g.placer.Prefill.Observe(m.Service, m.Unread, m.Took)
	if g.Owners != nil {
		g.Owners.RecordPrefill(m)
	}
}

// relay passes whole events on as they come.
func (r *run) relay(x *exchange) end {
	var events eventBuffer
	p := make([]byte, 4<<10)
	for {
		n, err := x.resp.Read(p)
		if n > 0 {
			r.heard(x.target.ID)
			whole, count, id, eerr := events.add(p[:n])
			if eerr != nil {
				x.err = eerr
				return endBroken
			}
			if werr := r.pass(x.resp, whole, count, id); werr != nil {
				x.err = werr
				return endCaller
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && !events.rest():
			x.whole = true
			if r.stopped(x.resp) {
				return endMoved
			}
			if !r.begun {
				// An empty stream is an answer, too.
				if werr := r.pass(x.resp, nil, 0, ""); werr != nil {
					return endCaller
				}
			}
			return endComplete
		default:
			x.err = err
			return r.broken()
		}
	}
}

// stopped reports whether the end of an answer without a stated length is the doing of a move.
func (r *run) stopped(resp *wirehttp.Response) bool {
	if !resp.EndsWithConn() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handoff != nil
}

// broken tells a stream that was stopped by a move from one that broke.
func (r *run) broken() end {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handoff != nil {
		return endMoved
	}
	return endBroken
}

// pass gives whole events to the caller. The head waits for the first one: until then another target can still answer.
func (r *run) pass(resp *wirehttp.Response, whole []byte, count int, id string) error {
	if r.lastID != "" {
		var had int
		if whole, had = after(whole, r.lastID); had > 0 {
			r.repeated(had)
			count -= had
		}
	}
	if len(whole) == 0 && (r.begun || !resp.Ended()) {
		return nil
	}
	if !r.begun {
		r.begun = true
		r.g.copyHead(r.w, resp.Header)
		r.w.WriteHeader(resp.Status)
		r.firstAt = time.Now()
		r.g.learnReading(owner.PrefillSample{Service: r.c.service, Unread: r.believed.Load.Unread, Took: r.firstAt.Sub(r.sentAt)})
		r.g.Log.Begun(r.c.entry(), r.at().ID, r.waited)
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
		if !r.passed.IsZero() {
			r.c.observeGap(now.Sub(r.passed))
			r.pause = max(r.pause, now.Sub(r.passed))
		}
		r.passed = now
		r.events += count
		r.grow(count)
	}
	return r.out.Flush()
}

// repeated tells of events that a target sent although the caller has them, once a stream.
func (r *run) repeated(n int) {
	if !r.heardTwice {
		r.g.Log.Repeated(r.c.entry(), r.at().ID, r.lastID, n)
	}
	r.heardTwice = true
	r.c.count(metricRepeat, "service", r.c.service)
}
