package owner

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is the period of the heartbeats between candidates, which carry the fill levels of their shards.
	HeartbeatInterval = 100 * time.Millisecond
	// heartbeatTTL is how long a candidate counts as alive after a heartbeat: three may be lost or late.
	heartbeatTTL = 350 * time.Millisecond
	// fillTTL is how long a published fill level is used.
	fillTTL = 600 * time.Millisecond
	// RemoteDomainFactor multiplies the interval at which fill levels are sent to other failure domains, and how long they are used there:
	// traffic between domains costs money, and few streams are forwarded there.
	RemoteDomainFactor = 5
	// suspectMin and suspectMax bound how long an owner that did not answer is queried after all others, doubled each time. An owner
	// that is gone for good stays listed, and costs an instance that queries it first 0.15 s.
	suspectMin = 2 * time.Second
	suspectMax = time.Minute
	// coldPeriod is how long an owner lacks the state to decide after it started, resumed or was isolated: the others report what
	// they have on its engines within one report interval.
	coldPeriod = ReportInterval + 200*time.Millisecond
	// isolationTimeout is the silence of all other candidates after which an owner assumes that it was isolated.
	isolationTimeout = time.Second
	// forwardMargin is the difference in fill level, as a share of memory, from which a stream is forwarded to a less loaded shard.
	// Fill levels are sent ten times a second, and a stream takes under a hundredth of a shard: with a smaller margin streams
	// would be forwarded back and forth.
	forwardMargin = 0.08
)

// Heartbeat is the periodic message between candidates for a shard.
type Heartbeat struct {
	Instance    string
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Fills       map[string]Fill // of the shards that the instance owns, by key
}

// Fill is the fill level of a shard.
type Fill struct {
	Used        float64 // share of its memory in use or reserved, with pending prefill weighed in
	LargestFree int     // tokens that a run may take on the engine with the most free memory

	Software []uint64 // versions of its engines' software, at most maxFillSoftware
}

// maxFillSoftware bounds the versions published for a shard: during a release a service has two or three.
const maxFillSoftware = 4

type receivedHeartbeat struct {
	Heartbeat
	at time.Time
}

type suspect struct {
	until time.Time
	step  time.Duration
}

type receivedFill struct {
	Fill
	owner string
	at    time.Time
}

// Peers holds the last known state of the other candidates. It is safe for concurrent use.
type Peers struct {
	self   string
	random func() float64

	mu            sync.Mutex
	heartbeats    map[string]receivedHeartbeat
	fills         map[string]receivedFill // by shard
	suspects      map[string]suspect
	coldUntil     time.Time // until then this instance is cold
	listOld       bool      // this instance's list of targets is old, and it is cold for that
	lastHeartbeat time.Time // when the last heartbeat of any instance arrived
	leaving       bool
}

// NewPeers returns the empty state of an instance that starts now.
func NewPeers(self string, now time.Time) *Peers {
	return &Peers{
		self: self, random: rand.Float64, coldUntil: now.Add(coldPeriod),
		heartbeats: make(map[string]receivedHeartbeat), fills: make(map[string]receivedFill), suspects: make(map[string]suspect),
	}
}

// setRandom replaces the random source, which returns numbers in [0, 1).
func (p *Peers) setRandom(random func() float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random = random
}

// ReceiveHeartbeat applies a heartbeat.
func (p *Peers) ReceiveHeartbeat(now time.Time, b Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.heartbeats[b.Instance]
	if b.Instance == p.self || known && now.Sub(old.at) <= heartbeatTTL && b.Incarnation < old.Incarnation {
		return
	}
	if now.Sub(p.lastHeartbeat) > isolationTimeout {
		p.coldUntil = now.Add(coldPeriod)
	}
	p.lastHeartbeat = now
	p.heartbeats[b.Instance] = receivedHeartbeat{Heartbeat: b, at: now}
	delete(p.suspects, b.Instance)
	for key, f := range b.Fills {
		p.fills[key] = receivedFill{Fill: f, owner: b.Instance, at: now}
	}
}

// MarkStalled records that this instance was stalled: the state that it received is outdated.
func (p *Peers) MarkStalled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldUntil = now.Add(coldPeriod)
}

// SetListOld records whether this instance's list of targets is old. While other candidates have a newer one, they decide: the owner would grant only targets
// that it knows, such as those of an earlier software version, or that have left.
func (p *Peers) SetListOld(old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listOld = old
}

// isCold reports whether this instance lacks the state to decide. p.mu is held.
func (p *Peers) isCold(now time.Time) bool { return p.listOld || now.Before(p.coldUntil) }

// Leave records that this instance terminates.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// State reports whether this instance is cold, and whether it terminates.
func (p *Peers) State(now time.Time) (cold, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCold(now), p.leaving
}

// Suspect records that an instance did not answer.
func (p *Peers) Suspect(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[name]
	s.step = min(max(2*s.step, suspectMin), suspectMax)
	s.until = now.Add(s.step)
	p.suspects[name] = s
}

// ClearSuspect records that an instance has answered.
func (p *Peers) ClearSuspect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, name)
}

