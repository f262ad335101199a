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
	// PassEvery is the pause between two looks at whether asks that wait have room elsewhere: as often as that is told.
	PassEvery = BeatEvery
)

// Desk is what an instance does with the asks that reach it. It is safe for concurrent use.
//
// Load pattern: engines leave in groups, and a shard has no room for seconds while another has. Streams that waited in their shard
// until they were told to come back would do so beside free engines. So what waits is passed on to room elsewhere.
type Desk struct {
	*Book
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

// Reply is what becomes of an ask: it is answered, or passed on to another owner, which answers.
type Reply struct {
	Answer Answer
	PassOn bool
	Ask    Ask      // with PassOn
	Shard  *Shard   // with PassOn
	To     Instance // with PassOn
}

// NewDesk returns the desk of an instance that decides by what f believes and starts now.
func NewDesk(self string, f *fleet.Fleet, reading *admit.PrefillRates, now time.Time) *Desk {
	return &Desk{
		Book: NewBook(self, f, reading), Peers: NewPeers(self, now), self: self, fleet: f, passed: make(map[Key]passedOn),
	}
}

// Take takes an ask for a shard.
func (d *Desk) Take(now time.Time, s *Shard, a Ask) Reply {
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
	if ok && (a.Mode != Room || answer.Action == admit.Admit) {
		return Reply{Answer: answer}
	}
	if r, ok := d.elsewhere(now, s, a); ok {
		return r
	}
	if ok {
		return Reply{Answer: answer}
	}
	return Reply{Answer: Answer{Key: a.Key, Addr: a.Addr, Action: admit.Wait}}
}

// route says which shard an ask is for, and who decides for it if that is another instance: the owner, or from a shard that
// is fuller than others that of an emptier one.
func (d *Desk) route(now time.Time, s *Shard, a *Ask) (*Shard, *Instance) {
	if to, ok := d.Acting(now, s); ok && to.Name != d.self && a.Hops == 0 {
		return s, &to
	}
	if a.Hops > 1 {
		return s, nil // it comes from another shard already
	}
	n, by, ok := d.PassOn(now, s, d.part(s))
	if !ok {
		return s, nil
	}
	return n, d.other(n, by)
}

// other returns the instance that owns a shard, if it is another; nil: this one does.
func (d *Desk) other(s *Shard, name string) *Instance {
	for i, in := range s.Ranked {
		if in.Name == name && name != d.self {
			return &s.Ranked[i]
		}
	}
	return nil
}

// elsewhere passes an ask on that waits here, if another shard has room for it.
func (d *Desk) elsewhere(now time.Time, s *Shard, a Ask) (Reply, bool) {
	if a.Hops >= maxHops {
		return Reply{}, false
	}
	size := a.Stream.Need.Peak
	n, by, ok := d.PassToRoom(now, s, size.Held+size.Remaining)
	if !ok {
		return Reply{}, false
	}
	to := d.other(n, by)
	if to == nil {
		return Reply{}, false
	}
	d.drop(a.Key)
	return d.pass(now, a, n, *to), true
}

func (d *Desk) pass(now time.Time, a Ask, s *Shard, to Instance) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passed[a.Key] = passedOn{shard: s, to: to, hops: a.Hops, at: now}
	return passTo(a, s, to)
}

func passTo(a Ask, s *Shard, to Instance) Reply {
	a.Hops++
	return Reply{PassOn: true, Ask: a, Shard: s, To: to}
}

// wentTo tells where an ask was passed on that has come again. One that has come back from there, after more hops, stays: two
// owners would else pass it to and fro. Where it went to an owner that has fallen silent since, it is decided anew.
func (d *Desk) wentTo(now time.Time, a *Ask) (passedOn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.passed[a.Key]
	if ok && (a.Hops > p.hops || d.Silent(now, p.to.Name)) {
		delete(d.passed, a.Key)
		return passedOn{}, false
	}
	return p, ok
}

// PassWaiting passes on what waits here and has room elsewhere.
func (d *Desk) PassWaiting(now time.Time) []Reply {
	var out []Reply
	for _, w := range d.waitingNow() {
		if r, ok := d.elsewhere(now, w.shard, w.Ask); ok {
			out = append(out, r)
		}
	}
	return out
}

// Tick forgets what is too old to matter.
func (d *Desk) Tick(now time.Time) {
	d.Book.Tick(now)
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
func (d *Desk) part(s *Shard) float64 { return d.fleet.Utilization(s.Engines(), d.waitingFor(s.Key)) }

// Fills tells how full a shard is that this instance owns, to others and to itself.
func (d *Desk) Fills(now time.Time, s *Shard) Fill {
	f := Fill{Part: d.part(s), Room: d.fleet.MaxFreeTokens(s.Engines())}
	d.Filled(now, s.Key, f)
	return f
}

// SetRandom replaces the source of chance, so that a play can be repeated.
func (d *Desk) SetRandom(r *rand.Rand) {
	d.Book.setRandom(r.Int64N)
	d.Peers.setRandom(r.Float64)
}
