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
	// maxEstimates bounds the cached estimates; beyond it they are all read again.
	maxEstimates = 4096
	// joiningWindow is the period over which granted prompts count in the rate at which prompts join the runs of a shard: about as long
	// as a long run takes.
	joiningWindow = 10 * time.Second
)

var (
	chosenPenalty  = metrics.NewHistogram(`anvilwick_owner_pause_cost`)
	changedChoices = metrics.NewCounter(`anvilwick_owner_pause_choices_total{changed="yes"}`)
	sameChoices    = metrics.NewCounter(`anvilwick_owner_pause_choices_total{changed="no"}`)
)

// pauseCosts provides the cost of long pauses for the decisions of a Ledger, under whose lock it is used.
//
// Where engines differ in speed and are slowed down for moments, a prompt that is prefilled on a slow engine makes the streams there exceed
// the objective for pauses. Long streams go to engines that keep it, as long as these have room, and prompts to engines where they endanger
// the fewest streams. The cost only orders the engines that may be chosen; it excludes none.
type pauseCosts struct {
	rates     *enginerate.Table
	estimates map[estimateKey]estimate
	joining   map[string]*tokenRate // by shard
}

type estimateKey struct {
	target      string
	own, others time.Duration // objectives
}

type estimate struct {
	streamcost.Engine
	at time.Time
}

func newPauseCosts(rates *enginerate.Table) pauseCosts {
	return pauseCosts{rates: rates, estimates: make(map[estimateKey]estimate), joining: make(map[string]*tokenRate)}
}

// applies reports whether a placement takes long pauses into account.
func (c *pauseCosts) applies(req *PlaceRequest) bool {
	return c.rates != nil && req.Mode != MustFit && req.Stream.GapObjective > 0
}

// pauseDecision is the cost of long pauses in one placement decision.
type pauseDecision struct {
	costs  *pauseCosts
	now    time.Time
	spec   fleet.Spec
	stream streamcost.Stream
	load   streamcost.Load
	own    time.Duration // the stream's objective
	need   *fleet.Need
}

// decision returns the cost for a placement on one of n engines of a shard.
func (c *pauseCosts) decision(now time.Time, shard string, n int, spec fleet.Spec, req *PlaceRequest) *pauseDecision {
	need := &req.Stream.Need
	d := &pauseDecision{costs: c, now: now, spec: spec, own: req.Stream.GapObjective, need: need}
	d.stream = streamcost.Stream{Unread: need.Unread, Remaining: need.Peak.Remaining}
	d.load = streamcost.Load{TokensPerEvent: spec.TokensPerEvent}
	if r := c.joining[shard]; r != nil && n > 0 {
		d.load.JoiningTokens = r.perSecond(now) / float64(n)
	}
	return d
}

// penalty implements fleet.Need.Penalty.
func (d *pauseDecision) penalty(t fleet.Info, _ fleet.Load, runs []fleet.Size) float64 {
	load := d.load
	load.Runs = runs
	return streamcost.Penalty(d.engine(t.ID), d.stream, load)
}

// prefillTime implements admit.Placer.PrefillTime.
func (d *pauseDecision) prefillTime(target string) time.Duration {
	rate := d.engine(target).Rate
	return time.Duration(float64(rate.PrefillTime) * max(1, rate.Slowdown))
}

func (d *pauseDecision) engine(target string) streamcost.Engine {
	return d.costs.engine(d.now, estimateKey{target: target, own: d.own, others: d.spec.GapObjective}, d.need.Service)
}

// engine returns what is known of an engine.
func (c *pauseCosts) engine(now time.Time, k estimateKey, service string) streamcost.Engine {
	if e, ok := c.estimates[k]; ok && now.Sub(e.at) < estimateTTL {
		return e.Engine
	}
	if len(c.estimates) >= maxEstimates {
		clear(c.estimates)
	}
	e := estimate{at: now}
	e.Rate = c.rates.Rate(now, service, k.target)
	e.Others = c.rates.Risk(service, e.Rate, streamcost.Limit(cmp.Or(k.others, k.own)))
	later := e.Rate
	later.Slowdown = 1 // it ends long before the stream does
	e.Own = c.rates.Risk(service, later, streamcost.Limit(k.own))
	c.estimates[k] = e
	return e.Engine
}

// granted records the prompt of a grant on a shard.
func (c *pauseCosts) granted(now time.Time, shard string, unread int) {
	if c.rates == nil {
		return
	}
	r := c.joining[shard]
	if r == nil {
		r = new(tokenRate)
		c.joining[shard] = r
	}
	r.add(now, unread)
}

// tick drops what is no longer in use.
func (c *pauseCosts) tick(now time.Time) {
	for k, e := range c.estimates {
		if now.Sub(e.at) > joiningWindow {
			delete(c.estimates, k)
		}
	}
	for shard, r := range c.joining {
		if now.Sub(r.at) > 4*joiningWindow {
			delete(c.joining, shard)
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
