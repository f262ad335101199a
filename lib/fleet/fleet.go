// Package fleet holds what one instance believes of the targets it sends to, and chooses among them.
//
// What it believes comes from the list of targets, from its own sends and their outcomes, and from what peers tell of
// theirs. Nothing here does I/O or reads a clock: times are passed in.
package fleet

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// State is a target's place in its life.
type State uint8

const (
	Ready   State = iota + 1
	Leaving       // takes no new requests, finishes what it has for a short while
)

// Info is what the list says of a target.
type Info struct {
	ID      string // a restart has another id, or the same id and a later Born
	Born    int64  // Unix milliseconds of the start of this life; 0: not told
	Service string
	Addr    string
	Domain  string // failure domain
	Slots   int
	Leaving bool
	ColdFor time.Duration // it stays slow for so long
}

// Spec is what the settings say of a service's targets.
type Spec struct {
	KVTokens int           // memory of an engine in tokens; 0 for a plain service
	ConnCap  int           // connections that a target accepts from all instances together
	ColdFor  time.Duration // after its start a target is slow for so long
	ColdRate float64       // requests a second that it takes meanwhile, from all instances together; 0: as many as ever
}

// Target is one target. Its fields are the fleet's; read them through the methods of Fleet.
type Target struct {
	Info
	state      State
	leavingAt  time.Time
	presumed   bool // it is taken as gone since its entry was missing: nobody has said that it leaves
	own        Load
	fails      float64 // decayed share of this instance's requests that the target failed
	avoidUntil time.Time
	avoidStep  time.Duration
	reported   float64 // requests running and waiting, as its last answer told
	reportedAt time.Time
	heard      time.Time // when anything last came from it, to this instance or a peer
	restFrom   time.Time // when it said so
	restUntil  time.Time // it wants nothing from this instance until then
	listed     bool      // the list has an entry of it
	missing    time.Time // since when a list read after an outage has not had it; zero: it is listed
	told       told      // what peers carry there
	unreadable bool      // its entry names no target; until it has written another
	grantedAt  time.Time // when an owner last named it; zero: it is one of those that this instance holds
	coldUntil  time.Time // it is slow after its start until then
	pacer      pacer
	suspect    suspicion
	limit      LimitNotice
	seat       seat
}

// Load is what a target carries.
type Load struct {
	Runs   int
	Tokens int // of engine memory, now and expected
	Unread int // tokens of prompts that are not read yet
}

func (l *Load) add(m Load) {
	l.Runs += m.Runs
	l.Tokens += m.Tokens
	l.Unread += m.Unread
}

// Fleet is safe for concurrent use.
type Fleet struct {
	domain string

	mu      sync.Mutex
	targets map[string]*Target
	index   index
	random  func() float64
	peers   map[string]*peer
	specs   map[string]Spec // by service
	born    time.Time       // when the list was first read
	share   float64         // this instance's part of a target's connections
	sizes   func(target string) []Size

	part      bool              // it knows a part of the list only
	evacuated map[string]bool   // failure domains whose targets get nothing new
	regions   map[string]string // of failure domains
	senders   func(target string, n int) bool

	named []*Target // of the last call of among
}

type peer struct {
	loads map[string]Load
	sizes map[string][]Size
	at    time.Time
}

// New returns an empty fleet of an instance in domain.
func New(domain string) *Fleet {
	return &Fleet{
		domain: domain, random: rand.Float64, targets: make(map[string]*Target), index: newIndex(), peers: make(map[string]*peer), share: 1,
	}
}

// Domain is the failure domain of the instance.
func (f *Fleet) Domain() string { return f.domain }

// SetRandom replaces the source of chance, between 0 and 1, so that a choice can be repeated.
func (f *Fleet) SetRandom(random func() float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random = random
}

// Engines lists the targets with engine memory that are in a state.
func (f *Fleet) Engines(in State) []Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Info
	for service, spec := range f.specs {
		if spec.KVTokens == 0 {
			continue
		}
		for _, t := range f.index.of(service) {
			if t.state == in {
				out = append(out, t.Info)
			}
		}
	}
	return out
}

