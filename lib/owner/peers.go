package owner

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is the period at which owners tell each other that they live and how full their shards are.
	HeartbeatInterval = 100 * time.Millisecond
	// beatLife is how long an owner without a beat is believed to live: three may be lost or late.
	beatLife = 350 * time.Millisecond
	// fillLife is how long a shard is believed to be as full as was told.
	fillLife = 600 * time.Millisecond
	// RemoteDomainFactor is how many times more seldom a fill is told to other failure domains, and how many times longer it is believed there:
	// bytes between domains cost, and few streams go there.
	RemoteDomainFactor = 5
	// suspectFor and suspectMax bound how long an owner that did not answer is asked after all others: each time twice as
	// long. One that is gone for good stays listed, and costs whoever asks it first 0.15 s.
	suspectFor = 2 * time.Second
	suspectMax = time.Minute
	// coldFor is how long an owner that has just started, woken or been cut off has been told too little to decide: what
	// the others have on its engines comes with their next reports.
	coldFor = ReportInterval + 200*time.Millisecond
	// alone is the silence of all other candidates after which an owner takes itself to have been cut off.
	aloneFor = time.Second
	// passMargin is how much fuller than another shard, as a part of its memory, one must be for a stream to be passed on.
	// Fills are told ten times a second, and a stream takes under a hundredth of a shard: with less of a margin streams
	// would be passed to and fro.
	passMargin = 0.08
)

// Heartbeat is what an instance that ranks to own shards tells the others that do.
type Heartbeat struct {
	Instance    string
	Incarnation uint64
	Cold        bool
	Leaving     bool
	Fills       map[string]Fill // of the shards that it owns, by key
}

// Fill is how full a shard is.
type Fill struct {
	Used        float64 // of its memory that is spoken for, prompts to read weighed in
	LargestFree int     // tokens that a run may take on the roomiest of its engines
}

type beat struct {
	Heartbeat
	at time.Time
}

type suspect struct {
	until time.Time
	step  time.Duration
}

type fill struct {
	Fill
	owner string
	at    time.Time
}

// Peers is what an instance believes of the others that rank to own shards. It is safe for concurrent use.
type Peers struct {
	self   string
	random func() float64

	mu       sync.Mutex
	beats    map[string]beat
	fills    map[string]fill // by shard
	suspects map[string]suspect
	cold     time.Time // until then this instance is cold
	heard    time.Time // when any beat last came
	leaving  bool
}

// NewPeers returns the beliefs of an instance that starts now.
func NewPeers(self string, now time.Time) *Peers {
	return &Peers{
		self: self, random: rand.Float64, cold: now.Add(coldFor),
		beats: make(map[string]beat), fills: make(map[string]fill), suspects: make(map[string]suspect),
	}
}

// setRandom replaces the source of chance, between 0 and 1.
func (p *Peers) setRandom(random func() float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random = random
}

// ReceiveHeartbeat takes in a beat.
func (p *Peers) ReceiveHeartbeat(now time.Time, b Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.beats[b.Instance]
	if b.Instance == p.self || known && now.Sub(old.at) <= beatLife && b.Incarnation < old.Incarnation {
		return
	}
	if now.Sub(p.heard) > aloneFor {
		p.cold = now.Add(coldFor)
	}
	p.heard = now
	p.beats[b.Instance] = beat{Heartbeat: b, at: now}
	delete(p.suspects, b.Instance)
	for key, f := range b.Fills {
		p.fills[key] = fill{Fill: f, owner: b.Instance, at: now}
	}
}

// MarkStalled says that this instance has stood still: what it was told is old.
func (p *Peers) MarkStalled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cold = now.Add(coldFor)
}

// Leave says that this instance stops.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// State tells whether this instance is cold, and whether it stops.
func (p *Peers) State(now time.Time) (cold, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.cold), p.leaving
}

// Suspect notes that an instance did not answer.
func (p *Peers) Suspect(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.suspects[name]
	s.step = min(max(2*s.step, suspectFor), suspectMax)
	s.until = now.Add(s.step)
	p.suspects[name] = s
}

// ClearSuspect notes that an instance has answered.
func (p *Peers) ClearSuspect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.suspects, name)
}

// QueryOrder returns the candidates of a shard in the order in which to ask them: those that did not answer lately come last.
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

// ActingOwner returns the candidate that decides for a shard: the first in rank that lives, stays and is not cold; where all
// are cold, the first that lives. An instance that is no candidate takes the first for it.
func (p *Peers) ActingOwner(now time.Time, s *Shard) (Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	member := s.IsCandidate(p.self)
	var cold *Instance
	for i, in := range s.Ranked {
		alive, isCold := p.alive(now, in.Name)
		if !member {
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
		return !p.leaving, now.Before(p.cold)
	}
	b, ok := p.beats[name]
	return ok && now.Sub(b.at) < beatLife && !b.Leaving, b.Cold
}

// LastKnownOwner returns the candidate of a shard that last told how full it is; ok is false if none has lately.
func (p *Peers) LastKnownOwner(now time.Time, s *Shard) (by Instance, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, known := p.fills[s.Key]
	if !known || now.Sub(f.at) > RemoteDomainFactor*fillLife {
		return Instance{}, false
	}
	for _, in := range s.Ranked {
		if in.Name == f.owner {
			return in, true
		}
	}
	return Instance{}, false
}

// IsSilent reports whether an instance has been heard, and is not any more or stops.
func (p *Peers) IsSilent(now time.Time, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, heard := p.beats[name]
	return heard && (now.Sub(b.at) >= beatLife || b.Leaving)
}

// PickLessLoaded returns the shard to which a stream is passed on from one that is full to part own, and its owner; ok is false when it
// stays. It is drawn from the emptier ones, by how much emptier each is: they are told some tens of milliseconds late, and
// all owners would else pass theirs to the same.
func (p *Peers) PickLessLoaded(now time.Time, s *Shard, own float64) (to *Shard, owner string, ok bool) {
	return p.draw(now, s, func(f *fill) float64 { return own - passMargin - f.Used })
}

// PickWithCapacity returns a shard with an engine that has room for a stream of some tokens, and its owner. Of several it is drawn by
// how much room there is. The room is taken off what is believed, so that streams that wait here together are not all
// passed on to the same.
func (p *Peers) PickWithCapacity(now time.Time, s *Shard, tokens int) (to *Shard, owner string, ok bool) {
	to, owner, ok = p.draw(now, s, func(f *fill) float64 {
		if f.LargestFree < tokens {
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

// draw draws one of a shard's neighbours by weight; those that weigh nothing are left out.
func (p *Peers) draw(now time.Time, s *Shard, weigh func(*fill) float64) (to *Shard, owner string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, n := range s.Neighbours() {
		f, known := p.fills[n.Key]
		if !known || now.Sub(f.at) > fillLifeAt(s, n) {
			continue
		}
		weight := weigh(&f)
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

// fillLifeAt is how long a shard's owner believes what it was told of another.
func fillLifeAt(s, other *Shard) time.Duration {
	if other.Domain != s.Domain {
		return RemoteDomainFactor * fillLife
	}
	return fillLife
}

// SetFill notes how full a shard is that this instance owns.
func (p *Peers) SetFill(now time.Time, shard string, f Fill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fills[shard] = fill{Fill: f, owner: p.self, at: now}
}
