package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

const (
	// dialTimeout bounds opening a connection. Targets are milliseconds away; an unreachable one never answers.
	dialTimeout = 250 * time.Millisecond
	// maxDials bounds the unsuccessful connection attempts for one call.
	maxDials = 4
	// firstAttemptShare is the share of the remaining time after which an attempt without a response is abandoned, if the call
	// may be repeated: the rest is needed for another target.
	firstAttemptShare = 0.4
)

// exchange is one request to one target and its result.
type exchange struct {
	target  fleet.Info
	verdict verdict
	resp    *wirehttp.Response
	body    []byte
	err     error
	run     *execution
	sent    bool   // a target may have seen the request
	direct  bool   // it went over this instance's own link, not by way of a peer
	via     string // peer by way of which it went
	whole   bool   // the stream ended between two events and without an error

	forwarded  bool // a part of the response to a plain request has been sent to the caller
	callerLeft bool // and the caller accepts no more
}

// servePlain serves a call with a single response, which is read completely before any of it is forwarded, unless it is too large for that.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	var last *exchange
	dials := 0
	for !g.endsTooLate(c) {
		target, ok := g.acquire(ctx, c, fleet.Need{Service: c.service, Exclude: c.tried, Regions: g.regions(c)})
		if !ok {
			break
		}
		ref := g.acquireProbe(c)
		if ref == nil {
			ref = g.checkSegments(c, nil)
		}
		if ref != nil {
			g.Fleet.Release(time.Now(), target.ID, fleet.Load{}, fleet.Abandoned)
			g.refuse(w, c, *ref)
			return
		}
		lastKnown := g.Fleet.KnownState(time.Now(), target.ID)
		sendCtx, cancel := context.WithCancel(ctx)
		run := g.beginExecution(c, target, cancel)
		x := g.send(sendCtx, w, c, target)
		convicted := sendCtx.Err() != nil && ctx.Err() == nil
		cancel()
		g.endExecution(c, run, x, x.verdict == verdictGood, x.sent && x.err != nil && ctx.Err() == nil && !convicted && !x.callerLeft)
		c.tried[target.ID] = true
		outcome := g.judge(target, x.outcome(ctx), x.direct)
		g.Fleet.Release(time.Now(), target.ID, fleet.Load{}, outcome)
		if g.Owners != nil {
			g.Owners.RecordPlainOutcome(c.service, target.ID, outcome)
		}
		g.Log.Sent(c.entry(), target, lastKnown, x.via, x.statusCode(), x.verdict.String(), x.err)
		c.count(metricSent, "outcome", x.verdict.String())
		if x.forwarded {
			g.finishForwarded(c, x)
			return
		}
		if !x.sent {
			if ctx.Err() != nil || errors.Is(x.err, errEndsTooLate) {
				break
			}
			dials++
			if dials >= maxDials {
				break
			}
			continue
		}
		c.sends++
		c.mayHaveRun = c.mayHaveRun || x.verdict != verdictNotRun
		last = x
		if ctx.Err() != nil || x.verdict == verdictGood || !g.retryPlain(c, x) {
			break
		}
	}
	g.finishPlain(ctx, w, c, last)
}

const (
	// settlePoll is the interval of checks on a list of targets that is still incomplete.
	settlePoll = 20 * time.Millisecond
	// settleShare is the share of a call's time that it waits for such a list.
	settleShare = 0.5
)

// acquire chooses a target. An instance that was just started may have a list without any target of a service, because the
// entries expired in an outage of the store; it waits for them, since a refusal would use up the caller's only retry.
func (g *Gateway) acquire(ctx context.Context, c *call, need fleet.Need) (fleet.Info, bool) {
	deadline := time.Now().Add(time.Duration(settleShare * float64(c.timeLeft(time.Now()))))
	for {
		target, ok := g.acquirePermitted(ctx, need)
		if ok || c.sends > 0 || !g.Fleet.Settling(time.Now()) || time.Now().After(deadline) || ctx.Err() != nil || g.endsTooLate(c) {
			return target, ok
		}
		if avail := g.Fleet.Availability(time.Now(), need); avail.Blocked() {
			return target, false // the list has targets; waiting for others isn't worth the caller's time
		}
		time.Sleep(settlePoll)
	}
}

// retryPlain decides whether a call is sent to one more target after x.
func (g *Gateway) retryPlain(c *call, x *exchange) bool {
	if x.verdict == verdictNotRun {
		return g.maySendAgain(c)
	}
	return g.mayRepeat(c)
}

