package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fairqueue"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/moveplan"
)

// Mode is the kind of engine that a placement request needs.
type Mode uint8

// Values of Mode.
const (
	Admit   Mode = iota // new stream: an engine with free capacity that prefills it in time, or a time to retry
	Any                 // run that an engine rejected or lost: the best engine, however full
	MustFit             // run that is moved: an engine with capacity for it, or none
)

// Key identifies a placement request. It is the same for each retransmission.
type Key struct {
	Instance    string
	Incarnation uint64
	ID          uint64
}

// PlaceRequest requests an engine for one run.
type PlaceRequest struct {
	Key
	ReplyAddr   string // where the requesting instance receives the answer
	Run         uint64 // hash of the caller's request ID
	Mode        Mode
	Stream      admit.Stream
	Backup      int    // tokens of the backup copy wanted on another engine; 0: none
	Hops        int    // how often the request was forwarded
	Fingerprint uint64 // identifies the caller's request across retries; 0: unknown

	Describe bool // the requesting instance's list may lack the target

	promisedAt time.Time // of a retry: the time that its caller was given
}

// Answer is the response to a PlaceRequest.
type Answer struct {
	Key
	ReplyAddr string
	Action    admit.Action
	Target    string
	After     time.Duration
	Serial    uint64 // of the grant
	Backup    string // engine for the backup copy; empty: no engine has capacity
	Estimate  fleet.KnownState
	Cause     RefusalCause  // with RetryLater; only in the first answer to a request, as RoomError
	RoomError time.Duration // if Returned: from the promised retry time until the stream was placed
	Returned  bool          // the request is a retry at its promised time, and was placed

	Waited   time.Duration  // until the decision, if the request waited
	Move     fairqueue.Move // how fairness and urgency moved the request in the order of deadlines while it waited
	KeptTurn bool           // its deadline kept it ahead of a request that fairness or urgency moved further ahead

	Describe               bool       // as in the request
	TargetInfo, BackupInfo fleet.Info // target list entries, if the request asks for them
}

const (
	// requestTTL is how long a waiting request is kept without a retransmission: its caller has left, or another owner was found.
	requestTTL = 500 * time.Millisecond
	// answerTTL is how long an answer is kept for a request that is retransmitted because the answer was lost.
	answerTTL = 3 * time.Second
	// backupMinFree is the share of an engine's memory that must be free for it to hold a backup copy of another engine's run. With
	// copies of every run the engines' memory fills up and runs are preempted, which costs more than the copies save.
	backupMinFree = 0.7
	// maxWaiting bounds the waiting requests. Each call of DecideWaiting visits all of them, 50 times a second.
	maxWaiting = 2048
)

type sentAnswer struct {
	Answer
	at time.Time
}

// Ledger is an instance's account of the load on the shards that it is a candidate for. It is safe for concurrent use.
type Ledger struct {
	random func(n int64) int64 // returns a number in [0, n); nil: math/rand

	self         string // this instance; the fleet counts its own runs without reports
	fleet        *fleet.Fleet
	prefillRates *admit.PrefillRates

	mu       sync.Mutex
	holders  map[string]map[string]*holder // by shard, then instance
	waiting  []*waitingRequest             // in the order in which they are decided
	reserved map[string]map[string]bool    // by shard: engines reserved for the first waiting requests
	answers  map[Key]sentAnswer
	rejected map[uint64]time.Time // earliest time of a retry, by fingerprint
	serial   uint64
	moves    map[uint64]plannedMove // by run
	pauses   pauseCosts
	rates    rateFeed
	fairness map[string]*fairness // by shard

	room       map[string]*shardRoom // by shard
	noForecast bool
}

// NewLedger returns an empty Ledger that decides by the state of f. Reports are entered into f as the loads of its peers.
func NewLedger(self string, f *fleet.Fleet, rates *admit.PrefillRates) *Ledger {
	return &Ledger{
		self: self, fleet: f, prefillRates: rates,
		holders:  make(map[string]map[string]*holder),
		reserved: make(map[string]map[string]bool),
		answers:  make(map[Key]sentAnswer),
		rejected: make(map[uint64]time.Time),
		moves:    make(map[uint64]plannedMove),
		room:     make(map[string]*shardRoom),
		rates:    newRateFeed(f),
		fairness: make(map[string]*fairness),
		pauses:   newPauseCosts(),
	}
}

