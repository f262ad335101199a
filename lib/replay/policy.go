package replay

import "time"

// Strategy is the way in which instances coordinate their placement decisions.
type Strategy uint8

// Values of Strategy.
const (
	Owners           Strategy = iota // one instance decides for a shard of engines; the others send it requests
	Broadcast                        // each instance decides; it sends its loads to all others on each placement and four times a second
	SampledBroadcast                 // as Broadcast, but to 128 other instances drawn anew each time
	DomainBroadcast                  // as Broadcast, limited to the instances and engines of one failure domain
	EngineReports                    // each instance decides from the engines' own load reports, 0.3 s late
)

// strategyNames are the names used on command lines.
var strategyNames = [...]string{"owners", "news", "sampled", "slices", "reports"}

// String returns the name used on command lines.
func (w Strategy) String() string { return strategyNames[w] }

// Policy selects the instances' behavior; the zero value is that of the product.
type Policy struct {
	Strategy      Strategy
	SlowUpdates   bool // with Broadcast: updates take 60 ms instead of 3
	IgnorePrefill bool // prompts waiting for prefill on an engine are not counted
	ForceAdmit    bool // streams without a free target are sent to the best engine instead of being refused
	ColdStandby   bool // with Owners: the second-ranked instance receives no reports until it takes over
	NoForwarding  bool // with Owners: streams are not forwarded to other shards
	NoForecast    bool // with Owners: streams wait for room without a forecast, and retry times are random
	Unfair        bool // with Owners: waiting streams are ordered by deadline alone
	IgnorePauses  bool // with Owners: placement ignores the objective for pauses
}

// Policies maps the names used on command lines to policies.
var Policies = map[string]Policy{
	"owners": {}, "news": {Strategy: Broadcast}, "sampled": {Strategy: SampledBroadcast},
	"slices": {Strategy: DomainBroadcast}, "reports": {Strategy: EngineReports},
	"force": {ForceAdmit: true}, "no-reading": {IgnorePrefill: true}, "slow-news": {Strategy: Broadcast, SlowUpdates: true},
	"forget": {ColdStandby: true}, "stay": {NoForwarding: true}, "no-pauses": {IgnorePauses: true},
	"unfair": {Unfair: true}, "no-forecast": {NoForecast: true},
}

// Delays and intervals of messages.
const (
	tick            = time.Millisecond
	messageDelay    = 3 * time.Millisecond // a datagram between instances, including its handling at both ends
	slowUpdateDelay = 60 * time.Millisecond
	updateInterval  = 250 * time.Millisecond
	reportDelay     = 300 * time.Millisecond
	updateDelay     = 15 * time.Millisecond // from a change until it is sent, so that changes are batched
	fanout          = 128                   // receivers of an update with SampledBroadcast
)

// Tally counts the outcomes of the streams of a simulation.
type Tally struct {
	Streams, InTime, Late, Refused, Lost int // Refused: not retried, or the caller timed out
	Retried, RetriedServed               int // callers that retried after a refusal, and those of them whose stream started
	Longs, LongsInTime                   int
	Large, LargeInTime                   int // streams whose prompt is among the largest tenth
	Preempted                            int
	Work, WorkInTime                     int // in tokens: prompt tokens plus ten times the output tokens
	PauseLate, ShortPauseLate            int // long, and short, streams with a pause between events beyond Pattern.GapObjective
	Messages                             int // between instances
	WorkspaceTally
	Refusals Refusals
}

// Add adds the counts of another simulation.
func (t *Tally) Add(o Tally) {
	t.Streams += o.Streams
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Lost += o.Lost
	t.Retried += o.Retried
	t.RetriedServed += o.RetriedServed
	t.Longs += o.Longs
	t.LongsInTime += o.LongsInTime
	t.Large += o.Large
	t.LargeInTime += o.LargeInTime
	t.Preempted += o.Preempted
	t.Work += o.Work
	t.WorkInTime += o.WorkInTime
	t.PauseLate += o.PauseLate
	t.ShortPauseLate += o.ShortPauseLate
	t.Messages += o.Messages
	t.WorkspaceTally.add(o.WorkspaceTally)
	t.Refusals.add(o.Refusals)
}

// Share returns the fraction of streams whose first token met its latency objective.
func (t Tally) Share() float64 { return ratio(t.InTime, t.Streams) }

// WorkShare returns the fraction of the work that belongs to streams that met their objective.
func (t Tally) WorkShare() float64 { return ratio(t.WorkInTime, t.Work) }

// LargeShare returns the fraction of the streams with the largest prompts that met their objective.
func (t Tally) LargeShare() float64 { return ratio(t.LargeInTime, t.Large) }

// PauseShare returns the fraction of the long streams that had a pause between events beyond the objective.
func (t Tally) PauseShare() float64 { return ratio(t.PauseLate, t.Longs) }

func ratio(n, total int) float64 { return float64(n) / float64(max(1, total)) }
