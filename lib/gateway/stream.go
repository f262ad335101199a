package gateway

import (
	"context"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// handoffWait bounds the wait for the copy of a run whose stream has stopped for it.
	handoffWait = copyTimeout + 500*time.Millisecond
)

// end is how a run ended at one target.
type end uint8

const (
	endComplete end = iota
	endUnsent       // no connection, nothing was sent
	endNotRun       // the target proves that it ran nothing
	endFailure      // the target answered with a failure, before any event
	endBroken       // the stream stopped short
	endMoved        // the run was stopped to go on elsewhere
	endCaller       // the caller left, or the time is over
)

var endNames = [...]string{"complete", "unsent", "not_run", "failure", "broken", "moved", "caller"}

// String returns the name used in logs.
func (e end) String() string { return endNames[e] }

// next says where a run goes on.
type next struct {
	target   fleet.Info
	counted  fleet.Load // what the run counts for there already
	copyFrom string     // address and handle of a copy; empty: from the prompt and the last event
	source   fleet.Info // where the run has stopped, which keeps its memory; empty: not known, or target itself
	owned    bool       // an owner has chosen the target
	backup   string     // id of the engine that the owner has found for a copy; empty: none
}

// serveStream serves a call that is answered by events.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	if g.endsTooSoon(c) {
		g.refuse(w, c, refusal{status: http.StatusServiceUnavailable, after: c.wait(againElsewhere), reason: "stopping"})
		return
	}
	r := &run{g: g, c: c, w: w, out: http.NewResponseController(w), lastID: c.lastEvent}
	defer r.finish()
	defer r.dropBackup()
	defer func() { g.dropCopy(r, r.copySource()) }()
	var to next
	dials := 0
	for {
		if to.target.ID == "" {
			var away time.Duration
			to, away = r.place(ctx)
			if away > 0 {
				g.refuse(w, c, refusal{status: http.StatusServiceUnavailable, after: away, reason: "no_room"})
				return
			}
			if to.target.ID == "" {
				r.unplaced(ctx)
				return
			}
		}
		if to.copyFrom == "" {
			c.tried[to.target.ID] = true
		}
		if !to.owned {
			r.believed = g.Fleet.KnownState(time.Now(), to.target.ID)
		}
		e, x := r.runOn(ctx, to)
		g.Log.Sent(c.entry(), to.target.ID, r.believed, x.statusCode(), e.String(), x.err)
		c.count(metricSent, "outcome", e.String())
		var done bool
		to, done = r.follow(ctx, e, x, to)
		if done {
			return
		}
		if e == endUnsent {
			if dials++; dials >= maxDials {
				r.giveUp(ctx, "unreachable")
				return
			}
		}
	}
}

// stopShare is the part of the time until this instance ends that a stream may be expected to take. Guesses of length are
// often short by half, a stream that is cut is lost, and one that is refused at once begins elsewhere in time.
const stopShare = 0.5

// endsTooSoon reports whether this instance stops before a stream would end that can't be run again elsewhere.
func (g *Gateway) endsTooSoon(c *call) bool {
	by := g.stopBy.Load()
	if by == nil || c.route.MayRepeat() {
		return false
	}
	return g.paces.span(c.service, c.output) > time.Duration(stopShare*float64(time.Until(*by)))
}

// follow decides what comes after the run has ended at the target of at: where it goes on, with an empty target for a
// new choice, or that its answer is done.
func (r *run) follow(ctx context.Context, e end, x *exchange, at next) (to next, done bool) {
	resumed := at.copyFrom != ""
	if (e == endUnsent || e == endNotRun) && at.source.ID != "" {
		// A copy that was not taken is still good, and so is what it was made of.
		r.g.Budget.Spend(time.Now(), r.c.service)
		return next{target: at.source, copyFrom: at.copyFrom}, false
	}
	switch e {
	case endComplete, endCaller:
		r.conclude(ctx, e)
		return next{}, true
	case endUnsent:
		if !resumed {
			return next{}, false
		}
	case endMoved:
		to = r.taken()
		if to.target.ID == "" && x.whole {
			// The stream ended by itself: its engine had no run left to stop.
			r.conclude(ctx, endComplete)
			return next{}, true
		}
		if to.target.ID == "" {
			r.giveUp(ctx, "copy_lost")
			return next{}, true
		}
		r.g.Budget.Spend(time.Now(), r.c.service)
		return to, false
	case endBroken:
		if n, ok := r.takeCopy(at.target.ID); ok {
			r.g.Log.FromBackup(r.c.entry(), n.target.ID, r.events)
			r.g.Budget.Spend(time.Now(), r.c.service)
			return n, false
		}
		if resumed {
			break // the copy is of the run before it moved, and has not grown since
		}
		if n, ok := r.fromBackup(); ok {
			r.g.Log.FromBackup(r.c.entry(), n.target.ID, r.events)
			r.g.Budget.Spend(time.Now(), r.c.service)
			return n, false
		}
	}
	r.c.sends++
	r.c.mayRan = r.c.mayRan || e != endNotRun
	if !r.onward(e, resumed) {
		r.fail(ctx, e, x)
		return next{}, true
	}
	return next{}, false
}

