package fleet

import "time"

// Constants of target selection. Scores are in units of one fully loaded target.
const (
	// failureWeight is the weight of one outcome in the moving failure share: about the last ten requests count.
	failureWeight = 0.1
	// toleratedFailures is the failure share that carries no penalty: some requests fail on any target because of their own content.
	toleratedFailures = 0.25
	// failureCost is the penalty, beyond toleratedFailures, of a target that fails every request.
	failureCost = 3.0
	// crossDomainCost is the penalty for another failure domain: traffic between domains costs, but less than waiting does.
	crossDomainCost = 0.04
	// avoidMin and avoidMax bound the exponential backoff of a target that could not be reached.
	avoidMin = 250 * time.Millisecond
	avoidMax = 2 * time.Second
	// OutageGrace is how long targets whose entries expired during a store outage are kept: live targets write their entries again
	// within about two seconds of the store's return.
	OutageGrace = 2 * time.Second
	// peerTTL is how long a peer's load update is used.
	peerTTL = 1500 * time.Millisecond
	// jitter keeps instances with the same view from all choosing the same target.
	jitter = 0.02
	// unreadWeight is the cost of a prompt token that waits for prefill, relative to one in memory: prompts are prefilled one chunk
	// between decode steps, so a second prompt doubles the time to first token of both.
	unreadWeight = 2.0
	// runWeight is the cost of one more run on an engine, besides its memory: each run slows down decoding for the others.
	runWeight = 0.01
)

// Need describes what a request requires of a target.
type Need struct {
	Service         string
	Tokens          int             // of engine memory; 0 for a plain service
	Unread          int             // prompt tokens to prefill
	Exclude         map[string]bool // targets not to choose
	Among           []string        // ids of the targets to choose among, sorted; nil: all
	Reserved        map[string]bool // targets that are reserved for other requests
	PreferredDomain string          // preferred failure domain; empty: the instance's own
	RequireMemory   bool            // refuse unless engine memory holds Tokens; set for copies
	Peak            Size            // if set, with RequireMemory: engine memory must hold this run beside the others until they end
	MaxUnread       int             // with RequireMemory: limit on prompt tokens waiting for prefill there, this request's included; 0: none
	// MaxUnreadOf returns MaxUnread for a target; 0: MaxUnread applies. It must not call the Fleet. nil: MaxUnread applies to all.
	MaxUnreadOf     func(id string) int
	CrossDomainCost float64  // penalty for a domain other than PreferredDomain, if above the default
	Regions         []string // regions that the request is restricted to; nil: any
	Software        uint64   // Software.ID of the version that has begun the stream, and that alone may continue it; 0: any
	Granted         bool     // the target's owner chose it and has counted the request there
	FoundByOwner    bool     // an owner found the target, which this instance's list may not contain
	// Penalty returns what a choice of an engine costs beyond its load, in units of one fully loaded target. load and runs are those
	// already there, runs for the time of the call. It must not call the Fleet. nil: nothing.
	Penalty func(t Info, load Load, runs []Size) float64
	Choice  *Choice // if set, with Penalty, receives how the penalty influenced the choice
	asOwner bool    // this instance chooses as the target's owner
	spec    *Spec   // of the service's targets, during a choice among many; nil: not looked up
}

// Choice describes how Need.Penalty influenced a choice.
type Choice struct {
	Penalty float64 // of the chosen target
	Changed bool    // without penalties, another target would have been chosen
}

// maxUnreadAt returns the limit on prompt tokens waiting for prefill at a target; 0: none.
func (n *Need) maxUnreadAt(id string) int {
	if n.MaxUnreadOf != nil {
		if limit := n.MaxUnreadOf(id); limit > 0 {
			return limit
		}
	}
	return n.MaxUnread
}

// Acquire chooses a target and counts the request there until it is released.
func (f *Fleet) Acquire(now time.Time, n Need) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.choose(now, n)
	if best == nil {
		return Info{}, false
	}
	f.countPaced(now, best, &n)
	best.local.add(Load{Runs: 1, Tokens: n.Tokens, Unread: n.Unread})
	return best.Info, true
}

