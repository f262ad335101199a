package owner

import (
	"cmp"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/streamcost"
)

const (
	// estimateTTL is how long the estimates of an engine are used for decisions before they are read again: waiting requests are decided as
	// often.
	estimateTTL = 20 * time.Millisecond
	// joiningWindow is the period over which granted prompts count in the rate at which prompts join the runs of an engine: about as long
	// as a long run takes.
	joiningWindow = 10 * time.Second
	// maxPausedEngines bounds the engines that estimates and rates of joining prompts are kept for.
	maxPausedEngines = 4096
)

var (
	chosenPenalty  = metrics.NewHistogram(`anvilwick_owner_pause_cost`)
	changedChoices = metrics.NewCounter(`anvilwick_owner_pause_choices_total{changed="yes"}`)
	sameChoices    = metrics.NewCounter(`anvilwick_owner_pause_choices_total{changed="no"}`)
)

// pauseCosts keeps what the cost of long pauses needs between the decisions of a Ledger, under whose lock it is used.
//
// Where engines differ in speed and are slowed down for moments, a prompt that is prefilled on a slow engine makes the streams there exceed
// the objective for pauses. Long streams go to engines that keep it, as long as these have room, and prompts to engines where they endanger
// the fewest streams. The cost only orders the engines that may be chosen; it excludes none.
type pauseCosts struct {
	estimates map[estimateKey]estimate
	joining   map[string]*tokenRate // by engine
}

type estimateKey struct {
	target      string
	own, others time.Duration // objectives of the new stream and of those that run there
}

type estimate struct {
	streamcost.Engine
	at time.Time
}

func newPauseCosts() pauseCosts {
	return pauseCosts{estimates: make(map[estimateKey]estimate), joining: make(map[string]*tokenRate)}
}

// applies reports whether a placement takes long pauses into account.
func (c *pauseCosts) applies(req *PlaceRequest) bool {
	return req.Mode != MustFit && req.Stream.GapObjective > 0
}

// pauseDecision is the cost of long pauses in one placement decision.
type pauseDecision struct {
	costs   *pauseCosts
	rates   *enginerate.Table
	now     time.Time
	service string
	key     estimateKey // without the target
	stream  streamcost.Stream
	load    streamcost.Load // without the runs
}

// decision returns the cost for the placement of a stream on engines with the given spec.
func (c *pauseCosts) decision(now time.Time, rates *enginerate.Table, spec fleet.Spec, req *PlaceRequest) *pauseDecision {
	need := &req.Stream.Need
	own := req.Stream.GapObjective
	return &pauseDecision{
		costs: c, rates: rates, now: now, service: need.Service, key: estimateKey{own: own, others: cmp.Or(spec.GapObjective, own)},
		stream: streamcost.Stream{Unread: need.Unread, Remaining: need.Peak.Remaining},
		load:   streamcost.Load{TokensPerEvent: spec.TokensPerEvent},
	}
}

// penalty implements fleet.Need.Penalty.
func (d *pauseDecision) penalty(t fleet.Info, _ fleet.Load, runs []fleet.Size) float64 {
	load := d.load
	load.Runs = runs
	if r := d.costs.joining[t.ID]; r != nil {
		load.JoiningTokens = r.perSecond(d.now)
	}
	return streamcost.Penalty(d.engine(t.ID), d.stream, load)
}

// prefillTime implements admit.Placer.PrefillTime.
func (d *pauseDecision) prefillTime(target string) time.Duration {
	rate := d.engine(target).Rate
	return time.Duration(float64(rate.PrefillTime) * max(1, rate.Slowdown))
}

// engine returns what is known of an engine.
func (d *pauseDecision) engine(target string) streamcost.Engine {
	k := d.key
	k.target = target
	if e, ok := d.costs.estimates[k]; ok && d.now.Sub(e.at) < estimateTTL {
		return e.Engine
	}
	if len(d.costs.estimates) >= maxPausedEngines {
		clear(d.costs.estimates)
	}
	e := estimate{at: d.now}
	e.Rate = d.rates.Rate(d.now, d.service, target)
	e.Others = d.rates.Risk(d.service, e.Rate, streamcost.Limit(k.others))
	later := e.Rate
	later.Slowdown = 1 // it ends long before the stream does
	e.Own = d.rates.Risk(d.service, later, streamcost.Limit(k.own))
	d.costs.estimates[k] = e
	return e.Engine
}

// granted records the prompt of a grant.
func (c *pauseCosts) granted(now time.Time, target string, unread int) {
	r := c.joining[target]
	if r == nil {
		if len(c.joining) >= maxPausedEngines {
			return
		}
		r = new(tokenRate)
		c.joining[target] = r
	}
	r.add(now, unread)
}

// tick drops what is no longer in use.
func (c *pauseCosts) tick(now time.Time) {
	for k, e := range c.estimates {
		if now.Sub(e.at) > estimateTTL {
			delete(c.estimates, k)
		}
	}
	for target, r := range c.joining {
		if now.Sub(r.at) > 4*joiningWindow {
			delete(c.joining, target)
		}
	}
}

// countChoice counts a decision that took long pauses into account.
func countChoice(c *fleet.Choice) {
	chosenPenalty.Update(c.Penalty)
	if c.Changed {
		changedChoices.Inc()
		return
	}
	sameChoices.Inc()
}

// tokenRate is a decayed sum of prompt tokens over about joiningWindow.
type tokenRate struct {
	sum float64
	at  time.Time
}

func (r *tokenRate) decayed(now time.Time) float64 {
	age := max(0, now.Sub(r.at))
	return r.sum * math.Exp(-age.Seconds()/joiningWindow.Seconds())
}

func (r *tokenRate) add(now time.Time, tokens int) {
	r.sum, r.at = r.decayed(now)+float64(max(0, tokens)), now
}

func (r *tokenRate) perSecond(now time.Time) float64 { return r.decayed(now) / joiningWindow.Seconds() }
