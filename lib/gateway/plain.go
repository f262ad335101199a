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
	// dialTimeout bounds opening a connection. Targets are milliseconds away; one that is dark never answers.
	dialTimeout = 250 * time.Millisecond
	// maxDials bounds the targets tried for one call without sending anything.
	maxDials = 4
	// answerLimit bounds, in bytes, an answer that is held whole before it is passed on.
	answerLimit = 16 << 20
	// hedgeShare is the part of the time left after which a silent target is given up on, for a call that may be
	// repeated: the rest must do for another target.
	hedgeShare = 0.4
)

// exchange is one send to one target.
type exchange struct {
	target  fleet.Info
	verdict verdict
	resp    *wirehttp.Response
	body    []byte
	err     error
	sent    bool // a target may have seen the request
	whole   bool // a stream that ended between two events, and not by an error
}

// servePlain serves a call with one answer, which is read whole before the caller sees any of it.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, c *call) {
	var last *exchange
	dials := 0
	for {
		target, ok := g.acquire(ctx, c, fleet.Need{Service: c.service, Exclude: c.tried, Regions: g.regions(c)})
		if !ok {
			break
		}
		run := g.poison.Started(target.ID, c.print)
		believed := g.Fleet.KnownState(time.Now(), target.ID)
		x := g.send(ctx, c, target, c.route.MayRepeat() && c.sends+1 < c.route.MaxAttempts)
		g.ended(run, target, x.verdict == verdictGood, x.sent && x.err != nil && ctx.Err() == nil)
		c.tried[target.ID] = true
		outcome := x.outcome(ctx)
		g.Fleet.Release(time.Now(), target.ID, fleet.Load{}, outcome)
		if g.Owners != nil {
			g.Owners.RecordPlainOutcome(c.service, target.ID, outcome)
		}
		g.Log.Sent(c.entry(), target.ID, believed, x.statusCode(), x.verdict.String(), x.err)
		c.count(metricSent, "outcome", x.verdict.String())
		if !x.sent {
			if ctx.Err() != nil {
				break
			}
			dials++
			if dials >= maxDials {
				break
			}
			continue
		}
		c.sends++
		c.mayRan = c.mayRan || x.verdict != verdictNotRun
		last = x
		if ctx.Err() != nil || x.verdict == verdictGood || !g.onward(c, x) {
			break
		}
	}
	g.finishPlain(ctx, w, c, last)
}

const (
	// listPoll is the pause between two looks at a list that is still filling.
	listPoll = 20 * time.Millisecond
	// listPart is the part of a call's time that it waits for one.
	listPart = 0.5
)

// acquire chooses a target. An instance that has just been started may know a list that lacks every target of
// a service, because their entries lapsed in an outage; a refusal would use up the caller's only repeat.
func (g *Gateway) acquire(ctx context.Context, c *call, need fleet.Need) (fleet.Info, bool) {
	until := time.Now().Add(time.Duration(listPart * float64(c.left(time.Now()))))
	for {
		target, ok := g.take(ctx, need)
		if ok || c.sends > 0 || !g.Fleet.Settling(time.Now()) || time.Now().After(until) || ctx.Err() != nil {
			return target, ok
		}
		if stand := g.Fleet.Availability(time.Now(), need); stand.Blocked() {
			return target, false // the list has targets, and no wait for others is worth the caller's time
		}
		time.Sleep(listPoll)
	}
}

// onward decides whether a call goes to one more target after x.
func (g *Gateway) onward(c *call, x *exchange) bool {
	if x.verdict == verdictNotRun {
		return g.maySendAgain(c)
	}
	return g.mayRepeat(c)
}

// send makes one exchange and reads the whole answer.
func (g *Gateway) send(ctx context.Context, c *call, target fleet.Info, spare bool) *exchange {
	x := &exchange{target: target, verdict: verdictFaulty}
	conn, err := g.connect(ctx, target)
	if err != nil {
		x.err = err
		return x
	}
	if spare {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(hedgeShare*float64(c.left(time.Now()))))
		defer cancel()
	}
	stop := context.AfterFunc(ctx, conn.Close)
	defer g.sends.add(target, conn.Close)()
	asked := time.Now()
	x.resp, x.err = g.ask(conn, c, g.request(c, target.ID, asked))
	x.sent = x.err == nil || wirehttp.MaybeSent(x.err)
	if x.err == nil {
		x.verdict = g.judge(x.resp)
		g.ReadNotices(target, x.resp, asked)
		x.body, x.err = x.resp.ReadAll(answerLimit)
		if x.err != nil {
			// A cut answer proves nothing, whatever its head says.
			x.verdict = verdictFaulty
		}
	}
	if stop() && x.err == nil {
		g.Pool.Put(conn, x.resp)
	} else {
		conn.Close()
	}
	return x
}

// errEvacuated says that a target was chosen just before its failure domain was evacuated.
var errEvacuated = errors.New("gateway: the target's failure domain is evacuated")

// connect opens or reuses a connection within dialTimeout. All that is sent to targets on callers' behalf passes here, whatever
// has chosen its target: a run that moves or goes on from a copy was placed seconds ago.
func (g *Gateway) connect(ctx context.Context, target fleet.Info) (*wirehttp.Conn, error) {
	if g.Fleet.Evacuated(target.Domain) {
		return nil, errEvacuated
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return g.Pool.Get(ctx, target.Addr)
}

// ask sends the request and reads the answer's head.
func (g *Gateway) ask(conn *wirehttp.Conn, c *call, req *wirehttp.Request) (*wirehttp.Response, error) {
	if err := conn.Send(req); err != nil {
		return nil, err
	}
	return conn.Receive(c.method, g.Names.RequestID, c.id)
}

// outcome is what the exchange says of its target.
func (x *exchange) outcome(ctx context.Context) fleet.Outcome {
	switch {
	case ctx.Err() != nil && x.err != nil:
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

// finishPlain answers the caller with what is known.
func (g *Gateway) finishPlain(ctx context.Context, w http.ResponseWriter, c *call, x *exchange) {
	switch {
	case x == nil:
		g.refuse(w, c, g.unplaced(c))
	case x.err == nil && (x.verdict == verdictGood || x.verdict == verdictFailure):
		g.answer(w, c, x)
	case x.verdict == verdictNotRun && !c.mayRan:
		g.refuse(w, c, c.again("target_refused"))
	case ctx.Err() != nil:
		g.refuse(w, c, refusal{status: http.StatusGatewayTimeout, reason: "time_limit"})
	default:
		g.refuse(w, c, refusal{status: http.StatusBadGateway, reason: "target_failed"})
	}
}

// answer passes a whole answer on.
func (g *Gateway) answer(w http.ResponseWriter, c *call, x *exchange) {
	g.Log.Answered(c.entry(), x.target.ID, x.resp.Status, time.Since(c.arrived))
	c.observe(metricAnswer)
	g.copyHead(w, x.resp.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(x.body)))
	w.WriteHeader(x.resp.Status)
	// The caller's leaving is the only cause of an error here, and nobody is left to tell.
	_, _ = w.Write(x.body)
}