// onward decides whether the run goes to one more target from its prompt.
func (r *run) onward(e end, resumed bool) bool {
	if e == endNotRun && !resumed && !r.begun {
		return r.g.maySendAgain(r.c)
	}
	return r.g.mayRepeat(r.c)
}

// runOn runs the stream on one target until it ends there.
func (r *run) runOn(ctx context.Context, to next) (end, *exchange) {
	x := &exchange{target: to.target}
	r.enter(to)
	e := endUnsent
	run := r.g.poison.Started(to.target.ID, r.c.print)
	defer func() {
		r.leave(e, x)
		r.g.ended(run, to.target, e == endComplete, e == endBroken)
	}()
	conn, err := r.g.connect(ctx, to.target)
	if err != nil {
		x.err = err
		if ctx.Err() != nil {
			e = endCaller
		}
		return e, x
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	defer r.g.sends.add(to.target, conn.Close)()
	e = r.exchange(ctx, conn, to, x)
	if ctx.Err() != nil && e != endComplete {
		e = endCaller
	}
	if e == endComplete && stop() {
		r.g.Pool.Put(conn, x.resp)
	}
	return e, x
}

// exchange sends the request and passes the events on.
func (r *run) exchange(ctx context.Context, conn *wirehttp.Conn, to next, x *exchange) end {
	req := r.g.request(r.c, to.target.ID, time.Now())
	if r.lastID != "" {
		req.Header.Set(r.g.Names.LastEvent, r.lastID)
	}
	if to.copyFrom != "" {
		r.g.forced(to.target)
		r.dropBackup() // of the run before it went on here
		req.Header.Set(r.g.Names.CopyFrom, to.copyFrom)
	} else {
		r.chooseBackup(to)
		if b := r.backupAt(); b.ID != "" {
			req.Header.Set(r.g.Names.Backup, b.Addr)
		}
	}
	if err := conn.Send(req); err != nil {
		x.err = err
		if !wirehttp.MaybeSent(err) {
			return endUnsent
		}
		return endBroken
	}
	x.sent = true
	r.sentAt = time.Now()
	r.heard(to.target.ID)
	watch := r.watch(conn, to.target.ID)
	defer watch.stop()
	x.resp, x.err = conn.Receive(r.c.method, r.g.Names.RequestID, r.c.id)
	if x.err != nil {
		return r.broken()
	}
	x.verdict = r.g.judge(x.resp)
	r.g.ReadNotices(to.target, x.resp, r.sentAt)
	r.g.Fleet.RecordContact(time.Now(), to.target.ID)
	switch x.verdict {
	case verdictGood:
		return r.relay(x)
	case verdictNotRun:
		return endNotRun
	case verdictFailure:
		x.body, x.err = x.resp.ReadAll(answerLimit)
		if x.err != nil {
			return endBroken
		}
		return endFailure
	}
	return endBroken
}

// conclude ends the answer: whole, or visibly cut.
func (r *run) conclude(ctx context.Context, e end) {
	if e == endComplete {
		r.g.paces.saw(r.c.service, r.made, r.passed.Sub(r.firstAt))
		r.g.Log.Streamed(r.c.entry(), r.at().ID, r.events, r.pause)
		r.c.observe(metricAnswer)
		return
	}
	if r.begun {
		r.abort("caller_or_limit")
	}
	reason := refusal{status: http.StatusGatewayTimeout, reason: "time_limit"}
	if !r.c.mayRan && r.c.sends == 0 && ctx.Err() == nil {
		reason = r.c.again("no_time")
	}
	r.g.refuse(r.w, r.c, reason)
}

// giveUp ends a run that has no target to go to.
func (r *run) giveUp(ctx context.Context, reason string) {
	switch {
	case r.begun:
		r.abort(reason)
	case ctx.Err() != nil:
		r.g.refuse(r.w, r.c, refusal{status: http.StatusGatewayTimeout, reason: "time_limit"})
	case r.c.mayRan:
		r.g.refuse(r.w, r.c, refusal{status: http.StatusBadGateway, reason: reason})
	default:
		r.g.refuse(r.w, r.c, r.c.again(reason))
	}
}

// unplaced ends a run that finds no target.
func (r *run) unplaced(ctx context.Context) {
	if !r.begun && !r.c.mayRan && ctx.Err() == nil {
		r.g.refuse(r.w, r.c, r.g.unplaced(r.c))
		return
	}
	r.giveUp(ctx, "no_target")
}

// fail ends a run whose last target failed it.
func (r *run) fail(ctx context.Context, e end, x *exchange) {
	if e == endFailure && !r.begun {
		r.g.answer(r.w, r.c, x)
		return
	}
	r.giveUp(ctx, "target_"+e.String())
}

// abort cuts the caller's connection, so that a stream that stopped short does not look complete.
func (r *run) abort(reason string) {
	r.g.Log.Cut(r.c.entry(), r.at().ID, reason, r.events)
	r.c.count(metricCut, "reason", reason)
	panic(http.ErrAbortHandler)
}