// Choose chooses a target for a request of another instance, which counts the request itself.
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

// AcquireAt counts a request at the given target if the target may be chosen.
func (f *Fleet) AcquireAt(now time.Time, id string, n Need) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil || !f.allowed(now, t, &n) {
		return Info{}, false
	}
	f.countPaced(now, t, &n)
	t.local.add(Load{Runs: 1, Tokens: n.Tokens, Unread: n.Unread})
	return t.Info, true
}

func (f *Fleet) choose(now time.Time, n Need) *Target {
	var best, last *Target
	var bestScore float64
	var unpenalized lowestScore
	spec := f.specs[n.Service]
	n.spec = &spec
	if spec.KVTokens == 0 {
		f.surveyPlain(now, n.Service)
	}
	for _, t := range f.among(n.Service, n.Among) {
		if n.RequireMemory && n.Reserved[t.ID] || !f.allowed(now, t, &n) {
			continue
		}
		if now.Before(t.avoidUntil) {
			if last == nil || t.avoidUntil.Before(last.avoidUntil) {
				last = t
			}
			continue
		}
		s := f.score(now, t, &n)
		penalty := f.penalty(t, &n)
		unpenalized.offer(t, s)
		if s += penalty; best == nil || s < bestScore {
			best, bestScore = t, s
			if n.Choice != nil {
				n.Choice.Penalty = penalty
			}
		}
	}
	if n.Choice != nil {
		n.Choice.Changed = best != unpenalized.target
	}
	if best == nil && !n.RequireMemory {
		// All were unreachable recently: the one whose backoff ends first is better than refusing the request.
		return last
	}
	return best
}

// lowestScore is the target of lowest score among those offered.
type lowestScore struct {
	target *Target
	score  float64
}

func (l *lowestScore) offer(t *Target, score float64) {
	if l.target == nil || score < l.score {
		l.target, l.score = t, score
	}
}

// penalty returns what the choice of an engine costs beyond its load.
func (f *Fleet) penalty(t *Target, n *Need) float64 {
	if n.Penalty == nil || n.spec.KVTokens <= 0 {
		return 0
	}
	f.sizesBuf = f.appendSizes(f.sizesBuf[:0], t)
	return n.Penalty(t.Info, f.totalLoad(t), f.sizesBuf)
}

// among returns the targets with the given ids, or all targets of the service if ids is nil, ordered by id. The result is valid until
// the next call.
func (f *Fleet) among(service string, ids []string) []*Target {
	if ids == nil {
		return f.index.targetsOf(service)
	}
	f.amongBuf = f.amongBuf[:0]
	for _, id := range ids {
		if t := f.targets[id]; t != nil {
			f.amongBuf = append(f.amongBuf, t)
		}
	}
	return f.amongBuf
}

func (f *Fleet) allowed(now time.Time, t *Target, n *Need) bool {
	switch {
	case t.Service != n.Service, n.Exclude[t.ID], !f.accepts(t), t.isGranted() && !n.Granted && !n.FoundByOwner:
		return false
	case !n.asOwner && now.Before(t.backoffUntil):
		return false
	case !t.runs(n.Software), !f.inRegions(t, n.Regions), !f.paceAllows(now, t, n):
		return false
	}
	spec := n.spec
	if spec == nil {
		looked := f.specs[t.Service]
		spec = &looked
	}
	if !f.hasRoom(t, spec) {
		return false
	}
	if !f.mayConnect(now, t, spec) {
		return false
	}
	if n.RequireMemory {
		if unread := f.totalLoad(t).Unread; unread > 0 {
			if limit := n.maxUnreadAt(t.ID); limit > 0 && unread+n.Unread > limit {
				return false
			}
		}
	}
	if n.RequireMemory && spec.KVTokens > 0 && n.Peak.Held > 0 {
		return f.fits(t, n.Peak, spec.KVTokens)
	}
	if n.RequireMemory && spec.KVTokens > 0 {
		return f.totalLoad(t).Tokens+n.Tokens <= spec.KVTokens
	}
	return true
}

