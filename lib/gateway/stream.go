package gateway

import (
	"context"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// handoffWait bounds how long a stopped run waits for the copy to continue from.
	handoffWait = copyTimeout + 500*time.Millisecond
)

// end is how a run's execution on one target ended.
type end uint8

const (
	endComplete end = iota
	endUnsent       // no connection, nothing was sent
	endNotRun       // the target proves that it executed nothing
	endFailure      // the target responded with a failure, before any event
	endBroken       // the stream stopped short
	endMoved        // the run was stopped by a move, to continue elsewhere
	endRefused      // the prompt has segments that crash targets
	endCaller       // the caller disconnected, or the time limit has passed
)

var endNames = [...]string{"complete", "unsent", "not_run", "failure", "broken", "moved", "refused", "caller"}

// String returns the name used in logs.
func (e end) String() string { return endNames[e] }

// placement is where a run starts or continues.
type placement struct {
	target    fleet.Info
	load      fleet.Load // already counted for the run there
	copyFrom  string     // address and handle of a copy; empty: start from the prompt and the last event
	kept      *keptRun   // where else the run may continue, if target doesn't execute it; nil: nowhere
	recounted bool       // the run was counted at target before and is not any more
	inGrace   bool       // target's failure domain is evacuated, and the run may continue there all the same
	byOwner   bool       // the target was chosen by an owner
	backup    string     // id of the engine that the owner found for the backup; empty: none
}

// serveStream serves a call whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	if ref := g.findOrigin(ctx, c); ref != nil {
		g.refuse(w, c, *ref)
		return
	}
	r := &run{g: g, c: c, w: w, rc: http.NewResponseController(w), lastID: c.lastEvent, written: func() {}}
	defer r.finish()
	defer func() { r.written() }()
	defer r.dropBackup()
	defer func() { g.releasePartialCopy(r, r.partialCopySource()) }()
	var to placement
	dials := 0
	for {
		if to.target.ID == "" {
			var retryAfter time.Duration
			to, retryAfter = r.place(ctx)
			if retryAfter > 0 {
				g.refuse(w, c, refusal{status: http.StatusServiceUnavailable, after: retryAfter, reason: "no_room"})
				return
			}
			if to.target.ID == "" && r.awaitListed(ctx) {
				continue
			}
			if to.target.ID == "" {
				r.endWithoutTarget(ctx)
				return
			}
		}
		if to.copyFrom == "" {
			c.tried[to.target.ID] = true
		}
		if !to.byOwner {
			r.lastKnown = g.Fleet.KnownState(time.Now(), to.target.ID)
		}
		e, x := r.runOn(ctx, to)
		g.Log.Sent(c.entry(), to.target, r.lastKnown, x.via, x.statusCode(), e.String(), x.err)
		c.count(metricSent, "outcome", e.String())
		var done bool
		to, done = r.decideNext(ctx, e, x, to)
		if done {
			return
		}
		if e == endUnsent && to.kept == nil {
			if dials++; dials >= maxDials {
				r.giveUp(ctx, "unreachable")
				return
			}
		}
	}
}

// decideNext decides what follows the end of the run at prev: the placement to continue at, where an empty target means a new
// choice, or that the response is done.
func (r *run) decideNext(ctx context.Context, e end, x *exchange, prev placement) (to placement, done bool) {
	resumed := prev.copyFrom != ""
	if (e == endUnsent || e == endNotRun) && prev.kept != nil {
		prev.kept.recordRejection(time.Now(), prev.target.ID, x.misplaced())
		if to, ok := r.awaitHolder(ctx, prev.kept); ok {
			return to, false
		}
		if !r.c.route.MayRepeat() {
			r.giveUp(ctx, "copy_lost")
			return placement{}, true
		}
	}
	switch e {
	case endComplete, endCaller:
		r.c.mayHaveRun = r.c.mayHaveRun || x.sent
		r.conclude(ctx, e)
		return placement{}, true
	case endUnsent:
		if !resumed {
			return placement{}, false
		}
	case endRefused:
		if r.refused.reason == "" {
			r.refused = segmentsRefusal // convicted while it ran
		}
		r.c.mayHaveRun = r.c.mayHaveRun || x.sent
		r.giveUp(ctx, r.refused.reason)
		return placement{}, true
	case endMoved:
		to = r.awaitHandoff()
		if to.target.ID == "" && x.whole {
			// The stream had completed: its engine had no run left to stop.
			r.conclude(ctx, endComplete)
			return placement{}, true
		}
		if to.target.ID == "" {
			r.giveUp(ctx, "copy_lost")
			return placement{}, true
		}
		r.g.Budget.ForceTake(time.Now(), r.c.service)
		return to, false
	case endBroken:
		if r.proveSoftware(ctx); r.doubted {
			break // a copy of its memory is at an engine of the listed version
		}
		if n, ok := r.takePartialCopy(prev.target.ID); ok {
			r.g.Log.ResumedFromBackup(r.c.entry(), n.target, r.events)
			r.g.Budget.ForceTake(time.Now(), r.c.service)
			return n, false
		}
		if resumed {
			break // the backup is of the run before it moved, and has not been updated since
		}
		if n, ok := r.resumeFromBackup(ctx); ok {
			r.g.Log.ResumedFromBackup(r.c.entry(), n.target, r.events)
			return n, false
		}
	}
	r.c.sends++
	r.c.mayHaveRun = r.c.mayHaveRun || e != endNotRun
	if !r.retryStream(e, resumed) {
		r.fail(ctx, e, x)
		return placement{}, true
	}
	return placement{}, false
}

