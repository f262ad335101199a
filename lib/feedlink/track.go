// Package feedlink keeps an instance's replica of a table up to date with few calls to the platform's store: one
// instance in each failure domain reads the store, the others have it from that one.
//
// The reader is chosen by rendezvous among the instances that are heard, without a message. Nobody depends on it: an
// instance whose reader falls silent or loses the store tries the next, and reads the store itself in the end. A page
// passed on says how long ago the store confirmed it, so that a reader that is cut off from the store is noticed
// before its settings are too old to act on.
package feedlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/klauspost/compress/s2"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

const (
	// beat is the period of pages without news.
	beat = 300 * time.Millisecond
	// silence is how long a reader may be silent. Its machine may be dark, and then nothing else tells.
	silence = 800 * time.Millisecond
	// openTimeout bounds opening a stream to a reader.
	openTimeout = 400 * time.Millisecond
	// grace is how long a reader that has just been chosen may take to reach the store.
	grace = 500 * time.Millisecond
	// avoidFor is how long a reader that failed is not asked again.
	avoidFor = 5 * time.Second
	// probeEvery is the pause between own calls to the store while the reader has lost it. The instance that should read
	// probes more often: the others have the store's return from it.
	probeEvery      = 1500 * time.Millisecond
	probeEveryFirst = 400 * time.Millisecond
	// reconsider is how often an instance that reads the store looks whether another should.
	reconsider = time.Second
)

// Errors that end a subscription.
var (
	errTooOld  = errors.New("feedlink: the store is within reach, but not of the reader")
	errUnknown = errors.New("feedlink: the reader holds nothing yet")
	errChanged = errors.New("feedlink: another reader is chosen")
)

// Config is what a Track works with.
type Config struct {
	Table   string
	Source  feed.Source
	Replica *feed.Replica
	Options feed.Options
	MaxAge  time.Duration // age of the last contact with the store at which a reader is doubted
	Node    *mesh.Node
	// Readers ranks the instances that may read for this one, the best first. It contains this instance, as an empty
	// address.
	Readers func() []mesh.Peer
	Fail    func(error) // told of each lost source
}

// Track keeps one table.
type Track struct {
	Config
	follower *feed.Follower
	avoid    map[string]time.Time // by instance
	cutOff   time.Time            // when this instance last gave up reading the store itself
}

// New returns a Track.
func New(cfg Config) *Track {
	return &Track{
		Config: cfg, avoid: make(map[string]time.Time),
		follower: feed.NewFollower(cfg.Source, cfg.Options, cfg.Replica, cfg.Fail),
	}
}

// Run keeps the table until ctx is done.
func (t *Track) Run(ctx context.Context) {
	for ctx.Err() == nil {
		reader, self := t.pick()
		if self {
			t.read(ctx)
			continue
		}
		err := t.subscribe(ctx, reader)
		if ctx.Err() != nil || errors.Is(err, errChanged) {
			continue
		}
		t.Fail(err)
		t.avoid[reader.Instance] = time.Now()
	}
}

// pick returns the best reader that has not failed lately, or that this instance reads itself.
func (t *Track) pick() (mesh.Peer, bool) {
	now := time.Now()
	for _, p := range t.Readers() {
		if p.Addr == "" {
			if now.Sub(t.cutOff) < avoidFor {
				continue
			}
			return mesh.Peer{}, true
		}
		if at, ok := t.avoid[p.Instance]; ok && now.Sub(at) < avoidFor {
			continue
		}
		return p, false
	}
	return mesh.Peer{}, true
}

// first reports whether this instance is the one that should read.
func (t *Track) first() bool {
	r := t.Readers()
	return len(r) > 0 && r[0].Addr == ""
}

// read follows the store itself until another instance should.
func (t *Track) read(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.follower.Run(ctx)
	}()
	tick := time.NewTicker(reconsider)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return
		case <-tick.C:
		}
		if time.Since(t.Replica.Contact()) > t.MaxAge+grace {
			// Another may reach the store. Without this, an instance that alone is cut off from it would go on by old
			// settings, with peers beside it that know the new ones.
			t.cutOff = time.Now()
		}
		if _, self := t.pick(); !self {
			cancel()
			<-done
			return
		}
	}
}

// subscribe takes the table from a reader until it fails.
func (t *Track) subscribe(ctx context.Context, reader mesh.Peer) error {
	open, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := t.Node.Open(open, reader, meshpb.StreamKind_STREAM_FEED)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	version, _ := t.Replica.Version()
	if err := s.Write(&meshpb.FeedAsk{Table: t.Table, After: version}); err != nil {
		return err
	}
	start := time.Now()
	probed := start
	for {
		if err := t.receive(s); err != nil {
			return err
		}
		if r, self := t.pick(); self || r.Instance != reader.Instance {
			return errChanged
		}
		now := time.Now()
		every := probeEvery
		if t.first() {
			every = probeEveryFirst
		}
		if now.Sub(t.Replica.Contact()) < t.MaxAge || now.Sub(start) < grace || now.Sub(probed) < every {
			continue
		}
		probed = now.Add(rand.N(every / 2))
		if t.follower.Step(ctx, 0) == nil {
			t.cutOff = time.Time{}
			return errTooOld
		}
	}
}

// receive takes in one page.
func (t *Track) receive(s *mesh.Stream) error {
	if err := s.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	var p meshpb.FeedPage
	if err := s.Read(&p); err != nil {
		return err
	}
	if p.Version == 0 {
		return errUnknown
	}
	rows := make([]feed.Row, len(p.Rows))
	for i, r := range p.Rows {
		if r.Packed {
			b, err := s2.Decode(nil, r.Value)
			if err != nil {
				return err
			}
			r.Value = b
		}
		rows[i] = feed.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
	}
	contact := time.Now().Add(-time.Duration(p.ContactAgeMs) * time.Millisecond)
	t.Replica.Take(feed.Page{Rows: rows, Version: p.Version}, p.Whole, contact)
	return nil
}
