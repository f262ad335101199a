package fleet

import "time"

// Constants of the choice. Scores are in units of a full target.
const (
	// failStep is the weight of one outcome in the share of failures: about the last ten requests count.
	failStep = 0.1
	// failFree is the share of failures that is borne as the callers' own: some requests fail wherever they run.
	failFree = 0.25
	// failCost is the score of a target that fails everything, beyond failFree.
	failCost = 3.0
	// awayCost is the score of another failure domain: bytes between domains cost, but less than waiting.
	awayCost = 0.04
	// reportLife is how long a report of load is believed.
	reportLife = 400 * time.Millisecond
	// avoidFirst and avoidMax bound how long a target that could not be reached gets nothing.
	avoidFirst = 250 * time.Millisecond
	avoidMax   = 2 * time.Second
	// OutageGrace is how long an entry that lapsed while the store was away is still believed: entries of targets that
	// live are back within about two seconds of the store's return.
	OutageGrace = 2 * time.Second
	// peerLife is how long a peer's news of its sends is believed.
	peerLife = 1500 * time.Millisecond
	// jitter keeps instances that believe the same from choosing the same target.
	jitter = 0.02
	// minConns is the number of connections that an instance may hold to a target however many instances there are.
	minConns = 2
	// unreadWeight is what a token of a prompt that waits to be read costs, against one in memory: prompts are read one
	// chunk between the tokens of others, so a second one doubles the time to the first token of both.
	unreadWeight = 2.0
	// runWeight is the score of one more run on an engine, beside its memory: each run slows the others' tokens.
	runWeight = 0.01
)

// Need is what a request asks of a target.
type Need struct {
	Service         string
	Tokens          int             // of engine memory; 0 for a plain service
	Unread          int             // tokens of its prompt to read
	Exclude         map[string]bool // targets not to choose
	Among           []string        // ids of the targets to choose among, sorted; nil: all
	Reserved        map[string]bool // targets that are kept for other requests
	PreferredDomain string          // failure domain to prefer; empty: the instance's own
	RequireMemory   bool            // engine memory must hold Tokens: for copies, which are refused otherwise
	Peak            Size            // if set with Must: engine memory must hold this run beside the others to their ends
	MaxUnread       int             // with Must: prompts that wait to be read there, with this one, hold no more tokens; 0: any
	CrossDomainCost float64         // score of another failure domain than Near; 0: the constant awayCost
	Regions         []string        // regions that the request is bound to; nil: any
	Granted         bool            // the target's owner has chosen it and counted the request there
	FoundByOwner    bool            // the target was found by an owner: it may be one that this instance does not list
	asOwner         bool            // this instance chooses as the target's owner
}

// Acquire chooses a target and counts the request there until Release.
func (f *Fleet) Acquire(now time.Time, n Need) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.choose(now, n)
	if best == nil {
		return Info{}, false
	}
	f.countPaced(now, best, &n)
	best.own.add(Load{Runs: 1, Tokens: n.Tokens, Unread: n.Unread})
	return best.Info, true
}

// Choose chooses a target for a request of another instance, which counts it.
func (f *Fleet) Choose(now time.Time, n Need) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.asOwner = true
	best := f.choose(now, n)
	if best == nil {
		return Info{}, false
	}
	f.countPaced(now, best, &n)
	return best.Info, true
}

// AcquireAt counts a request at one target, if it may be chosen.
func (f *Fleet) AcquireAt(now time.Time, id string, n Need) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || !f.allowed(now, t, n) {
		return Info{}, false
	}
	f.countPaced(now, t, &n)
	t.own.add(Load{Runs: 1, Tokens: n.Tokens, Unread: n.Unread})
	return t.Info, true
}

func (f *Fleet) choose(now time.Time, n Need) *Target {
	var best, last *Target
	bestScore := 0.0
	for _, t := range f.among(n.Service, n.Among) {
		if n.RequireMemory && n.Reserved[t.ID] || !f.allowed(now, t, n) {
			continue
		}
		if now.Before(t.avoidUntil) {
			if last == nil || t.avoidUntil.Before(last.avoidUntil) {
				last = t
			}
			continue
		}
		s := f.score(now, t, n)
		if best == nil || s < bestScore {
			best, bestScore = t, s
		}
	}
	if best == nil && !n.RequireMemory {
		// All were unreachable lately; the one whose pause ends first is better than a refusal.
		return last
	}
	return best
}

// among returns the targets of some ids, or with nil all of a service, in the order of their ids. The list is valid until the next
// call.
func (f *Fleet) among(service string, ids []string) []*Target {
	if ids == nil {
		return f.index.of(service)
	}
	f.named = f.named[:0]
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			f.named = append(f.named, t)
		}
	}
	return f.named
}