// QueryOrder returns the candidates of a shard in the order in which to query them: suspects last.
func (p *Peers) QueryOrder(now time.Time, s *Shard) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Instance, 0, len(s.Ranked))
	var last []Instance
	for _, in := range s.Ranked {
		if now.Before(p.suspects[in.Name].until) {
			last = append(last, in)
			continue
		}
		out = append(out, in)
	}
	return append(out, last...)
}

// ActingOwner returns the candidate that decides for a shard: the first in rank that is alive, not leaving and not cold; if all
// are cold, the first that is alive. An instance that is no candidate itself assumes that all are alive.
func (p *Peers) ActingOwner(now time.Time, s *Shard) (Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isCandidate := s.IsCandidate(p.self)
	var cold *Instance
	for i, in := range s.Ranked {
		alive, isCold := p.alive(now, in.Name)
		if !isCandidate {
			alive = true
		}
		if !alive {
			continue
		}
		if !isCold {
			return in, true
		}
		if cold == nil {
			cold = &s.Ranked[i]
		}
	}
	if cold != nil {
		return *cold, true
	}
	return Instance{}, false
}

func (p *Peers) alive(now time.Time, name string) (alive, cold bool) {
	if name == p.self {
		return !p.leaving, p.isCold(now)
	}
	b, ok := p.heartbeats[name]
	return ok && now.Sub(b.at) < heartbeatTTL && !b.Leaving, b.Cold
}

// LastKnownOwner returns the candidate of a shard that last sent its fill level; ok is false if none has recently.
func (p *Peers) LastKnownOwner(now time.Time, s *Shard) (by Instance, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, known := p.fills[s.Key]
	if !known || now.Sub(f.at) > RemoteDomainFactor*fillTTL {
		return Instance{}, false
	}
	for _, in := range s.Ranked {
		if in.Name == f.owner {
			return in, true
		}
	}
	return Instance{}, false
}

// IsSilent reports whether an instance sent heartbeats before, and has stopped or is leaving.
func (p *Peers) IsSilent(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, known := p.heartbeats[name]
	return known && (now.Sub(b.at) >= heartbeatTTL || b.Leaving)
}

// PickLessLoaded returns a shard to which a stream is forwarded from one with the given used share, and its owner; ok is false when
// the stream stays. It is chosen at random among the less loaded shards, weighted by the difference: fill levels arrive some tens of
// milliseconds late, and all owners would otherwise forward their streams to the same shard.
func (p *Peers) PickLessLoaded(now time.Time, s *Shard, used float64) (to *Shard, owner string, ok bool) {
	return p.pickWeighted(now, s, func(f *receivedFill) float64 { return used - forwardMargin - f.Used })
}

// PickWithCapacity returns a shard with an engine that has capacity for a number of tokens, and its owner. It is chosen at random,
// weighted by free capacity; with software, an engine of that version. The tokens are deducted from the last known fill level, so that streams that wait here together are not
// all forwarded to the same shard.
func (p *Peers) PickWithCapacity(now time.Time, s *Shard, tokens int, software uint64) (to *Shard, owner string, ok bool) {
	to, owner, ok = p.pickWeighted(now, s, func(f *receivedFill) float64 {
		if f.LargestFree < tokens || software != 0 && !slices.Contains(f.Software, software) {
			return 0
		}
		return float64(f.LargestFree)
	})
	if ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		f := p.fills[to.Key]
		f.LargestFree -= tokens
		p.fills[to.Key] = f
	}
	return to, owner, ok
}

// PickWithSoftware returns a shard that has engines of a software version, and its owner. Less loaded shards are more likely.
func (p *Peers) PickWithSoftware(now time.Time, s *Shard, software uint64) (to *Shard, owner string, ok bool) {
	return p.pickWeighted(now, s, func(f *receivedFill) float64 {
		if !slices.Contains(f.Software, software) {
			return 0
		}
		return max(minSoftwareWeight, 1-f.Used)
	})
}

// minSoftwareWeight is the weight of a full shard that has the only engines of a version.
const minSoftwareWeight = 0.01

// pickWeighted chooses one of a shard's neighbours at random by weight; those without a positive weight are left out.
func (p *Peers) pickWeighted(now time.Time, s *Shard, weightOf func(*receivedFill) float64) (to *Shard, owner string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, n := range s.Neighbours() {
		f, known := p.fills[n.Key]
		if !known || now.Sub(f.at) > fillTTLBetween(s, n) {
			continue
		}
		weight := weightOf(&f)
		if weight <= 0 {
			continue
		}
		sum += weight
		if p.random()*sum < weight {
			to, owner, ok = n, f.owner, true
		}
	}
	return to, owner, ok
}

// fillTTLBetween is how long a shard's owner uses the fill level of another shard.
func fillTTLBetween(s, other *Shard) time.Duration {
	if other.Domain != s.Domain {
		return RemoteDomainFactor * fillTTL
	}
	return fillTTL
}

// SetFill records the fill level of a shard that this instance owns.
func (p *Peers) SetFill(now time.Time, shard string, f Fill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fills[shard] = receivedFill{Fill: f, owner: p.self, at: now}
}
