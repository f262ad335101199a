package owner

import (
	"math/rand/v2"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// maxHops bounds how often an ask is passed on: to the owner, to an emptier shard, and to one with room.
	maxHops = 3
	// ForwardInterval is the pause between two looks at whether asks that wait have room elsewhere: as often as that is told.
	ForwardInterval = HeartbeatInterval
)

// Coordinator is what an instance does with the asks that reach it. It is safe for concurrent use.
//
// Load pattern: engines leave in groups, and a shard has no room for seconds while another has. Streams that waited in their shard
// until they were told to come back would do so beside free engines. So what waits is passed on to room elsewhere.
type Coordinator struct {
	*Ledger
	*Peers

	self  string
	fleet *fleet.Fleet

	mu        sync.Mutex
	forwarded map[Key]forwarding
}

// forwarding is where an ask went, so that it goes there again when it comes again.
type forwarding struct {
	shard *Shard
	to    Instance
	hops  int // when it came
	at    time.Time
}

// Disposition is what becomes of an ask: it is answered, or passed on to another owner, which answers.
type Disposition struct {
	Answer  Answer
	Forward bool
	Request PlaceRequest // with PassOn
	Shard   *Shard       // with PassOn
	To      Instance     // with PassOn
}

// NewCoordinator returns the desk of an instance that decides by what f believes and starts now.
func NewCoordinator(self string, f *fleet.Fleet, rates *admit.PrefillRates, now time.Time) *Coordinator {
	return &Coordinator{
		Ledger: NewLedger(self, f, rates), Peers: NewPeers(self, now), self: self, fleet: f, forwarded: make(map[Key]forwarding),
	}
}

// Handle takes an ask for a shard.
func (c *Coordinator) Handle(now time.Time, s *Shard, req PlaceRequest) Disposition {
	if p, ok := c.earlierForward(now, &req); ok {
		return forwardTo(req, p.shard, p.to)
	}
	if !c.Knows(req.Key) && req.Hops < maxHops {
		to, other := c.route(now, s, &req)
		if other != nil {
			return c.forward(now, req, to, *other)
		}
		s = to
	}
	answer, ok := c.Place(now, s, req)
	if ok && (req.Mode != MustFit || answer.Action == admit.Admit) {
		return Disposition{Answer: answer}
	}
	if r, ok := c.forwardToCapacity(now, s, req); ok {
		return r
	}
	if ok {
		return Disposition{Answer: answer}
	}
	return Disposition{Answer: Answer{Key: req.Key, Addr: req.ReplyAddr, Action: admit.Wait}}
}

// route says which shard an ask is for, and who decides for it if that is another instance: the owner, or from a shard that
// is fuller than others that of an emptier one.
func (c *Coordinator) route(now time.Time, s *Shard, req *PlaceRequest) (*Shard, *Instance) {
	if to, ok := c.ActingOwner(now, s); ok && to.Name != c.self && req.Hops == 0 {
		return s, &to
	}
	if req.Hops > 1 {
		return s, nil // it comes from another shard already
	}
	n, by, ok := c.PickLessLoaded(now, s, c.used(s))
	if !ok {
		return s, nil
	}
	return n, c.otherInstance(n, by)
}

// otherInstance returns the instance that owns a shard, if it is another; nil: this one does.
func (c *Coordinator) otherInstance(s *Shard, name string) *Instance {
	for i, in := range s.Ranked {
		if in.Name == name && name != c.self {
			return &s.Ranked[i]
		}
	}
	return nil
}

// forwardToCapacity passes an ask on that waits here, if another shard has room for it.
func (c *Coordinator) forwardToCapacity(now time.Time, s *Shard, req PlaceRequest) (Disposition, bool) {
	if req.Hops >= maxHops {
		return Disposition{}, false
	}
	size := req.Stream.Need.Peak
	n, by, ok := c.PickWithCapacity(now, s, size.Held+size.Remaining)
	if !ok {
		return Disposition{}, false
	}
	to := c.otherInstance(n, by)
	if to == nil {
		return Disposition{}, false
	}
	c.dropWaiting(req.Key)
	return c.forward(now, req, n, *to), true
}

func (c *Coordinator) forward(now time.Time, req PlaceRequest, s *Shard, to Instance) Disposition {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded[req.Key] = forwarding{shard: s, to: to, hops: req.Hops, at: now}
	return forwardTo(req, s, to)
}

func forwardTo(req PlaceRequest, s *Shard, to Instance) Disposition {
	req.Hops++
	return Disposition{Forward: true, Request: req, Shard: s, To: to}
}

// earlierForward tells where an ask was passed on that has come again. One that has come back from there, after more hops, stays: two
// owners would else pass it to and fro. Where it went to an owner that has fallen silent since, it is decided anew.
func (c *Coordinator) earlierForward(now time.Time, req *PlaceRequest) (forwarding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.forwarded[req.Key]
	if ok && (req.Hops > p.hops || c.IsSilent(now, p.to.Name)) {
		delete(c.forwarded, req.Key)
		return forwarding{}, false
	}
	return p, ok
}

// ForwardWaiting passes on what waits here and has room elsewhere.
func (c *Coordinator) ForwardWaiting(now time.Time) []Disposition {
	var out []Disposition
	for _, w := range c.waitingRequests() {
		if r, ok := c.forwardToCapacity(now, w.shard, w.PlaceRequest); ok {
			out = append(out, r)
		}
	}
	return out
}

// Tick forgets what is too old to matter.
func (c *Coordinator) Tick(now time.Time) {
	c.Ledger.Tick(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.forwarded {
		if now.Sub(p.at) > answerTTL {
			delete(c.forwarded, k)
		}
	}
}

// used is how full a shard is, with what waits for it. Without that, two full shards look alike though twice as much waits
// for one.
func (c *Coordinator) used(s *Shard) float64 {
	return c.fleet.Utilization(s.Engines(), c.waitingTokens(s.Key))
}

// UpdateFill tells how full a shard is that this instance owns, to others and to itself.
func (c *Coordinator) UpdateFill(now time.Time, s *Shard) Fill {
	f := Fill{Used: c.used(s), LargestFree: c.fleet.MaxFreeTokens(s.Engines())}
	c.SetFill(now, s.Key, f)
	return f
}

// SetRandom replaces the source of chance, so that a play can be repeated.
func (c *Coordinator) SetRandom(r *rand.Rand) {
	c.Ledger.setRandom(r.Int64N)
	c.Peers.setRandom(r.Float64)
}