// setRandom replaces the random source.
func (l *Ledger) setRandom(random func(n int64) int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.random = random
}

// Report applies a report and returns whether it was newer than the last of its instance.
func (l *Ledger) Report(now time.Time, r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder(r.Shard, r.Instance)
	if h == nil || !h.isNewer(now, &r) {
		return false
	}
	r.clamp()
	l.observeProgress(now, h, &r)
	l.rates.markUnread(now, h.runs)
	l.rates.markGrants(now, h.grants)
	h.apply(now, &r)
	l.publish(now, h)
	l.applyObservations(now, h, &r)
	return true
}

// applyObservations applies what a report says of engines besides their load.
func (l *Ledger) applyObservations(now time.Time, h *holder, r *Report) {
	for _, run := range r.Runs {
		if run.Unread == 0 {
			l.fleet.RecordContact(now.Add(-run.SinceContact), run.Target)
		}
	}
	l.rates.markUnread(now, r.Runs)
	l.rates.observe(now, r)
	if h.local {
		return // local outcomes are recorded when they occur
	}
	for _, o := range r.Outcomes {
		last := h.outcomes[o.Target]
		h.outcomes[o.Target] = o
		l.recordOutcomes(now, o.Target, fleet.Served, o.Served-last.Served)
		l.recordOutcomes(now, o.Target, fleet.Failed, o.Failed-last.Failed)
		l.recordOutcomes(now, o.Target, fleet.Unreachable, o.Unreachable-last.Unreachable)
	}
	for _, m := range r.PrefillSamples {
		l.prefillRates.Observe(m.Service, m.Unread, m.Took)
	}
}

// maxNewOutcomes bounds the outcomes that one report adds for a target: one instance hardly has more since its last report.
const maxNewOutcomes = 8

func (l *Ledger) recordOutcomes(now time.Time, target string, o fleet.Outcome, n uint32) {
	for range min(n, maxNewOutcomes) {
		l.fleet.RecordOutcome(now, target, o)
	}
}

// holder returns the state of an instance on a shard; nil when maxHolders instances are known already.
func (l *Ledger) holder(shard, instance string) *holder {
	if l.holders[shard] == nil {
		l.holders[shard] = make(map[string]*holder)
	}
	h := l.holders[shard][instance]
	if h == nil && len(l.holders[shard]) < maxHolders {
		h = &holder{name: instance + " " + shard, shard: shard, local: instance == l.self, outcomes: make(map[string]Outcomes)}
		l.holders[shard][instance] = h
	}
	return h
}

func (l *Ledger) publish(now time.Time, h *holder) {
	if h.local {
		return
	}
	loads, sizes := h.loads()
	l.fleet.SetPeerLoad(now, h.name, loads, sizes)
}

// Place decides a request, or enqueues it: ok is false then, and DecideWaiting decides it later. A retransmitted request gets
// the same answer as before.
func (l *Ledger) Place(now time.Time, s *Shard, req PlaceRequest) (answer Answer, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, known := l.answers[req.Key]; known {
		return old.Answer, true
	}
	i := slices.IndexFunc(l.waiting, func(w *waitingRequest) bool { return w.Key == req.Key })
	if i >= 0 {
		l.waiting[i].lastSeen = now
		return Answer{}, false
	}
	l.markRetry(now, &req)
	l.observeArrival(now, s, &req)
	l.checkRefusals(now, s)
	if !l.mustQueue(s, &req) {
		answer, ok = l.decide(now, s, &req)
	}
	if !ok {
		answer, ok = l.refuseOnArrival(now, s, &req)
	}
	if !ok && len(l.waiting) < maxWaiting {
		l.enqueue(&waitingRequest{PlaceRequest: req, shard: s, lastSeen: now})
	}
	return answer, ok
}

// decide answers a request, unless it should wait.
func (l *Ledger) decide(now time.Time, s *Shard, req *PlaceRequest) (Answer, bool) {
	d := l.choose(now, s, req)
	if d.Action == admit.Wait {
		return Answer{}, false
	}
	return l.recordDecision(now, s, req, d), true
}

