package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// Run is an instance's run on an engine.
type Run struct {
	ID           uint64 // hash of the caller's request ID
	Target       string
	Tokens       int // of engine memory that it occupies
	Expected     int // expected further tokens, as counted in loads
	Unread       int // prompt tokens not known to be prefilled yet
	Remaining    int // further tokens if it gets as long as its caller's hint
	Pinned       bool
	SinceContact time.Duration // time since its engine last sent anything for it
}

// Copy is engine memory that is occupied by a copy of a run.
type Copy struct {
	Target string
	Tokens int
	Run    uint64
}

// Outcomes counts the results of one instance's requests to a target since the instance started.
type Outcomes struct {
	Target                      string
	Served, Failed, Unreachable uint32
}

// PrefillSample is the time until a first event, and the prompt tokens assumed to be prefilled before it.
type PrefillSample struct {
	Service string
	Target  string
	Unread  int
	Took    time.Duration
}

// Pace is how fast an engine worked in the last report interval, as the streams and responses of one instance showed.
type Pace struct {
	Target      string
	Shortest    time.Duration // shortest time between two events of a stream; 0: none was observed
	Longest     time.Duration // longest time between two events of a stream
	Slowdown    float64       // factor on the engine's normal step time, from its newest response; 0: not given
	SlowdownAge time.Duration // since that response
}

// Report is what an instance has on the engines of a shard.
type Report struct {
	Shard          string
	Instance       string
	ReplyAddr      string // where the instance receives answers
	Incarnation    uint64
	Seq            uint64 // increases with each report of one incarnation
	LastGrant      uint64 // newest grant of the receiver that the instance has received
	Runs           []Run
	Copies         []Copy
	Outcomes       []Outcomes
	PrefillSamples []PrefillSample
	Paces          []Pace
	Describe       bool // as in PlaceRequest
}

const (
	// ReportInterval is the period of an instance's reports while it has load on a shard's engines; changes are reported
	// sooner. It bounds the age of the data that distinguishes an engine that is dark from one that is under load.
	ReportInterval = 500 * time.Millisecond
	// reportTTL is how long a report is used: two may be lost.
	reportTTL = 1500 * time.Millisecond
	// grantTTL is how long a grant counts that its instance has not reported.
	grantTTL = time.Second
	// runStartDelay is how long a run may take from the receipt of the grant until its instance reports it.
	runStartDelay = 100 * time.Millisecond
	// maxTokens bounds the tokens that one run is assumed to take. No engine is that large; sums over implausible reports must
	// not overflow.
	maxTokens = 1 << 24
	// maxHolders bounds the instances that a Ledger tracks for each shard.
	maxHolders = 4096
)

// grant is capacity that the owner has granted and the instance has not reported yet.
type grant struct {
	serial uint64
	run    uint64
	target string
	load   fleet.Load
	size   fleet.Size
	at     time.Time
}

// holder is the known state of one instance that holds load on a shard.
type holder struct {
	name        string // its name in the fleet
	shard       string
	local       bool // this instance
	incarnation uint64
	seq         uint64
	lastReport  time.Time
	addr        string
	runs        []Run
	copies      []Copy
	grants      []grant
	outcomes    map[string]Outcomes
}

// isNewer reports whether a report is newer than the last. A lower incarnation is accepted once the old one is silent: it is a
// time of day, and the clock may have been set back.
func (h *holder) isNewer(now time.Time, r *Report) bool {
	if now.Sub(h.lastReport) > reportTTL {
		return true
	}
	return r.Incarnation > h.incarnation || r.Incarnation == h.incarnation && r.Seq > h.seq
}

func (h *holder) apply(now time.Time, r *Report) {
	if r.Incarnation != h.incarnation {
		h.grants = nil
		h.outcomes = make(map[string]Outcomes)
	}
	h.incarnation, h.seq, h.lastReport = r.Incarnation, r.Seq, now
	h.addr, h.runs, h.copies = r.ReplyAddr, r.Runs, r.Copies
	h.dropGrants(now, r.LastGrant)
}

// dropGrants drops the grants that the report contains, that the instance received but no longer uses, or that have expired.
func (h *holder) dropGrants(now time.Time, lastGrant uint64) {
	reported := make(map[uint64]bool, len(h.runs)+len(h.copies))
	for _, r := range h.runs {
		reported[r.ID] = true
	}
	for _, m := range h.copies {
		reported[m.Run] = true
	}
	kept := h.grants[:0]
	for _, g := range h.grants {
		used := g.serial <= lastGrant && now.Sub(g.at) > runStartDelay
		if !reported[g.run] && !used && now.Sub(g.at) < grantTTL {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// loads sums the instance's load on each engine.
func (h *holder) loads() (map[string]fleet.Load, map[string][]fleet.Size) {
	loads, sizes := make(map[string]fleet.Load), make(map[string][]fleet.Size)
	add := func(target string, l fleet.Load, s fleet.Size) {
		sum := loads[target]
		sum.Runs += l.Runs
		sum.Tokens += l.Tokens
		sum.Unread += l.Unread
		loads[target] = sum
		sizes[target] = append(sizes[target], s)
	}
	for _, r := range h.runs {
		add(r.Target, fleet.Load{Runs: 1, Tokens: r.Tokens + r.Expected, Unread: r.Unread}, fleet.Size{Held: r.Tokens, Remaining: r.Remaining})
	}
	for _, m := range h.copies {
		add(m.Target, fleet.Load{Tokens: m.Tokens}, fleet.Size{Held: m.Tokens})
	}
	for _, g := range h.grants {
		add(g.target, g.load, g.size)
	}
	return loads, sizes
}

// clamp limits the values of a report to a plausible range.
func (r *Report) clamp() {
	for i := range r.Runs {
		m := &r.Runs[i]
		m.Tokens, m.Expected = clampTokens(m.Tokens), clampTokens(m.Expected)
		m.Unread, m.Remaining = clampTokens(m.Unread), clampTokens(m.Remaining)
	}
	for i := range r.Copies {
		r.Copies[i].Tokens = clampTokens(r.Copies[i].Tokens)
	}
}

func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// toPlan converts the run for the move planner.
func (r Run) toPlan() moveplan.Run {
	return moveplan.Run{ID: r.ID, From: r.Target, Tokens: r.Tokens, Expected: r.Expected, Prefilling: r.Unread > 0}
}

// ByShard groups an instance's runs and copies by shard. Those on engines without a shard are left out.
func ByShard(shardOf func(engine string) *Shard, runs []Run, copies []Copy) map[string]Report {
	out := make(map[string]Report)
	for _, r := range runs {
		if s := shardOf(r.Target); s != nil {
			rep := out[s.Key]
			rep.Runs = append(rep.Runs, r)
			out[s.Key] = rep
		}
	}
	for _, h := range copies {
		if s := shardOf(h.Target); s != nil {
			rep := out[s.Key]
			rep.Copies = append(rep.Copies, h)
			out[s.Key] = rep
		}
	}
	return out
}
