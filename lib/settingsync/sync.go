package settingsync

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/settings"
)

// Defaults of Config.
const (
	DefaultPoll        = time.Second
	DefaultPollTimeout = 2 * time.Second
	DefaultPeerDelay   = 1500 * time.Millisecond
	DefaultPeerTimeout = 2 * time.Second
	DefaultStartGrace  = 3 * time.Second
	DefaultTableGrace  = time.Second
	DefaultSwapShare   = 0.005
	DefaultMaxSwapWait = 3 * time.Second
)

// Peers fetches settings from another instance. It returns a body of revision 0 when that one has nothing newer.
type Peers interface {
	FetchSettings(ctx context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error)
}

// Config says where a Sync learns from. Zero values take the defaults.
type Config struct {
	Table       Table         // nil: learn from peers and Learn alone
	Peers       Peers         // nil: none
	Poll        time.Duration // least time between reads of the table; one read each, two more for each new revision
	PollTimeout time.Duration
	PeerDelay   time.Duration // how long the table may take to bring what a peer has
	PeerTimeout time.Duration
	StartGrace  time.Duration // longest wait for table and peers before the first revision comes into force; needs Peers
	TableGrace  time.Duration // longest wait for the table alone, once peers were heard
	SwapShare   float64       // part of a core that parsing and swapping may take
	MaxSwapWait time.Duration // longest time that SwapShare holds a revision back
}

func (c *Config) setDefaults() {
	orDuration(&c.Poll, DefaultPoll)
	orDuration(&c.PollTimeout, DefaultPollTimeout)
	orDuration(&c.PeerDelay, DefaultPeerDelay)
	orDuration(&c.PeerTimeout, DefaultPeerTimeout)
	orDuration(&c.StartGrace, DefaultStartGrace)
	orDuration(&c.TableGrace, DefaultTableGrace)
	orDuration(&c.MaxSwapWait, DefaultMaxSwapWait)
	if c.SwapShare == 0 {
		c.SwapShare = DefaultSwapShare
	}
}

func orDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// Active is a revision in force.
type Active struct {
	Snapshot *settings.Snapshot
	Tree     *settings.Tree
}

// Status is what operators are shown.
type Status struct {
	InForce  uint64 // 0: none yet
	Seen     uint64 // highest revision known; over InForce while it is being swapped in, or when it was refused
	Source   string // where Seen was learnt
	Rejected string // why Seen is not in force, when this program can't read it
}

// candidate is a revision that was learnt.
type candidate struct {
	revision uint64
	text     []byte
	digest   string
	source   string
}

// Sync holds the settings of one process. Its methods are safe for use by many goroutines.
type Sync struct {
	cfg Config

	mu      sync.Mutex
	seen    candidate
	held    *Active
	refused string
	updated chan struct{} // closed at the next swap
	learnt  chan struct{} // closed when what Newest returns changes
	peers   peerView
	fleet   int  // instances that read the table
	heard   bool // the table, or the control process that reads it, gave an answer

	wake chan struct{} // a candidate waits
}

// New returns a Sync that holds nothing yet.
func New(cfg Config) *Sync {
	cfg.setDefaults()
	return &Sync{
		cfg:     cfg,
		updated: make(chan struct{}),
		learnt:  make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Run learns and swaps until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if s.cfg.Table != nil {
		wg.Go(func() { s.pollLoop(ctx) })
	}
	if s.cfg.Peers != nil {
		wg.Go(func() { s.peerLoop(ctx) })
	}
	s.swapLoop(ctx)
	wg.Wait()
}

// SetInstances tells how many instances read the table, so that together they stay within their share of its reads.
func (s *Sync) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet = n
}

// Current returns what is in force; nil before the first revision.
func (s *Sync) Current() *Active {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Updated returns a channel that is closed when the next revision comes into force.
func (s *Sync) Updated() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updated
}

// Status returns the state that operators are shown.
func (s *Sync) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Seen: s.seen.revision, Source: s.seen.source, Rejected: s.refused}
	if s.held != nil {
		st.InForce = s.held.Snapshot.Revision
	}
	return st
}

// Offer names the highest revision seen, for peers and heartbeats. It may be one that this program could not read:
// peers of another version still want it.
func (s *Sync) Offer() *meshpb.SettingsOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &meshpb.SettingsOffer{Revision: s.seen.revision}
}

// Newest returns the highest revision seen, to be passed on for the table's by a process that reads the table, and a
// channel that is closed when it changes. The body has revision 0 until the table was heard: whoever is told takes it as
// the table's word, and would in an outage stop waiting for the table.
func (s *Sync) Newest() (*meshpb.SettingsBody, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard {
		return &meshpb.SettingsBody{}, s.learnt
	}
	return &meshpb.SettingsBody{Revision: s.seen.revision, Yaml: s.seen.text}, s.learnt
}

// announce wakes those that wait on Newest's channel. The caller holds mu.
func (s *Sync) announce() {
	close(s.learnt)
	s.learnt = make(chan struct{})
}

// Answer returns the highest revision seen when it is over what the asker has, and a body of revision 0 otherwise.
func (s *Sync) Answer(offer *meshpb.SettingsOffer) *meshpb.SettingsBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.revision <= offer.GetRevision() {
		return &meshpb.SettingsBody{}
	}
	return &meshpb.SettingsBody{Revision: s.seen.revision, Yaml: s.seen.text}
}

// Receive takes a revision from the control process, which has it from the table. It keeps the body's bytes. Revisions
// not over the highest one seen are ignored; it reports whether this one was taken. Run brings it into force.
func (s *Sync) Receive(body *meshpb.SettingsBody, source string) bool {
	s.hearTable()
	return s.learnBody(body, source)
}

func (s *Sync) hearTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard {
		s.heard = true
		s.announce()
	}
}

func (s *Sync) learnBody(body *meshpb.SettingsBody, source string) bool {
	if body.GetRevision() == 0 || len(body.GetYaml()) > settings.MaxFile {
		return false
	}
	return s.learn(candidate{
		revision: body.GetRevision(),
		text:     body.GetYaml(),
		digest:   Digest(body.GetYaml()),
		source:   source,
	})
}

// learn is the one place where the highest revision moves, and it moves up only. A table replica that lags, a peer
// that was cut off or a late answer all bring lower revisions: taken, they would undo an accepted change.
func (s *Sync) learn(c candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.revision < s.seen.revision:
		staleTotal.Inc()
		return false
	case c.revision == s.seen.revision:
		s.compare(c)
		return false
	}
	s.seen = c
	s.refused = ""
	s.peers.behind = time.Time{}
	s.announce()
	signal(s.wake)
	return true
}

// compare asserts that a revision has one text only. A breach is a defect of this program or of the table, and
// taking the second text would make instances differ under one number.
func (s *Sync) compare(c candidate) {
	if c.digest == s.seen.digest {
		return
	}
	splitTotal.Inc()
	logSplit(s.seen, c)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
