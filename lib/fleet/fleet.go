// Package fleet holds one instance's view of the targets that it sends to, and chooses among them.
//
// The view is built from the list of targets, from the outcomes of the instance's own requests, and from load updates of its peers.
// The package does no I/O and reads no clock: times are passed in.
package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/plainload"
)

// State is the lifecycle state of a target.
type State uint8

const (
	Ready   State = iota + 1
	Leaving       // takes no new requests and finishes running ones for a short while
)

// Info is a target's entry in the list.
type Info struct {
	ID      string // a restarted target has another id, or the same id and a later Born
	Born    int64  // start of this incarnation in Unix milliseconds; 0: unknown
	Service string
	Addr    string
	Domain  string // failure domain
	Slots   int
	Leaving bool
	ColdFor time.Duration // remaining time that the target is cold (slow after its start)
	Written feed.Position // of the entry in the list; zero: unknown

	Software Software
}

// Spec holds the settings of a service's targets.
type Spec struct {
	KVTokens int           // engine memory in tokens; 0 for a plain service
	ConnCap  int           // connections that a target accepts from all instances together
	ColdFor  time.Duration // how long a target is cold after its start
	ColdRate float64       // requests per second that a cold target takes from all instances together; 0: no limit

	GapObjective   time.Duration // tightest objective for pauses between events among the service's routes; 0: none
	TokensPerEvent int           // of the service's streams; 0: plain service
}

// Target is one target. Its fields are protected by the Fleet's lock; access them through the methods of Fleet.
type Target struct {
	Info
	state        State
	firstSeen    time.Time // when this instance first heard of it
	leftAt       time.Time
	departure    Departure     // why it counts as leaving
	listedOut    feed.Position // of the list that lacked its entry, if Delisted
	local        Load
	failureShare float64 // decayed share of this instance's requests that the target failed
	avoidUntil   time.Time
	avoidStep    time.Duration
	plain        *plainload.Target // load of a plain target; nil: none known
	lastContact  time.Time         // when this instance or a peer last received anything from it
	backoffSince time.Time         // when it last asked for backoff
	backoffUntil time.Time         // it accepts nothing from this instance until then
	listed       bool              // the list has an entry for it
	missingSince time.Time         // since when a list read after an outage has lacked it; zero: it is listed
	peers        peerTotal         // load of the peers there
	unreadable   bool              // its entry could not be decoded; reset by the next valid entry
	grantedAt    time.Time         // when an owner last granted it; zero: it is on this instance's own list
	coldUntil    time.Time         // it is cold until then
	pacer        pacer
	suspicion    suspicion
	limit        LimitNotice
	brittle      Brittle
	brittleFault bool // it has named an invalid number
	listing      indexEntry
	allowance    allowance
}

// Load is the load on a target.
type Load struct {
	Runs   int
	Tokens int // engine memory, held and expected
	Unread int // prompt tokens that are not prefilled yet
}

func (l *Load) add(m Load) {
	l.Runs += m.Runs
	l.Tokens += m.Tokens
	l.Unread += m.Unread
}

// Fleet is the set of targets known to one instance. It is safe for concurrent use.
type Fleet struct {
	domain string

	mu           sync.Mutex
	targets      map[string]*Target
	index        index
	random       func() float64
	peers        map[string]*peer
	specs        map[string]Spec // by service
	firstApplied time.Time       // when the list was first read
	share        float64         // this instance's share of a target's connections
	sizes        func(target string) []Size

	position  feed.Position        // of the list applied last
	partial   bool                 // the instance holds only a part of the list
	histories map[string]*history  // by target
	evacuated map[string]time.Time // failure domains whose targets get no new requests, and since when; zero: unknown
	regions   map[string]string    // by failure domain
	senders   func(target string, n int) bool

	amongBuf []*Target         // result of the last call of among
	sizesBuf []Size            // sizes of the runs on the engine that is being considered
	sizedBuf []plainload.Sized // of the last call of surveyPlain

	plainView plainView // of the current choice among a plain service's targets
}

type peer struct {
	loads      map[string]Load
	sizes      map[string][]Size
	receivedAt time.Time
}

// New returns an empty Fleet for an instance in the given failure domain.
func New(domain string) *Fleet {
	return &Fleet{
		domain: domain, random: rand.Float64, targets: make(map[string]*Target), histories: make(map[string]*history), index: newIndex(), peers: make(map[string]*peer), share: 1,
	}
}

// Domain returns the failure domain of the instance.
func (f *Fleet) Domain() string { return f.domain }

// SetRandom replaces the source of random numbers in [0, 1), to make choices reproducible.
func (f *Fleet) SetRandom(random func() float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = random
}

// Engines lists the targets with engine memory that are in the given state.
func (f *Fleet) Engines(in State) []Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Info
	for service, spec := range f.specs {
		if spec.KVTokens == 0 {
			continue
		}
		for _, t := range f.index.targetsOf(service) {
			if t.state == in {
				out = append(out, t.Info)
			}
		}
	}
	return out
}

// Ready counts the targets of a service that accept requests, by failure domain, regardless of evacuations.
func (f *Fleet) Ready(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.index.services[service]; r != nil {
		return maps.Clone(r.ready)
	}
	return nil
}

