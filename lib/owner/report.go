package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// Run is a run of some instance on an engine.
type Run struct {
	ID           uint64 // hash of its request's id
	Target       string
	Tokens       int // of engine memory that it holds
	Expected     int // tokens that it is expected to add, as counted in loads
	Unread       int // tokens of its prompt that are not known to be read yet
	Remaining    int // tokens that it adds if it gets as long as its caller guesses
	Pinned       bool
	SinceContact time.Duration // since its engine was last heard on it
}

// Copy is engine memory that a copy of a run takes.
type Copy struct {
	Target string
	Tokens int
	Run    uint64
}

// Outcomes counts how requests of one instance ended at a target since that instance was started.
type Outcomes struct {
	Target                      string
	Served, Failed, Unreachable uint32
}

// PrefillSample is how long a first event took after tokens of prompts were believed to be read before it.
type PrefillSample struct {
	Service string
	Unread  int
	Took    time.Duration
}

// Report is what an instance has on the engines of a shard.
type Report struct {
	Shard          string
	Instance       string
	ReplyAddr      string // where the instance is answered
	Incarnation    uint64
	Seq            uint64 // grows with each report of one incarnation
	LastGrant      uint64 // newest grant of the receiver that the instance has
	Runs           []Run
	Copies         []Copy
	Outcomes       []Outcomes
	PrefillSamples []PrefillSample
	Describe       bool // as in Ask
}

const (
	// ReportInterval is the period of an instance's reports while it has something on a shard's engines; a change is told
	// sooner. It bounds how old the news is by which a dark engine is told from a busy one.
	ReportInterval = 500 * time.Millisecond
	// reportLife is how long a report is believed: two may be lost.
	reportLife = 1500 * time.Millisecond
	// grantLife is how long a grant counts that its instance has not told of.
	grantLife = time.Second
	// enterTime is how long a run may take from the grant's arrival until its instance tells of it.
	enterTime = 100 * time.Millisecond
	// tokensMax bounds, in tokens, what one run is believed to take. No engine is that large; sums of absurd reports must
	// not overflow.
	tokensMax = 1 << 24
	// holdersMax bounds the instances that a Book believes, for each shard.
	holdersMax = 4096
)

// grant is room that the owner has given and that is not told of yet.
type grant struct {
	serial uint64
	run    uint64
	target string
	load   fleet.Load
	size   fleet.Size
	at     time.Time
}

// holder is what is known of one instance on one shard.
type holder struct {
	name        string // in the fleet
	own         bool   // it is this instance
	incarnation uint64
	seq         uint64
	at          time.Time
	addr        string
	runs        []Run
	held        []Copy
	grants      []grant
	outcomes    map[string]Outcomes
}

// fresh reports whether a report is newer than the last. A lower incarnation counts once the old one is silent: it is a
// time of day, which may have been set back.
func (h *holder) fresh(now time.Time, r *Report) bool {
	if now.Sub(h.at) > reportLife {
		return true
	}
	return r.Incarnation > h.incarnation || r.Incarnation == h.incarnation && r.Seq > h.seq
}

func (h *holder) take(now time.Time, r *Report) {
	if r.Incarnation != h.incarnation {
		h.grants = nil
		h.outcomes = make(map[string]Outcomes)
	}
	h.incarnation, h.seq, h.at = r.Incarnation, r.Seq, now
	h.addr, h.runs, h.held = r.ReplyAddr, r.Runs, r.Copies
	h.settle(now, r.LastGrant)
}

// settle drops the grants that the report contains, or that the instance has and no longer uses.
func (h *holder) settle(now time.Time, seen uint64) {
	told := make(map[uint64]bool, len(h.runs)+len(h.held))
	for _, r := range h.runs {
		told[r.ID] = true
	}
	for _, m := range h.held {
		told[m.Run] = true
	}
	kept := h.grants[:0]
	for _, g := range h.grants {
		used := g.serial <= seen && now.Sub(g.at) > enterTime
		if !told[g.run] && !used && now.Sub(g.at) < grantLife {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// loads adds up what the instance has on each engine.
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
	for _, m := range h.held {
		add(m.Target, fleet.Load{Tokens: m.Tokens}, fleet.Size{Held: m.Tokens})
	}
	for _, g := range h.grants {
		add(g.target, g.load, g.size)
	}
	return loads, sizes
}

// bounded cuts what a report claims to what can be.
func (r *Report) bounded() {
	for i := range r.Runs {
		m := &r.Runs[i]
		m.Tokens, m.Expected = bound(m.Tokens), bound(m.Expected)
		m.Unread, m.Remaining = bound(m.Unread), bound(m.Remaining)
	}
	for i := range r.Copies {
		r.Copies[i].Tokens = bound(r.Copies[i].Tokens)
	}
}

func bound(n int) int { return min(max(n, 0), tokensMax) }

// moving is the run as plans of moves see it.
func (r Run) moving() moveplan.Run {
	return moveplan.Run{ID: r.ID, From: r.Target, Tokens: r.Tokens, Expected: r.Expected, Prefilling: r.Unread > 0}
}

// ByShard sorts what an instance has by shards, as of tells them. What is on no shard's engines is left out.
func ByShard(of func(engine string) *Shard, runs []Run, held []Copy) map[string]Report {
	out := make(map[string]Report)
	for _, r := range runs {
		if s := of(r.Target); s != nil {
			rep := out[s.Key]
			rep.Runs = append(rep.Runs, r)
			out[s.Key] = rep
		}
	}
	for _, h := range held {
		if s := of(h.Target); s != nil {
			rep := out[s.Key]
			rep.Copies = append(rep.Copies, h)
			out[s.Key] = rep
		}
	}
	return out
}