func (f *Fleet) allowed(now time.Time, t *Target, n Need) bool {
	switch {
	case t.Service != n.Service, n.Exclude[t.ID], !f.takes(t), t.isGranted() && !n.Granted && !n.FoundByOwner:
		return false
	case !n.asOwner && now.Before(t.restUntil):
		return false
	case !f.within(t, n.Regions), !f.paceAllows(now, t, &n):
		return false
	}
	spec := f.specs[t.Service]
	if spec.ConnCap > 0 && float64(t.own.Runs) >= max(minConns, f.share*float64(spec.ConnCap)) {
		return false
	}
	if n.RequireMemory && n.MaxUnread > 0 {
		if unread := f.carried(t).Unread; unread > 0 && unread+n.Unread > n.MaxUnread {
			return false
		}
	}
	if n.RequireMemory && spec.KVTokens > 0 && n.Peak.Held > 0 {
		return f.fits(t, n.Peak, spec.KVTokens)
	}
	if n.RequireMemory && spec.KVTokens > 0 {
		return f.carried(t).Tokens+n.Tokens <= spec.KVTokens
	}
	return true
}

// KnownState is what a choice of a target rested on.
type KnownState struct {
	ReadyTargets int             // targets of the service that take requests
	Load         Load            // of the target, with the request itself
	Peers        int             // instances whose news are counted in the load
	OldestUpdate time.Duration   // age of the oldest of these
	Skipped      []SkippedTarget // targets of the service that were passed over by their own word, some of them if there are many
}

// SkipReason is a kind of thing that a target says of itself in answers.
type SkipReason string

// Values of Word, as they are written in logs.
const (
	SkipLimit   SkipReason = "limit"
	SkipBackoff SkipReason = "rests"
	SkipLeaving SkipReason = "leaves"
)

// SkippedTarget is a target that gets nothing because of what it said of itself.
type SkippedTarget struct {
	ID      string
	Reason  SkipReason
	Age     time.Duration // of the word
	Relayed bool          // another instance heard it
}

// passedMost bounds the targets that a Belief names.
const passedMost = 6

// passedFor is how long after its word a target that leaves is named.
const passedFor = 5 * time.Second

// passed tells whether a target gets nothing now because of what it said.
func (t *Target) passed(now time.Time) (SkippedTarget, bool) {
	p := SkippedTarget{ID: t.ID}
	switch {
	case t.state == Leaving && now.Sub(t.leavingAt) < passedFor:
		p.Reason, p.Age = SkipLeaving, now.Sub(t.leavingAt)
	case t.state != Leaving && now.Before(t.restUntil):
		p.Reason, p.Age = SkipBackoff, now.Sub(t.restFrom)
	case t.state != Leaving && t.limit.On && now.Before(t.pacer.holdOff):
		p.Reason, p.Age, p.Relayed = SkipLimit, now.Sub(t.limit.ReceivedAt), t.limit.Relayed
	}
	return p, p.Reason != ""
}

// KnownState tells what is believed of a target, for logs.
func (f *Fleet) KnownState(now time.Time, id string) KnownState {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return KnownState{}
	}
	b := KnownState{Load: f.carried(t), Peers: len(f.peers)}
	for _, p := range f.peers {
		b.OldestUpdate = max(b.OldestUpdate, now.Sub(p.at))
	}
	for domain, n := range f.index.services[t.Service].ready {
		if !f.evacuated[domain] {
			b.ReadyTargets += n
		}
	}
	pass := func(other *Target) bool {
		if p, ok := other.passed(now); ok && other.Service == t.Service {
			b.Skipped = append(b.Skipped, p)
		}
		return len(b.Skipped) < passedMost
	}
	f.index.leftSince(now.Add(-passedFor), pass)
	for _, other := range f.index.worded {
		if len(b.Skipped) >= passedMost || !pass(other) {
			break
		}
	}
	return b
}

// carried is the load of all instances, as far as this one knows.
func (f *Fleet) carried(t *Target) Load {
	sum := t.own
	sum.add(f.toldOf(t).load)
	return sum
}

func (f *Fleet) score(now time.Time, t *Target, n Need) float64 {
	load := f.carried(t)
	s := failCost*max(0, t.failing(now)-failFree) + jitter*f.random()
	if kv := f.specs[t.Service].KVTokens; kv > 0 {
		s += (float64(load.Tokens+n.Tokens) + unreadWeight*float64(load.Unread)) / float64(kv)
		s += runWeight * float64(load.Runs)
	} else {
		busy := float64(load.Runs)
		if now.Sub(t.reportedAt) < reportLife {
			busy = max(busy, t.reported)
		}
		s += busy / float64(max(1, t.Slots))
	}
	near := n.PreferredDomain
	if near == "" {
		near = f.domain
	}
	if t.Domain != near {
		s += max(awayCost, n.CrossDomainCost)
	}
	return s
}
