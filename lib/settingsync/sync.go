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

// Peers fetches settings from other instances. The body has revision 0 if the instance has nothing newer.
type Peers interface {
	FetchSettings(ctx context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error)
}

// Config configures a Sync. Zero values take the defaults.
type Config struct {
	Table       Table         // nil: only peers and Receive are sources
	Peers       Peers         // nil: none
	Poll        time.Duration // minimum interval between polls; a poll is one read, plus two for each new revision
	PollTimeout time.Duration
	PeerDelay   time.Duration // time that the table has to deliver a revision before it is fetched from a peer
	PeerTimeout time.Duration
	StartGrace  time.Duration // maximum wait for table and peers before the first revision is activated; needs Peers
	TableGrace  time.Duration // maximum wait for the table after the first contact with peers
	SwapShare   float64       // share of one core that parsing and swapping may use
	MaxSwapWait time.Duration // maximum delay of a revision due to SwapShare
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

// Status is the state shown to operators.
type Status struct {
	InForce  uint64 // 0: none yet
	Seen     uint64 // highest revision known; above InForce while it is being activated, or when it was rejected
	Source   string // where Seen was received from
	Rejected string // why Seen could not be activated by this program; empty if it was not rejected
}

// candidate is a received revision that is not activated yet.
type candidate struct {
	revision uint64
	text     []byte
	digest   string
	source   string
}

// Sync holds the settings of one process. It is safe for concurrent use.
type Sync struct {
	cfg Config

	mu           sync.Mutex
	seen         candidate
	active       *Active
	rejected     string
	updated      chan struct{} // closed at the next swap
	seenChanged  chan struct{} // closed when the result of Newest changes
	peers        peerRevisions
	tableReaders int  // instances that read the table
	tableRead    bool // the table was read, here or by the control process

	wake chan struct{} // signals a new candidate
}

// New returns a Sync without settings.
func New(cfg Config) *Sync {
	cfg.setDefaults()
	return &Sync{
		cfg:         cfg,
		updated:     make(chan struct{}),
		seenChanged: make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
}

// Run receives and activates revisions until ctx ends.
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

// SetInstances sets how many instances read the table, so that together they stay within their share of its reads.
func (s *Sync) SetInstances(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableReaders = n
}

// Current returns the active settings, or nil before the first revision.
func (s *Sync) Current() *Active {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Updated returns a channel that is closed when the next revision comes into force.
func (s *Sync) Updated() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.updated
}

// Status returns the state shown to operators.
func (s *Sync) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Seen: s.seen.revision, Source: s.seen.source, Rejected: s.rejected}
	if s.active != nil {
		st.InForce = s.active.Snapshot.Revision
	}
	return st
}

// Offer returns the highest revision seen, for peers and heartbeats. This program may be unable to parse it; peers of
// another version can still use it.
func (s *Sync) Offer() *meshpb.SettingsOffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &meshpb.SettingsOffer{Revision: s.seen.revision}
}

// Newest returns the highest revision seen, and a channel that is closed when it changes. It is for a process that reads
// the table and forwards its revisions. The body has revision 0 until the table was read: receivers treat a body as read
// from the table, and during an outage would stop waiting for the table.
func (s *Sync) Newest() (*meshpb.SettingsBody, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tableRead {
		return &meshpb.SettingsBody{}, s.seenChanged
	}
	return &meshpb.SettingsBody{Revision: s.seen.revision, Yaml: s.seen.text}, s.seenChanged
}

// notifySeenChanged wakes the waiters on Newest's channel. The caller holds mu.
func (s *Sync) notifySeenChanged() {
	close(s.seenChanged)
	s.seenChanged = make(chan struct{})
}

// Answer returns the highest revision seen if it is above the offered one, and a body of revision 0 otherwise.
func (s *Sync) Answer(offer *meshpb.SettingsOffer) *meshpb.SettingsBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen.revision <= offer.GetRevision() {
		return &meshpb.SettingsBody{}
	}
	return &meshpb.SettingsBody{Revision: s.seen.revision, Yaml: s.seen.text}
}

// Receive takes a revision from the control process, which read it from the table. It retains the body's bytes. Revisions
// not above the highest one seen are ignored. It reports whether the revision was accepted; Run activates it.
func (s *Sync) Receive(body *meshpb.SettingsBody, source string) bool {
	s.markTableRead()
	return s.observeBody(body, source)
}

func (s *Sync) markTableRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tableRead {
		s.tableRead = true
		s.notifySeenChanged()
	}
}

func (s *Sync) observeBody(body *meshpb.SettingsBody, source string) bool {
	if body.GetRevision() == 0 || len(body.GetYaml()) > settings.MaxFile {
		return false
	}
	return s.observe(candidate{
		revision: body.GetRevision(),
		text:     body.GetYaml(),
		digest:   Digest(body.GetYaml()),
		source:   source,
	})
}

// observe is the only place that sets the highest revision seen, which never decreases. A lagging table replica, a peer
// that was partitioned or a late reply can all deliver lower revisions; accepting one would undo an accepted change.
func (s *Sync) observe(c candidate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.revision < s.seen.revision:
		staleTotal.Inc()
		return false
	case c.revision == s.seen.revision:
		s.checkDigest(c)
		return false
	}
	s.seen = c
	s.rejected = ""
	s.peers.aheadSince = time.Time{}
	s.notifySeenChanged()
	signal(s.wake)
	return true
}

// checkDigest checks that a revision has only one text. A violation is a defect of this program or of the table;
// accepting the second text would let instances differ under one revision number.
func (s *Sync) checkDigest(c candidate) {
	if c.digest == s.seen.digest {
		return
	}
	splitTotal.Inc()
	logDigestMismatch(s.seen, c)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
