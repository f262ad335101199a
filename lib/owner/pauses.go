package owner

import (
	"cmp"
	"maps"
	"slices"
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
	// maxEstimates bounds the shards and combinations of objectives that estimates are kept for.
	maxEstimates = 64
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
	estimates map[estimatesKey]*estimates
	joining   map[string]*tokenRate // by engine
	shards    map[string]*tokenRate // the same, summed over the engines of a shard
}

// objectives are the limits on pauses of a new stream and of those that run beside it.
type objectives struct{ own, others time.Duration }

// estimatesKey identifies what estimates are kept for.
type estimatesKey struct {
	shard string
	objectives
}

type estimate struct {
	streamcost.Engine
	prefillTime time.Duration // per prompt token at this moment; 0: unknown
	period      int           // in which it was read
}

// estimates holds the estimates of a shard's engines. A choice considers the engines in order, so that a cursor finds most of them at
// once; a map took a third of the time of a decision.
type estimates struct {
	engines []string // sorted
	list    []estimate
	next    int // index of the engine after the last one found
	period  int // increases after each estimateTTL
	since   time.Time
}

// find returns the estimate of an engine; nil if the shard has no such engine.
func (e *estimates) find(target string) *estimate {
	if e.next >= len(e.engines) || e.engines[e.next] != target {
		at, found := slices.BinarySearch(e.engines, target)
		if !found {
			return nil
		}
		e.next = at
	}
	e.next++
	return &e.list[e.next-1]
}

func newPauseCosts() pauseCosts {
	return pauseCosts{
		estimates: make(map[estimatesKey]*estimates), joining: make(map[string]*tokenRate), shards: make(map[string]*tokenRate),
	}
}

// applies reports whether a placement takes long pauses into account.
func (c *pauseCosts) applies(req *PlaceRequest) bool {
	return req.Mode != MustFit && req.Stream.GapObjective > 0
}

// pauseDecision is the cost of long pauses in one placement decision.
type pauseDecision struct {
	costs      *pauseCosts
	rates      *enginerate.Table
	now        time.Time
	service    string
	objectives objectives
	estimates  *estimates
	stream     streamcost.Stream
	load       streamcost.Load // without the runs
	joining    float64         // mean of the shard's engines, in prompt tokens a second
}

// decision returns the cost for the placement of a stream on engines of a shard with the given spec.
func (c *pauseCosts) decision(now time.Time, rates *enginerate.Table, s *Shard, spec fleet.Spec, req *PlaceRequest) *pauseDecision {
	need := &req.Stream.Need
	k := objectives{own: req.Stream.GapObjective, others: cmp.Or(spec.GapObjective, req.Stream.GapObjective)}
	joining := 0.0
	if r := c.shards[s.Key]; r != nil {
		joining = r.perSecond(now) / float64(max(1, len(s.Engines())))
	}
	return &pauseDecision{
		costs: c, rates: rates, now: now, service: need.Service, objectives: k,
		estimates: c.estimatesFor(now, s.Key, k, s.Engines()), joining: joining,
		stream: streamcost.Stream{Unread: need.Unread, Remaining: need.Peak.Remaining},
		load:   streamcost.Load{TokensPerEvent: spec.TokensPerEvent},
	}
}

// penalty implements fleet.Need.Penalty.
func (d *pauseDecision) penalty(t fleet.Info, _ fleet.Load, runs []fleet.Size) float64 {
	load := d.load
	load.Runs = runs
	load.JoiningTokens = d.joiningTokens(t.ID)
	return streamcost.Penalty(d.engine(t.ID).Engine, d.stream, load)
}

// joiningTokens returns the rate at which prompts are expected to join the runs of an engine: halfway between its own rate and the mean of
// the shard, since an engine that none has joined for a while attracts the next ones.
func (d *pauseDecision) joiningTokens(target string) float64 {
	own := 0.0
	if r := d.costs.joining[target]; r != nil {
		own = r.perSecond(d.now)
	}
	return (own + d.joining) / 2
}

// prefillTime implements admit.Placer.PrefillTime.
func (d *pauseDecision) prefillTime(target string) time.Duration {
	return d.engine(target).prefillTime
}

// engine returns what is known of an engine.
func (d *pauseDecision) engine(target string) *estimate {
	e := d.estimates.find(target)
	if e == nil {
		e = new(estimate)
	}
	if e.period == d.estimates.period {
		return e
	}
	e.period = d.estimates.period
	e.Rate = d.rates.Rate(d.now, d.service, target)
	e.Others = d.rates.Risk(d.service, e.Rate, streamcost.Limit(d.objectives.others))
	later := e.Rate
	later.Slowdown = 1 // it ends long before the stream does
	e.Own = d.rates.Risk(d.service, later, streamcost.Limit(d.objectives.own))
	e.prefillTime = time.Duration(float64(e.Rate.PrefillTime) * max(1, e.Rate.Slowdown))
	return e
}

// estimatesFor returns the estimates of a shard's engines under some objectives.
func (c *pauseCosts) estimatesFor(now time.Time, shard string, o objectives, engines []string) *estimates {
	k := estimatesKey{shard: shard, objectives: o}
	out := c.estimates[k]
	if out == nil || !sameList(out.engines, engines) {
		if len(c.estimates) >= maxEstimates {
			clear(c.estimates)
		}
		out = &estimates{engines: engines, list: make([]estimate, len(engines))}
		c.estimates[k] = out
	}
	if out.period == 0 || now.Sub(out.since) >= estimateTTL {
		out.period, out.since = out.period+1, now
	}
	return out
}

// sameList reports whether two lists are the same one; a shard's list of engines is never changed.
func sameList(a, b []string) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// granted records the prompt of a grant.
func (c *pauseCosts) granted(now time.Time, shard, target string, unread int) {
	addTokens(c.joining, now, target, unread)
	addTokens(c.shards, now, shard, unread)
}

func addTokens(rates map[string]*tokenRate, now time.Time, key string, tokens int) {
	r := rates[key]
	if r == nil {
		if len(rates) >= maxPausedEngines {
			return
		}
		r = new(tokenRate)
		rates[key] = r
	}
	r.add(now, tokens)
}

// tick drops what is no longer in use.
func (c *pauseCosts) tick(now time.Time) {
	clear(c.estimates)
	expired := func(_ string, r *tokenRate) bool { return now.Sub(r.at) > 4*joiningWindow }
	maps.DeleteFunc(c.joining, expired)
	maps.DeleteFunc(c.shards, expired)
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
	return r.sum * decay(r.at, now, joiningWindow)
}

func (r *tokenRate) add(now time.Time, tokens int) {
	r.sum, r.at = r.decayed(now)+float64(max(0, tokens)), now
}

func (r *tokenRate) perSecond(now time.Time) float64 { return r.decayed(now) / joiningWindow.Seconds() }