// recordDecision turns a decision into the answer to a request, and counts what it grants.
func (l *Ledger) recordDecision(now time.Time, s *Shard, req *PlaceRequest, d admit.Decision) Answer {
	out := Answer{Key: req.Key, ReplyAddr: req.ReplyAddr, Describe: req.Describe, Action: d.Action, Target: d.Target.ID, After: d.RetryAfter}
	switch d.Action {
	case admit.Admit:
		l.grant(now, s, req, &out)
		l.charge(now, s, req)
	case admit.RetryLater:
		out.After = l.retryAfter(now, s, req, d.RetryAfter)
		l.rememberRejection(now, req, out.After)
	}
	l.answers[req.Key] = sentAnswer{Answer: out, at: now}
	out.annotate(now, req)
	return out
}

func (l *Ledger) placer() *admit.Placer {
	return &admit.Placer{Fleet: l.fleet, Prefill: l.prefillRates, Acquire: l.fleet.Choose, Random: l.random}
}

func (l *Ledger) choose(now time.Time, s *Shard, req *PlaceRequest) admit.Decision {
	need := req.Stream.Need
	need.Among = s.Engines()
	need.Reserved = l.reserved[s.Key]
	p := l.placer()
	if l.pauses.applies(req) {
		pauses := l.pauses.decision(now, l.Rates(), s, l.fleet.Spec(need.Service), req)
		p.PrefillTime, need.Penalty, need.Choice = pauses.prefillTime, pauses.penalty, new(fleet.Choice)
	}
	d := l.chooseWith(now, p, need, req)
	if d.Action == admit.Admit && need.Choice != nil {
		countChoice(need.Choice)
	}
	return d
}

func (l *Ledger) chooseWith(now time.Time, p *admit.Placer, need fleet.Need, req *PlaceRequest) admit.Decision {
	if req.Mode == Admit {
		stream := req.Stream
		stream.Need = need
		if d := p.Step(now, stream); d.Action != admit.Fallback {
			return d
		}
	}
	need.RequireMemory = req.Mode == MustFit
	target, ok := l.fleet.Choose(now, need)
	if !ok {
		return admit.Decision{Action: admit.Fallback}
	}
	return admit.Decision{Action: admit.Admit, Target: target}
}

// Tick removes expired state.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.answers {
		if now.Sub(a.at) > answerTTL {
			delete(l.answers, key)
		}
	}
	l.expireRejections(now)
	l.pauses.tick(now)
	l.rates.tick(now)
	l.expireFairness(now)
	l.expireRoom(now)
	for id, p := range l.moves {
		if now.Sub(p.at) > moveTTL {
			delete(l.moves, id)
		}
	}
	for shard, list := range l.holders {
		for instance, h := range list {
			l.expire(now, list, instance, h)
		}
		if len(list) == 0 {
			delete(l.holders, shard)
		}
	}
}

func (l *Ledger) expire(now time.Time, list map[string]*holder, instance string, h *holder) {
	n := len(h.grants)
	h.dropGrants(now, 0)
	switch {
	case now.Sub(h.lastReport) > reportTTL && len(h.grants) == 0:
		delete(list, instance)
		l.forgetProgress(h)
		h.runs, h.copies = nil, nil
		l.publish(now, h)
	case len(h.grants) < n:
		l.publish(now, h)
	}
}

// runsOn lists the reported movable runs on some engines.
func (l *Ledger) runsOn(engines map[string]bool) []moveplan.Run {
	var out []moveplan.Run
	for _, list := range l.holders {
		for _, h := range list {
			for _, r := range h.runs {
				if engines[r.Target] && !r.Pinned {
					out = append(out, r.toPlan())
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b moveplan.Run) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b moveplan.Run) bool { return a.ID == b.ID })
}

// Users returns the reply addresses of the other instances that have runs or copies on some engines of a shard.
func (l *Ledger) Users(shard string, engines map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, h := range l.holders[shard] {
		if !h.local && h.uses(engines) {
			out = append(out, h.addr)
		}
	}
	return out
}

// uses reports whether the instance has runs or copies on some engines.
func (h *holder) uses(engines map[string]bool) bool {
	return slices.ContainsFunc(h.runs, func(r Run) bool { return engines[r.Target] }) ||
		slices.ContainsFunc(h.copies, func(m Copy) bool { return engines[m.Target] })
}
