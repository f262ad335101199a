package owner

import (
	"math/rand/v2"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

const (
	// maxHops bounds how often a request is forwarded: to the owner, to a less loaded shard, and to one with free capacity.
	maxHops = 3
	// ForwardInterval is the pause between two searches for capacity elsewhere for waiting requests: fill levels are published as often.
	ForwardInterval = HeartbeatInterval
)

// Coordinator handles the placement requests that reach an instance. It is safe for concurrent use.
//
// Engines leave in groups, so that one shard may have no free capacity for seconds while another has. Streams that waited in their
// shard only would be rejected beside free engines. Waiting requests are therefore forwarded to shards with capacity.
type Coordinator struct {
	*Ledger
	*Peers

	self  string
	fleet *fleet.Fleet

	mu        sync.Mutex
	forwarded map[Key]forwarding
}

// forwarding records where a request was sent, so that its retransmissions go to the same owner.
type forwarding struct {
	shard *Shard
	to    Instance
	hops  int // hops of the request when it arrived
	at    time.Time
}

// Disposition is the result of handling a request: an answer, or the owner to forward the request to, which answers it.
type Disposition struct {
	Answer  Answer
	Forward bool
	Request PlaceRequest // set with Forward
	Shard   *Shard       // set with Forward
	To      Instance     // set with Forward
}

// NewCoordinator returns the coordinator of an instance that starts now and decides by the state of f.
func NewCoordinator(self string, f *fleet.Fleet, rates *admit.PrefillRates, now time.Time) *Coordinator {
	return &Coordinator{
		Ledger: NewLedger(self, f, rates), Peers: NewPeers(self, now), self: self, fleet: f, forwarded: make(map[Key]forwarding),
	}
}

// Handle handles a request for a shard.
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
	return Disposition{Answer: Answer{Key: req.Key, ReplyAddr: req.ReplyAddr, Action: admit.Wait}}
}

// route returns the shard that a request is for, and the instance that decides if it is another: the shard's owner, or the owner of
// a less loaded shard.
func (c *Coordinator) route(now time.Time, s *Shard, req *PlaceRequest) (*Shard, *Instance) {
	if to, ok := c.ActingOwner(now, s); ok && to.Name != c.self && req.Hops == 0 {
		return s, &to
	}
	if req.Hops > 1 {
		return s, nil // already forwarded by another shard
	}
	if software := req.Stream.Need.Software; software != 0 {
		return c.routeBySoftware(now, s, software)
	}
	n, by, ok := c.PickLessLoaded(now, s, c.used(s))
	if !ok {
		return s, nil
	}
	return n, c.otherInstance(n, by)
}

// routeBySoftware is route for a stream that only one version of the engines' software may continue: the shard itself while it has such an
// engine, or a shard that is known to have one.
func (c *Coordinator) routeBySoftware(now time.Time, s *Shard, software uint64) (*Shard, *Instance) {
	if c.fleet.RunsSoftware(s.Engines(), software) {
		return s, nil
	}
	n, by, ok := c.PickWithSoftware(now, s, software)
	if !ok {
		return s, nil
	}
	return n, c.otherInstance(n, by)
}

// otherInstance returns the candidate of a shard with a name; nil if it is this instance.
func (c *Coordinator) otherInstance(s *Shard, name string) *Instance {
	for i, in := range s.Ranked {
		if in.Name == name && name != c.self {
			return &s.Ranked[i]
		}
	}
	return nil
}

// forwardToCapacity forwards a request that waits here, if another shard has capacity for it.
func (c *Coordinator) forwardToCapacity(now time.Time, s *Shard, req PlaceRequest) (Disposition, bool) {
	if req.Hops >= maxHops {
		return Disposition{}, false
	}
	size := req.Stream.Need.Peak
	n, by, ok := c.PickWithCapacity(now, s, size.Held+size.Remaining, req.Stream.Need.Software)
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

// earlierForward returns where a retransmitted request was forwarded. One that has returned from there with more hops is handled
// here: two owners would otherwise forward it to each other. If the owner it went to has fallen silent, it is decided anew.
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

// ForwardWaiting forwards the waiting requests for which another shard has capacity.
func (c *Coordinator) ForwardWaiting(now time.Time) []Disposition {
	var out []Disposition
	for _, w := range c.waitingRequests() {
		if r, ok := c.forwardToCapacity(now, w.shard, w.PlaceRequest); ok {
			out = append(out, r)
		}
	}
	return out
}

// Tick removes expired state.
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

// used is the used share of a shard's memory, waiting requests included. Without them, two full shards look alike even if twice as
// much waits for one.
func (c *Coordinator) used(s *Shard) float64 {
	return c.fleet.Utilization(s.Engines(), c.waitingTokens(s.Key))
}

// UpdateFill measures the fill level of a shard that this instance owns, records it and returns it for publication.
func (c *Coordinator) UpdateFill(now time.Time, s *Shard) Fill {
	engines := s.Engines()
	f := Fill{Used: c.used(s), LargestFree: c.fleet.MaxFreeTokens(engines), Software: c.fleet.SoftwareOf(engines, maxFillSoftware)}
	c.SetFill(now, s.Key, f)
	return f
}

// SetRandom replaces the random source, so that a simulation can be repeated.
func (c *Coordinator) SetRandom(r *rand.Rand) {
	c.Ledger.setRandom(r.Int64N)
	c.Peers.setRandom(r.Float64)
}