// send sends the call to one target and reads the whole response. If the call may be repeated, it leaves time for another attempt.
func (g *Gateway) send(ctx context.Context, w http.ResponseWriter, c *call, target fleet.Info) *exchange {
	x := &exchange{target: target, verdict: verdictFaulty}
	conn, err := g.connect(ctx, target)
	if err != nil {
		x.err = err
		return x
	}
	x.direct, x.via = isDirect(conn), viaOf(conn)
	abandon, callCtx := func() {}, ctx
	if c.route.MayRepeat() && c.sends+1 < c.route.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(firstAttemptShare*float64(c.timeLeft(time.Now()))))
		defer cancel()
		abandon = cancel
	}
	defer g.checkSlowResponse(conn, target, abandon)()
	stop := context.AfterFunc(ctx, conn.Close)
	defer g.conns.add(target, conn.Close)()
	if g.endsTooLate(c) {
		stop()
		conn.Close()
		x.err = errEndsTooLate
		return x
	}
	defer g.times.Sent(c.kind())()
	sentAt := time.Now()
	x.resp, x.err = g.roundTrip(conn, c, g.request(c, target.ID, sentAt))
	x.sent = x.err == nil || wirehttp.MaybeSent(x.err)
	if x.err == nil {
		x.verdict = g.classify(x.resp)
		g.Fleet.RecordContact(time.Now(), target.ID)
		g.ReadNotices(target, x.resp, sentAt)
		x.err = g.readAnswer(x, func() error {
			if stop() { // there will be no other attempt
				stop = context.AfterFunc(callCtx, conn.Close)
			}
			defer cutUnread(w, c.limit, nil)() // the rest can't be read after that
			return g.forwardAnswer(w, x)
		})
		if x.err != nil {
			// A truncated response proves nothing, whatever its head says.
			x.verdict = verdictFaulty
		}
	}
	if x.err == nil && x.verdict == verdictGood {
		g.times.ObserveAnswer(c.kind(), time.Since(sentAt))
	}
	if stop() && x.err == nil {
		g.Pool.Put(conn, x.resp)
	} else {
		conn.Close()
	}
	return x
}

// errEvacuated means that a target was chosen just before its failure domain was evacuated.
var errEvacuated = errors.New("gateway: the target's failure domain is evacuated")

// errEndsTooLate means that a call was not sent because this instance ends before the answer.
var errEndsTooLate = errors.New("gateway: the instance ends before the answer")

// connect is dial unless the target's failure domain is evacuated. All requests on callers' behalf pass through here, except those of runs
// that may continue at an evacuated engine: a run that is moved or resumed from a copy may have been placed seconds ago.
func (g *Gateway) connect(ctx context.Context, target fleet.Info) (*wirehttp.Conn, error) {
	if g.Fleet.Evacuated(target.Domain) {
		return nil, errEvacuated
	}
	return g.dial(ctx, target)
}

// dial opens or reuses a connection within dialTimeout.
func (g *Gateway) dial(ctx context.Context, target fleet.Info) (*wirehttp.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return g.Pool.Get(ctx, target.Addr)
}

// roundTrip sends the request and reads the head of the response.
func (g *Gateway) roundTrip(conn *wirehttp.Conn, c *call, req *wirehttp.Request) (*wirehttp.Response, error) {
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	return conn.Receive(c.method, g.Names.RequestID, c.id)
}

// outcome classifies the exchange for the target's health.
func (x *exchange) outcome(ctx context.Context) fleet.Outcome {
	switch {
	case x.err != nil && (ctx.Err() != nil || x.callerLeft), errors.Is(x.err, errEndsTooLate):
		return fleet.Abandoned
	case !x.sent:
		return fleet.Unreachable
	case x.verdict == verdictNotRun:
		return fleet.Refused
	case x.verdict == verdictGood:
		return fleet.Served
	default:
		return fleet.Failed
	}
}

func (x *exchange) statusCode() int {
	if x.resp == nil {
		return 0
	}
	return x.resp.Status
}

// finishPlain responds to the caller with the last exchange, or with a refusal.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, c *call, x *exchange) {
	switch {
	case !c.mayHaveRun && (x == nil || x.verdict == verdictNotRun) && g.endsTooLate(c):
		g.refuse(w, c, c.stoppingRefusal())
	case x == nil:
		g.refuse(w, c, g.noTargetRefusal(c))
	case x.err == nil && (x.verdict == verdictGood || x.verdict == verdictFailure):
		g.writeAnswer(w, c, x)
	case x.verdict == verdictNotRun && !c.mayHaveRun:
		g.refuse(w, c, c.unavailable("target_refused"))
	case ctx.Err() != nil:
		g.refuse(w, c, refusal{status: http.StatusGatewayTimeout, reason: "time_limit"})
	default:
		g.refuse(w, c, refusal{status: http.StatusBadGateway, reason: "target_failed"})
	}
}

func (g *Gateway) recordAnswered(c *call, x *exchange) {
	g.Log.Answered(c.entry(), x.target.ID, x.resp.Status, time.Since(c.arrived))
	c.observe(metricAnswer)
}

// writeAnswer forwards a complete response.
func (g *Gateway) writeAnswer(w http.ResponseWriter, c *call, x *exchange) {
	g.recordAnswered(c, x)
	g.copyHead(w, x.resp.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(x.body)))
	w.WriteHeader(x.resp.Status)
	defer g.cutUnreadBody(w, c, x.body)()
	// Write fails only if the caller has disconnected or reads too late; then nobody is left to inform.
	_, _ = w.Write(x.body)
}
