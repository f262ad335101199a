package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// Mode is what an ask wants.
type Mode uint8

// Values of Mode.
const (
	Admit   Mode = iota // for a new stream: an engine that has room and reads it in time, or a time to come back
	Any                 // for a run that an engine has turned back or lost: the best engine, however full
	MustFit             // for a run that moves: an engine that holds it, or none
)

// Key names an ask. It is the same each time that it is sent.
type Key struct {
	Instance    string
	Incarnation uint64
	ID          uint64
}

// PlaceRequest is for an engine for one run.
type PlaceRequest struct {
	Key
	ReplyAddr   string // where the instance is answered
	Run         uint64 // hash of the request's id
	Mode        Mode
	Stream      admit.Stream
	Backup      int    // tokens of a copy that is wanted elsewhere; 0: none
	Hops        int    // how often it was passed on
	Fingerprint uint64 // names what is asked, the same when its caller comes back; 0: not known

	Describe bool // the asker holds a part of the list of targets
}

// Answer is to an Ask.
type Answer struct {
	Key
	Addr     string
	Action   admit.Action
	Target   string
	After    time.Duration
	Serial   uint64 // of the grant
	Backup   string // engine for the copy; empty: none has room
	Estimate fleet.KnownState

	Describe               bool       // as in the ask
	TargetInfo, BackupInfo fleet.Info // as the list has them, where the ask wants that
}

const (
	// askLife is how long an ask waits that is not heard again: its caller has left, or another owner was found.
	askLife = 500 * time.Millisecond
	// answerLife is how long an answer is kept for an ask that comes again because the answer was lost.
	answerLife = 3 * time.Second
	// backupFree is the share of an engine's memory that must stay free for it to hold a copy of another's run. With copies
	// of every run the engines' memory fills up and runs are preempted, which costs more than the copies save.
	backupFree = 0.7
	// waitingMax bounds the asks that wait. Each step looks at all of them, 50 times a second.
	waitingMax = 2048
)

type answered struct {
	Answer
	at time.Time
}

// Ledger is an instance's account of the shards that it ranks to own. It is safe for concurrent use.
type Ledger struct {
	random func(n int64) int64 // up to n, n left out; nil: math/rand

	self    string // this instance, whose own runs the fleet counts without being told
	fleet   *fleet.Fleet
	reading *admit.PrefillRates

	mu      sync.Mutex
	holders map[string]map[string]*holder // by shard, instance
	asks    []*waiting                    // in the order in which they are looked at
	kept    map[string]map[string]bool    // by shard: the engines kept for the first that wait
	done    map[Key]answered
	turned  map[uint64]time.Time // when streams may come back that were told to, by print
	serial  uint64
	steps   map[uint64]planned // of moves, by run
}

// NewLedger returns an empty Book of an instance that decides by what f believes. Reports go into f as its peers' loads.
func NewLedger(self string, f *fleet.Fleet, reading *admit.PrefillRates) *Ledger {
	return &Ledger{
		self: self, fleet: f, reading: reading,
		holders: make(map[string]map[string]*holder),
		kept:    make(map[string]map[string]bool),
		done:    make(map[Key]answered),
		turned:  make(map[uint64]time.Time),
		steps:   make(map[uint64]planned),
	}
}

// setRandom replaces the source of chance.
func (b *Ledger) setRandom(random func(n int64) int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.random = random
}

// Report takes in a report and reports whether it was newer than the last of its instance.
func (b *Ledger) Report(now time.Time, r Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holder(r.Shard, r.Instance)
	if h == nil || !h.fresh(now, &r) {
		return false
	}
	r.bounded()
	h.take(now, &r)
	b.tell(now, h)
	b.learn(now, h, &r)
	return true
}

// learn takes in what a report says of engines beside their load.
func (b *Ledger) learn(now time.Time, h *holder, r *Report) {
	for _, run := range r.Runs {
		if run.Unread == 0 {
			b.fleet.RecordContact(now.Add(-run.SinceContact), run.Target)
		}
	}
	if h.own {
		return // it has learnt from its own sends
	}
	for _, o := range r.Outcomes {
		last := h.outcomes[o.Target]
		h.outcomes[o.Target] = o
		b.learnOutcome(now, o.Target, fleet.Served, o.Served-last.Served)
		b.learnOutcome(now, o.Target, fleet.Failed, o.Failed-last.Failed)
		b.learnOutcome(now, o.Target, fleet.Unreachable, o.Unreachable-last.Unreachable)
	}
	for _, m := range r.PrefillSamples {
		b.reading.Observe(m.Service, m.Unread, m.Took)
	}
}

// outcomesMax bounds what one report teaches of one target: more are hardly one instance's since its last report.
const outcomesMax = 8

func (b *Ledger) learnOutcome(now time.Time, target string, o fleet.Outcome, n uint32) {
	for range min(n, outcomesMax) {
		b.fleet.RecordOutcome(now, target, o)
	}
}