// Ready counts the targets of a service that take requests, evacuations aside, by failure domain.
func (f *Fleet) Ready(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.index.services[service]; r != nil {
		return maps.Clone(r.ready)
	}
	return nil
}

// Info returns what the list says of a target.
func (f *Fleet) Info(id string) (Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return Info{}, false
	}
	return t.Info, true
}

// SetShare sets this instance's part of the connections that targets accept.
func (f *Fleet) SetShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = share
}

// SetSpecs sets what is known of each service's targets.
func (f *Fleet) SetSpecs(specs map[string]Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs = specs
}

// SetSizes sets what tells the sizes of this instance's own runs on a target. It must not call the Fleet.
func (f *Fleet) SetSizes(own func(target string) []Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes = own
}

// SetPeerLoad takes in what a peer carries on each target, and the sizes of its runs there.
func (f *Fleet) SetPeerLoad(now time.Time, name string, loads map[string]Load, sizes map[string][]Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[name].forgetTold(f.targets)
	p := &peer{loads: loads, sizes: sizes, at: now}
	p.forgetTold(f.targets)
	f.peers[name] = p
}

// LocalLoads returns what this instance carries on each target.
func (f *Fleet) LocalLoads() map[string]Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Load)
	for id, t := range f.targets {
		if t.own.Runs > 0 {
			out[id] = t.own
		}
	}
	return out
}

// Availability counts the targets that a request might go to, and why others get none.
type Availability struct {
	Accepting   int // take requests, cold ones among them
	Cold        int // of these, have just started and take few
	Limited     int // of these, have named a limit that leaves this instance nothing now
	InBackoff   int // of these, want nothing from this instance now
	Evacuated   int // in a failure domain whose targets get nothing new
	OutOfRegion int // outside the regions that the request is bound to

	RetryAfter time.Duration // until the first of those that are limited or rest may take one
	Partial    bool          // others may be there that this instance does not know
}

// Blocked reports whether targets are there, and each of them leaves this instance nothing now.
func (s *Availability) Blocked() bool {
	return s.Accepting > 0 && s.Limited+s.InBackoff == s.Accepting && !s.Partial
}

// block counts a target that takes requests, but none from this instance for some time.
func (s *Availability) block(count *int, wait time.Duration) {
	if s.Limited+s.InBackoff == 0 || wait < s.RetryAfter {
		s.RetryAfter = wait
	}
	*count++
}

// Availability counts the targets for a request.
func (f *Fleet) Availability(now time.Time, n Need) Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Availability{Partial: f.part && f.specs[n.Service].KVTokens > 0}
	for _, t := range f.index.of(n.Service) {
		switch {
		case t.state != Ready || t.unreadable:
		case !f.within(t, n.Regions):
			out.OutOfRegion++
		case f.evacuated[t.Domain]:
			out.Evacuated++
		default:
			out.Accepting++
			if f.isCold(now, t) {
				out.Cold++
			}
			rest, holdOff := t.restUntil.Sub(now), t.pacer.holdOff.Sub(now)
			switch {
			case rest > 0:
				out.block(&out.InBackoff, rest)
			case t.limit.On && holdOff > 0:
				out.block(&out.Limited, holdOff)
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

// IsPresumedGone reports whether a target gets no new requests only because its entry is missing.
func (f *Fleet) IsPresumedGone(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	return t != nil && t.presumed
}

// AddLoad changes what a request counts for at its target.
func (f *Fleet) AddLoad(id string, by Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.own.add(by)
	}
}

// SetReportedLoad takes in the load that a target told with an answer.
func (f *Fleet) SetReportedLoad(now time.Time, id string, running, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		t.reported = float64(running + waiting)
		t.reportedAt = now
	}
}

// RecordContact notes that a target was heard at a time.
func (f *Fleet) RecordContact(at time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil && at.After(t.heard) {
		t.heard = at
	}
}

// LastContact returns when anything last came from a target.
func (f *Fleet) LastContact(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.heard
	}
	return time.Time{}
}