// retryStream decides whether the run is sent to one more target, from its prompt.
func (r *run) retryStream(e end, resumed bool) bool {
	if e == endNotRun && !resumed && !r.headSent {
		return r.g.maySendAgain(r.c)
	}
	return r.g.mayRepeat(r.c)
}

// runOn executes the run on one target until it ends there.
func (r *run) runOn(ctx context.Context, to placement) (end, *exchange) {
	x := &exchange{target: to.target}
	r.start(to)
	e := endUnsent
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ref := r.g.acquireProbe(r.c) // before the run begins, since a probe is not cancelled
	x.run = r.g.beginExecution(r.c, to.target, cancel)
	defer func() {
		r.leave(e, x)
		r.g.endExecution(r.c, x.run, x, e == endComplete, e == endBroken)
	}()
	r.c.begun = r.headSent || to.copyFrom != ""
	if ref == nil {
		ref = r.g.checkSegments(r.c, x.run.segments)
	}
	if ref != nil {
		r.refused = *ref
		e = endRefused
		return e, x
	}
	conn, target, err := r.open(runCtx, to, x)
	if err != nil {
		x.err = err
		e = endOf(ctx, runCtx, e)
		return e, x
	}
	r.arrive(target)
	to.target = target
	// An idle connection would count against the engine's limit of connections, of which other instances need theirs.
	defer conn.Close()
	defer context.AfterFunc(runCtx, conn.Close)()
	defer r.g.conns.add(to.target, conn.Close)()
	e = r.exchange(runCtx, conn, to, x)
	if e != endComplete {
		e = endOf(ctx, runCtx, e)
	}
	if e == endComplete {
		conn.EndExchange(x.resp) // closed without a reset
	}
	return e, x
}

// endOf returns how a run ended that was e if nobody has cancelled it.
func endOf(caller, run context.Context, e end) end {
	switch {
	case caller.Err() != nil:
		return endCaller
	case run.Err() != nil:
		return endRefused
	}
	return e
}

// connect opens or reuses a connection for the run's request.
func (r *run) connect(ctx context.Context, to placement) (*wirehttp.Conn, error) {
	if to.inGrace {
		return r.g.dial(ctx, to.target)
	}
	return r.g.connect(ctx, to.target)
}