// holder returns what is known of an instance on a shard; nil when too many are known already.
func (b *Ledger) holder(shard, instance string) *holder {
	if b.holders[shard] == nil {
		b.holders[shard] = make(map[string]*holder)
	}
	h := b.holders[shard][instance]
	if h == nil && len(b.holders[shard]) < holdersMax {
		h = &holder{name: instance + " " + shard, own: instance == b.self, outcomes: make(map[string]Outcomes)}
		b.holders[shard][instance] = h
	}
	return h
}

func (b *Ledger) tell(now time.Time, h *holder) {
	if h.own {
		return
	}
	loads, sizes := h.loads()
	b.fleet.SetPeerLoad(now, h.name, loads, sizes)
}

// Place decides an ask, or lets it wait: ok is false then, and Step decides it later. An ask that comes again is answered
// as before.
func (b *Ledger) Place(now time.Time, s *Shard, a PlaceRequest) (answer Answer, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, known := b.done[a.Key]; known {
		return old.Answer, true
	}
	i := slices.IndexFunc(b.asks, func(w *waiting) bool { return w.Key == a.Key })
	if i >= 0 {
		b.asks[i].heard = now
		return Answer{}, false
	}
	b.cameBack(now, &a)
	answer, ok = b.decide(now, s, &a)
	if !ok && b.hasNoTurn(now, s, &a) {
		return b.settle(now, s, &a, b.placer().Reject(a.Stream)), true
	}
	if !ok && len(b.asks) < waitingMax {
		b.wait(&waiting{PlaceRequest: a, shard: s, heard: now})
	}
	return answer, ok
}

// decide answers an ask, unless it should wait.
func (b *Ledger) decide(now time.Time, s *Shard, a *PlaceRequest) (Answer, bool) {
	d := b.choose(now, s, a)
	if d.Action == admit.Wait {
		return Answer{}, false
	}
	return b.settle(now, s, a, d), true
}

// settle makes a decision the answer to an ask, and counts what it gives away.
func (b *Ledger) settle(now time.Time, s *Shard, a *PlaceRequest, d admit.Decision) Answer {
	out := Answer{Key: a.Key, Addr: a.ReplyAddr, Describe: a.Describe, Action: d.Action, Target: d.Target.ID, After: d.RetryAfter}
	switch d.Action {
	case admit.Admit:
		b.grant(now, s, a, &out)
	case admit.RetryLater:
		b.turnAway(now, a, d.RetryAfter)
	}
	b.done[a.Key] = answered{Answer: out, at: now}
	return out
}

func (b *Ledger) placer() *admit.Placer {
	return &admit.Placer{Fleet: b.fleet, Prefill: b.reading, Acquire: b.fleet.Choose, Random: b.random}
}

func (b *Ledger) choose(now time.Time, s *Shard, a *PlaceRequest) admit.Decision {
	need := a.Stream.Need
	need.Among = s.Engines()
	need.Reserved = b.kept[s.Key]
	if a.Mode == Admit {
		p := b.placer()
		stream := a.Stream
		stream.Need = need
		if d := p.Step(now, stream); d.Action != admit.Fallback {
			return d
		}
	}
	need.RequireMemory = a.Mode == MustFit
	target, ok := b.fleet.Choose(now, need)
	if !ok {
		return admit.Decision{Action: admit.Fallback}
	}
	return admit.Decision{Action: admit.Admit, Target: target}
}

// Tick forgets what is too old to be believed.
func (b *Ledger) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, a := range b.done {
		if now.Sub(a.at) > answerLife {
			delete(b.done, key)
		}
	}
	b.forgetTurned(now)
	for id, p := range b.steps {
		if now.Sub(p.at) > stepLife {
			delete(b.steps, id)
		}
	}
	for _, list := range b.holders {
		for instance, h := range list {
			b.age(now, list, instance, h)
		}
	}
}

func (b *Ledger) age(now time.Time, list map[string]*holder, instance string, h *holder) {
	n := len(h.grants)
	h.settle(now, 0)
	switch {
	case now.Sub(h.at) > reportLife && len(h.grants) == 0:
		delete(list, instance)
		h.runs, h.held = nil, nil
		b.tell(now, h)
	case len(h.grants) < n:
		b.tell(now, h)
	}
}

// Runs lists what instances have told of their runs on some engines.
func (b *Ledger) runs(engines map[string]bool) []moveplan.Run {
	var out []moveplan.Run
	for _, list := range b.holders {
		for _, h := range list {
			for _, r := range h.runs {
				if engines[r.Target] && !r.Pinned {
					out = append(out, r.moving())
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b moveplan.Run) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b moveplan.Run) bool { return a.ID == b.ID })
}

// Users returns where instances are told that have runs or copies on some engines of a shard, this one left out.
func (b *Ledger) Users(shard string, engines map[string]bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, h := range b.holders[shard] {
		if !h.own && h.uses(engines) {
			out = append(out, h.addr)
		}
	}
	return out
}

// uses reports whether the instance has runs or copies on some engines.
func (h *holder) uses(engines map[string]bool) bool {
	return slices.ContainsFunc(h.runs, func(r Run) bool { return engines[r.Target] }) ||
		slices.ContainsFunc(h.held, func(m Copy) bool { return engines[m.Target] })
}
