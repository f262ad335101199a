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

	mu     sync.Mutex
	passed map[Key]passedOn
}

// passedOn is where an ask went, so that it goes there again when it comes again.
type passedOn struct {
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
func NewCoordinator(self string, f *fleet.Fleet, reading *admit.PrefillRates, now time.Time) *Coordinator {
	return &Coordinator{
		Ledger: NewLedger(self, f, reading), Peers: NewPeers(self, now), self: self, fleet: f, passed: make(map[Key]passedOn),
	}
}

// Handle takes an ask for a shard.
func (d *Coordinator) Handle(now time.Time, s *Shard, a PlaceRequest) Disposition {
	if p, ok := d.wentTo(now, &a); ok {
		return passTo(a, p.shard, p.to)
	}
	if !d.Knows(a.Key) && a.Hops < maxHops {
		to, other := d.route(now, s, &a)
		if other != nil {
			return d.pass(now, a, to, *other)
		}
		s = to
	}
	answer, ok := d.Place(now, s, a)
	if ok && (a.Mode != MustFit || answer.Action == admit.Admit) {
		return Disposition{Answer: answer}
	}
	if r, ok := d.elsewhere(now, s, a); ok {
		return r
	}
	if ok {
		return Disposition{Answer: answer}
	}
	return Disposition{Answer: Answer{Key: a.Key, Addr: a.ReplyAddr, Action: admit.Wait}}
}

// route says which shard an ask is for, and who decides for it if that is another instance: the owner, or from a shard that
// is fuller than others that of an emptier one.
func (d *Coordinator) route(now time.Time, s *Shard, a *PlaceRequest) (*Shard, *Instance) {
	if to, ok := d.ActingOwner(now, s); ok && to.Name != d.self && a.Hops == 0 {
		return s, &to
	}
	if a.Hops > 1 {
		return s, nil // it comes from another shard already
	}
	n, by, ok := d.PickLessLoaded(now, s, d.part(s))
	if !ok {
		return s, nil
	}
	return n, d.other(n, by)
}

// other returns the instance that owns a shard, if it is another; nil: this one does.
func (d *Coordinator) other(s *Shard, name string) *Instance {
	for i, in := range s.Ranked {
		if in.Name == name && name != d.self {
			return &s.Ranked[i]
		}
	}
	return nil
}

// elsewhere passes an ask on that waits here, if another shard has room for it.
func (d *Coordinator) elsewhere(now time.Time, s *Shard, a PlaceRequest) (Disposition, bool) {
	if a.Hops >= maxHops {
		return Disposition{}, false
	}
	size := a.Stream.Need.Peak
	n, by, ok := d.PickWithCapacity(now, s, size.Held+size.Remaining)
	if !ok {
		return Disposition{}, false
	}
	to := d.other(n, by)
	if to == nil {
		return Disposition{}, false
	}
	d.drop(a.Key)
	return d.pass(now, a, n, *to), true
}

func (d *Coordinator) pass(now time.Time, a PlaceRequest, s *Shard, to Instance) Disposition {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passed[a.Key] = passedOn{shard: s, to: to, hops: a.Hops, at: now}
	return passTo(a, s, to)
}

func passTo(a PlaceRequest, s *Shard, to Instance) Disposition {
	a.Hops++
	return Disposition{Forward: true, Request: a, Shard: s, To: to}
}

// wentTo tells where an ask was passed on that has come again. One that has come back from there, after more hops, stays: two
// owners would else pass it to and fro. Where it went to an owner that has fallen silent since, it is decided anew.
func (d *Coordinator) wentTo(now time.Time, a *PlaceRequest) (passedOn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.passed[a.Key]
	if ok && (a.Hops > p.hops || d.IsSilent(now, p.to.Name)) {
		delete(d.passed, a.Key)
		return passedOn{}, false
	}
	return p, ok
}

// ForwardWaiting passes on what waits here and has room elsewhere.
func (d *Coordinator) ForwardWaiting(now time.Time) []Disposition {
	var out []Disposition
	for _, w := range d.waitingNow() {
		if r, ok := d.elsewhere(now, w.shard, w.PlaceRequest); ok {
			out = append(out, r)
		}
	}
	return out
}

// Tick forgets what is too old to matter.
func (d *Coordinator) Tick(now time.Time) {
	d.Ledger.Tick(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, p := range d.passed {
		if now.Sub(p.at) > answerLife {
			delete(d.passed, k)
		}
	}
}

// part is how full a shard is, with what waits for it. Without that, two full shards look alike though twice as much waits
// for one.
func (d *Coordinator) part(s *Shard) float64 {
	return d.fleet.Utilization(s.Engines(), d.waitingFor(s.Key))
}

// UpdateFill tells how full a shard is that this instance owns, to others and to itself.
func (d *Coordinator) UpdateFill(now time.Time, s *Shard) Fill {
	f := Fill{Used: d.part(s), LargestFree: d.fleet.MaxFreeTokens(s.Engines())}
	d.SetFill(now, s.Key, f)
	return f
}

// SetRandom replaces the source of chance, so that a play can be repeated.
func (d *Coordinator) SetRandom(r *rand.Rand) {
	d.Ledger.setRandom(r.Int64N)
	d.Peers.setRandom(r.Float64)
}