// exchange sends the request and forwards the events.
func (r *run) exchange(ctx context.Context, conn *wirehttp.Conn, to placement, x *exchange) end {
	if to.copyFrom == "" && !r.headSent && r.g.endsTooLate(r.c) {
		x.err = errEndsTooLate
		r.refused = r.c.stoppingRefusal()
		return endRefused
	}
	req := r.g.request(r.c, to.target.ID, time.Now())
	if r.lastID != "" {
		req.Replace(r.g.Names.LastEvent, r.lastID)
	}
	if to.copyFrom != "" {
		r.g.countForced(to.target)
		r.dropBackup() // made before the run continued here
		req.Replace(r.g.Names.CopyFrom, to.copyFrom)
	} else {
		r.chooseBackup(to)
		if b := r.backupTarget(); b.ID != "" {
			req.Replace(r.g.Names.Backup, b.Addr)
		}
	}
	if err := conn.Send(req); err != nil {
		x.err = err
		if !wirehttp.MaybeSent(err) {
			return endUnsent
		}
		x.sent = true
		return endBroken
	}
	x.sent = true
	r.sentAt = time.Now()
	r.answered = r.g.times.Sent(r.c.kind())
	defer r.answered()
	r.recordContact(to.target.ID)
	watch := r.watch(conn, to.target)
	defer watch.stop()
	x.resp, x.err = conn.Receive(r.c.method, r.g.Names.RequestID, r.c.id)
	if x.err != nil {
		return r.breakReason()
	}
	x.verdict = r.g.classify(x.resp)
	r.g.ReadNotices(to.target, x.resp, r.sentAt)
	r.g.Fleet.RecordContact(time.Now(), to.target.ID)
	switch x.verdict {
	case verdictGood:
		return r.relay(x)
	case verdictNotRun:
		return endNotRun
	case verdictFailure:
		if x.err = r.g.readAnswer(x, nil); x.err != nil {
			return endBroken
		}
		return endFailure
	}
	return endBroken
}

// conclude ends the response: complete, or visibly cut.
func (r *run) conclude(ctx context.Context, e end) {
	if e == endComplete {
		r.observeTimes()
		r.g.Log.Streamed(r.c.entry(), r.currentTarget().ID, r.events, r.pause)
		r.c.observe(metricAnswer)
		return
	}
	if r.headSent {
		r.abort("caller_or_limit")
	}
	if r.refusedByStop() {
		r.g.refuse(r.w, r.c, r.c.stoppingRefusal())
		return
	}
	reason := refusal{status: http.StatusGatewayTimeout, reason: "time_limit"}
	if !r.c.mayHaveRun && r.c.sends == 0 && ctx.Err() == nil {
		reason = r.c.unavailable("no_time")
	}
	r.g.refuse(r.w, r.c, reason)
}

// refusedByStop reports whether the run ends because the instance stops, and no target has executed it.
func (r *run) refusedByStop() bool {
	return !r.c.mayHaveRun && r.refused.reason != segmentsRefusal.reason && r.g.endsTooLate(r.c)
}

// observeTimes records how long the complete stream took. The time of one that ran on several targets says nothing about the next.
func (r *run) observeTimes() {
	if r.c.engine == nil {
		r.g.times.ObserveAnswer(r.c.kind(), time.Since(r.sentAt))
		return
	}
	tokens := r.outputTokens
	if r.c.maxOutput > 0 {
		tokens = min(tokens, r.c.maxOutput) // estimates are made from the caller's maximum, whatever the engine counts
	}
	r.g.times.ObserveTokens(r.c.kind(), tokens, r.lastEventAt.Sub(r.firstAt))
}

// giveUp ends a run that can't be continued anywhere.
func (r *run) giveUp(ctx context.Context, reason string) {
	switch {
	case r.headSent:
		r.abort(reason)
	case r.refusedByStop():
		r.g.refuse(r.w, r.c, r.c.stoppingRefusal())
	case ctx.Err() != nil:
		r.g.refuse(r.w, r.c, refusal{status: http.StatusGatewayTimeout, reason: "time_limit"})
	case r.c.mayHaveRun:
		r.g.refuse(r.w, r.c, refusal{status: http.StatusBadGateway, reason: reason})
	case reason == r.refused.reason:
		r.g.refuse(r.w, r.c, r.refused)
	default:
		r.g.refuse(r.w, r.c, r.c.unavailable(reason))
	}
}

// endWithoutTarget ends a run for which no target was found.
func (r *run) endWithoutTarget(ctx context.Context) {
	if !r.headSent && !r.c.mayHaveRun && ctx.Err() == nil && !r.refusedByStop() {
		r.g.refuse(r.w, r.c, r.g.noTargetRefusal(r.c))
		return
	}
	r.giveUp(ctx, "no_target")
}

// fail ends a run whose last target failed.
func (r *run) fail(ctx context.Context, e end, x *exchange) {
	if e == endFailure && !r.headSent {
		r.g.writeAnswer(r.w, r.c, x)
		return
	}
	r.giveUp(ctx, "target_"+e.String())
}

// abort closes the caller's connection, so that a truncated stream does not look complete.
func (r *run) abort(reason string) {
	r.g.Log.StreamCut(r.c.entry(), r.currentTarget().ID, reason, r.events)
	r.c.count(metricCut, "reason", reason)
	panic(http.ErrAbortHandler)
}