// KnownState is the state of a target, and of its service, on which a choice was based.
type KnownState struct {
	ReadyTargets int             // targets of the service that accept requests
	Load         Load            // of the target, including the request itself
	Peers        int             // instances whose updates the load includes
	OldestUpdate time.Duration   // age of the oldest of these updates
	Plain        PlainState      // load that a plain target named
	Skipped      []SkippedTarget // targets of the service that their own notices excluded, at most maxSkipped
}

// SkipReason is the kind of notice, sent by a target with its responses, that excludes it from selection.
type SkipReason string

// Values of SkipReason as written to logs.
const (
	SkipLimit   SkipReason = "limit"
	SkipBackoff SkipReason = "rests"
	SkipLeaving SkipReason = "leaves"
)

// SkippedTarget is a target that is excluded because of a notice it sent.
type SkippedTarget struct {
	ID      string
	Reason  SkipReason
	Age     time.Duration // of the notice
	Relayed bool          // another instance received the notice
}

// maxSkipped bounds the targets listed in a KnownState.
const maxSkipped = 6

// leavingShownFor is how long a target is listed as skipped after it announced that it leaves.
const leavingShownFor = 5 * time.Second

// skipReason reports whether a notice from the target excludes it now.
func (t *Target) skipReason(now time.Time) (SkippedTarget, bool) {
	p := SkippedTarget{ID: t.ID}
	switch {
	case t.state == Leaving && now.Sub(t.leftAt) < leavingShownFor:
		p.Reason, p.Age = SkipLeaving, now.Sub(t.leftAt)
	case t.state != Leaving && now.Before(t.backoffUntil):
		p.Reason, p.Age = SkipBackoff, now.Sub(t.backoffSince)
	case t.state != Leaving && t.limit.On && now.Before(t.pacer.holdOff):
		p.Reason, p.Age, p.Relayed = SkipLimit, now.Sub(t.limit.ReceivedAt), t.limit.Relayed
	}
	return p, p.Reason != ""
}

// KnownState returns the known state of a target, for logs.
func (f *Fleet) KnownState(now time.Time, id string) KnownState {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return KnownState{}
	}
	state := KnownState{Load: f.totalLoad(t), Peers: len(f.peers)}
	if f.specs[t.Service].KVTokens == 0 {
		state.Plain = t.plainState(now)
	}
	for _, p := range f.peers {
		state.OldestUpdate = max(state.OldestUpdate, now.Sub(p.receivedAt))
	}
	for domain, n := range f.index.services[t.Service].ready {
		if !f.isEvacuated(domain) {
			state.ReadyTargets += n
		}
	}
	addSkipped := func(other *Target) bool {
		if p, ok := other.skipReason(now); ok && other.Service == t.Service {
			state.Skipped = append(state.Skipped, p)
		}
		return len(state.Skipped) < maxSkipped
	}
	f.index.leftSince(now.Add(-leavingShownFor), addSkipped)
	for _, other := range f.index.signalled {
		if len(state.Skipped) >= maxSkipped || !addSkipped(other) {
			break
		}
	}
	return state
}

// totalLoad returns the load of all instances on a target, as far as known.
func (f *Fleet) totalLoad(t *Target) Load {
	sum := t.local
	sum.add(f.peerTotal(t).load)
	return sum
}

func (f *Fleet) score(now time.Time, t *Target, n *Need) float64 {
	load := f.totalLoad(t)
	score := failureCost*max(0, t.failureEstimate(now)-toleratedFailures) + jitter*f.random()
	if memory := n.spec.KVTokens; memory > 0 {
		score += (float64(load.Tokens+n.Tokens) + unreadWeight*float64(load.Unread)) / float64(memory)
		score += runWeight * float64(load.Runs)
	} else {
		score += f.plainView.cost(now, t, load.Runs)
	}
	preferred := n.PreferredDomain
	if preferred == "" {
		preferred = f.domain
	}
	if t.Domain != preferred {
		score += max(crossDomainCost, n.CrossDomainCost)
	}
	return score
}