// Others returns up to n targets that accept requests, in no order, without the given one.
func (f *Fleet) Others(id string, n int) []Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Info
	for _, t := range f.targets {
		if len(out) == n {
			break
		}
		if t.ID != id && f.accepts(t) {
			out = append(out, t.Info)
		}
	}
	return out
}

// Info returns the list entry of a target.
func (f *Fleet) Info(id string) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return Info{}, false
	}
	return t.Info, true
}

// At returns the known target at an address; of several, one that accepts requests.
func (f *Fleet) At(addr string) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found *Target
	for _, t := range f.targets {
		if t.Addr == addr && (found == nil || t.state == Ready) {
			found = t
		}
	}
	if found == nil {
		return Info{}, false
	}
	return found.Info, true
}

// Successor returns a target that has come to the address of another since that one was first known.
func (f *Fleet) Successor(id string) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.targets[id]
	if old == nil {
		return Info{}, false
	}
	for _, t := range f.targets {
		if t.Addr == old.Addr && t.ID != id && t.firstSeen.After(old.firstSeen) {
			return t.Info, true
		}
	}
	return Info{}, false
}

// SetShare sets this instance's share of the connections that targets accept.
func (f *Fleet) SetShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
}

// SetSpecs sets the settings of each service's targets.
func (f *Fleet) SetSpecs(specs map[string]Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs = specs
}

// Spec returns the settings of a service's targets.
func (f *Fleet) Spec(service string) Spec {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[service]
}

// SetSizes sets the function that returns the sizes of this instance's own runs on a target. It must not call the Fleet.
func (f *Fleet) SetSizes(own func(target string) []Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes = own
}

// SetPeerLoad replaces the load of a peer on each target, and the sizes of its runs there.
func (f *Fleet) SetPeerLoad(now time.Time, name string, loads map[string]Load, sizes map[string][]Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[name].invalidateTotals(f.targets)
	p := &peer{loads: loads, sizes: sizes, receivedAt: now}
	p.invalidateTotals(f.targets)
	f.peers[name] = p
}

// LocalLoads returns the load of this instance on each target.
func (f *Fleet) LocalLoads() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Load)
	for id, t := range f.targets {
		if t.local.Runs > 0 {
			out[id] = t.local
		}
	}
	return out
}

// Availability counts the targets that a request could go to, and the reasons why others can't take it.
type Availability struct {
	Accepting     int // targets that accept requests, including cold ones
	Cold          int // of the accepting: just started, at a reduced rate
	Limited       int // of the accepting: announced a limit that leaves no request to this instance now
	InBackoff     int // of the accepting: asked this instance to back off
	Evacuated     int // in an evacuated failure domain
	OutOfRegion   int // outside the regions that the request is restricted to
	OtherSoftware int // of another version than the one that may continue the stream

	RetryAfter time.Duration // until the first limited or backing-off target may accept a request
	Partial    bool          // there may be targets that this instance does not know
}

// Blocked reports whether targets are known and none of them accepts a request from this instance now.
func (s *Availability) Blocked() bool {
	return s.Accepting > 0 && s.Limited+s.InBackoff == s.Accepting && !s.Partial
}

// countBlocked counts a target that accepts requests, but none from this instance until wait has passed.
func (s *Availability) countBlocked(count *int, wait time.Duration) {
	if s.Limited+s.InBackoff == 0 || wait < s.RetryAfter {
		s.RetryAfter = wait
	}
	*count++
}

// Availability counts the targets available to a request.
func (f *Fleet) Availability(now time.Time, n Need) Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Availability{Partial: f.partial && f.specs[n.Service].KVTokens > 0}
	for _, t := range f.index.targetsOf(n.Service) {
		switch {
		case t.state != Ready || t.unreadable:
		case !t.runs(n.Software):
			out.OtherSoftware++
		case !f.inRegions(t, n.Regions):
			out.OutOfRegion++
		case f.isEvacuated(t.Domain):
			out.Evacuated++
		default:
			out.Accepting++
			if f.isCold(now, t) {
				out.Cold++
			}
			backoff, holdOff := t.backoffUntil.Sub(now), t.pacer.holdOff.Sub(now)
			switch {
			case backoff > 0:
				out.countBlocked(&out.InBackoff, backoff)
			case t.limit.On && holdOff > 0:
				out.countBlocked(&out.Limited, holdOff)
			}
		}
	}
	return out
}

// IsLeaving reports whether a target takes no new requests.
func (f *Fleet) IsLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	return t == nil || t.state == Leaving
}

// LeavingFor returns for how long a target has been known to be leaving; 0 if it is not, and a very long time if it is not listed.
func (f *Fleet) LeavingFor(now time.Time, id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	switch {
	case t == nil:
		return math.MaxInt64
	case t.state != Leaving:
		return 0
	}
	return now.Sub(t.leftAt)
}

// AddLoad changes the load of a request at its target.
func (f *Fleet) AddLoad(id string, by Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.local.add(by)
	}
}

// RecordContact records that something was received from a target.
func (f *Fleet) RecordContact(at time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && at.After(t.lastContact) {
		t.lastContact = at
	}
}

// LastContact returns when anything was last received from a target.
func (f *Fleet) LastContact(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.lastContact
	}
	return time.Time{}
}
