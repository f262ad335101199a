// Package feedlink keeps an instance's replicas of tables up to date with few calls to the platform's store: one
// instance reads the store, one in each failure domain has it from that one, and the others from the one in their domain.
//
// Who reads and who relays is worked out by rank among the instances that are listed, without a message. Nobody depends
// on it: an instance whose reader falls silent or loses the store tries the next, and reads the store itself in the end. A
// page passed on says how long ago the store confirmed it, so that a reader that is cut off from the store is noticed
// before its settings are too old to act on.
package feedlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
)

const (
	// beat is the period of pages without news.
	beat = 300 * time.Millisecond
	// silence is how long a reader may be silent. Its machine may be dark, and then nothing else tells.
	silence = 800 * time.Millisecond
	// openTimeout bounds opening a stream to a reader; openFirst while this instance knows nothing and can't serve.
	openTimeout = 400 * time.Millisecond
	openFirst   = 150 * time.Millisecond
	// avoidFirst and avoidMax bound how long a reader that failed is not asked again: each time twice as long.
	avoidFirst = 5 * time.Second
	avoidMax   = 40 * time.Second
	// avoidNew and avoidNewMax bound how long a reader that has just started, and knows nothing, is not asked again.
	avoidNew    = 60 * time.Millisecond
	avoidNewMax = 500 * time.Millisecond
	// cutAfter is the age of the store's word at which a reader whose calls fail takes itself to be cut off: over the time
	// of one long poll.
	cutAfter = 900 * time.Millisecond
)

// Errors that end a subscription.
var (
	errTooOld  = errors.New("feedlink: the store is within reach, but not of the reader")
	errUnknown = errors.New("feedlink: the reader holds nothing yet")
	errCycle   = errors.New("feedlink: the reader has the tables from this instance")
	errOldEra  = errors.New("feedlink: the reader has not heard that the store came back from a copy")
)

// Table is one table to keep.
type Table struct {
	Name        string
	Source      feed.Source
	Replica     *feed.Replica
	Options     feed.Options
	Critical    bool        // the age of its word matters, and it must be known to serve
	Partitioner Partitioner // of which an instance may hold some; nil: all hold the whole table
}

// Role is what an instance ranks for.
type Role uint8

// Values of Role.
const (
	RoleReader   Role = iota // the store, for all
	RoleRelay                // to its failure domain
	RoleFollower             // others only
)

// Assignment is an instance's place among those that read and relay.
type Assignment struct {
	// Bootstrap says that the list of instances is not known yet: the readers are those that this instance was told of at its
	// start, and are asked for the list only.
	Bootstrap bool
	Role      Role
	LargeSite bool        // several instances relay in each failure domain
	Rank      int         // among those of the same role
	Upstreams []mesh.Peer // whom it has the tables from, the best first; it contains the instance itself, as an empty address
	// RemoteRelays relay in other failure domains. They are asked only while nobody among Readers has the store's word.
	RemoteRelays []mesh.Peer
}

// Config is what a Track works with.
type Config struct {
	Self       string // name of this instance
	Domain     string // its failure domain
	Tables     []Table
	MaxAge     time.Duration // age of the last contact with the store at which a reader is doubted
	Node       *mesh.Node
	Assignment func() Assignment
	// OnSourceError is told of each source that is lost: of a table, or of all by an empty name.
	OnSourceError func(table string, err error)
	// OnSourceChange is told of each change of the instance that the tables are had from; empty: the store itself.
	OnSourceChange func(instance string)
	// Ranks says who reads and who relays in a failure domain, for an instance that knows nobody; empty: that is not known yet.
	Ranks func(domain string) []byte
	// ApplyRanks takes in what another instance says of that, and reports whether this one knows its Place by it.
	ApplyRanks func([]byte) bool
	// WriteRows writes rows that instances want to be written for themselves, together: their own rows of the list of instances. What fails is
	// not tried again: each sees to its own row. nil: nothing is written.
	WriteRows func(ctx context.Context, rows []feed.Row)
	// OnBroadcast is told what another instance tells all, once; nil: nobody is.
	OnBroadcast func(body []byte)
}

// Syncer keeps the tables.
type Syncer struct {
	Config
	followers []*feed.Follower
	started   time.Time
	// probed is when this instance last looked for the store although it has a reader. It outlives the reader: while news of a
	// loss spreads, an instance may change readers several times, and with each it would begin to wait anew.
	probed time.Time
	avoid  map[string]avoided // by address
	late   time.Duration      // how much later than others of its role this instance looks for the store
	cutOff avoided            // this instance itself, as a reader
	better *subscription      // to go on with, from a reader that ranks higher
	lost   atomic.Bool
	news   *newsLog
	writes *writeQueue
	path   atomic.Pointer[[]string] // instances that the tables come through, this one first
	within bool                     // the store has just answered this instance, and not its reader

	mu      sync.Mutex
	failed  map[string]bool // whether the last own call for a table failed
	unknown time.Time       // when a reader last said that it has read nothing
}

type avoided struct {
	until time.Time
	step  time.Duration
}

// again doubles the time.
func (a avoided) again(now time.Time) avoided {
	step := min(max(2*a.step, avoidFirst), avoidMax)
	return avoided{until: now.Add(step), step: step}
}

// New returns a Track.
func New(cfg Config) *Syncer {
	t := &Syncer{
		Config: cfg, avoid: make(map[string]avoided), failed: make(map[string]bool), late: rand.N(lateProbe),
		news: newNewsLog(cfg.Self, uint64(time.Now().UnixNano())), writes: newWriteQueue(),
	}
	t.started = time.Now()
	t.probed = t.started
	for _, table := range cfg.Tables {
		fail := func(err error) { t.callFailed(table.Name, err) }
		t.followers = append(t.followers, feed.NewFollower(watched{table, t}, table.Options, table.Replica, fail))
	}
	return t
}

// Run keeps the tables until ctx is done.
func (t *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s := t.better; s != nil {
			t.better = nil
			t.follow(ctx, s)
			continue
		}
		if t.within {
			t.within = false
			t.read(ctx)
			continue
		}
		reader, self, pause := t.pick(time.Now())
		switch {
		case pause > 0:
			sleep(ctx, pause)
		case self:
			t.read(ctx)
		case t.Assignment().Bootstrap:
			t.learn(ctx, reader)
		default:
			s, err := t.open(ctx, reader)
			if err != nil {
				t.doubt(ctx, reader, err)
				continue
			}
			t.follow(ctx, s)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// doubt leaves a reader alone for a while.
func (t *Syncer) doubt(ctx context.Context, reader mesh.Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if errors.Is(err, errUnknown) {
		t.toldUnknown(now)
	}
	if errors.Is(err, errUnknown) || !t.known() {
		// It has just started, as this instance may have, too.
		step := min(max(2*t.avoid[reader.Addr].step, avoidNew), avoidNewMax)
		t.avoid[reader.Addr] = avoided{until: now.Add(step), step: step}
		return
	}
	if errors.Is(err, errCycle) || errors.Is(err, errOldEra) {
		// In a moment it reads itself, if it ranks before this one, or has heard of the new era. Left alone for longer, both would
		// read.
		t.avoid[reader.Addr] = avoided{until: now.Add(reconsider)}
		return
	}
	t.OnSourceError("", err)
	t.avoid[reader.Addr] = t.avoid[reader.Addr].again(now)
}

// pick returns the best reader that has not failed lately, or that this instance reads itself, or a pause before it is to be
// asked again.
func (t *Syncer) pick(now time.Time) (reader mesh.Peer, self bool, pause time.Duration) {
	place := t.Assignment()
	early := t.early(now)
	for _, p := range place.Upstreams {
		if p.Addr != "" {
			if now.After(t.avoid[p.Addr].until) {
				return p, false, 0
			}
			continue
		}
		switch {
		case early && place.Role != RoleReader:
			return mesh.Peer{}, false, looks
		case now.After(t.cutOff.until):
			return mesh.Peer{}, true, 0
		}
	}
	return mesh.Peer{}, true, 0
}

// read follows the store itself until another instance should.
func (t *Syncer) read(ctx context.Context) {
	t.comesBy(nil)
	t.OnSourceChange("")
	reading, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for _, f := range t.followers {
		work.Go(func() { f.Run(reading) })
	}
	if t.WriteRows != nil {
		work.Go(func() { t.passWrites(reading, func(rows []feed.Row) { t.WriteRows(reading, rows) }) })
	}
	tick := time.NewTicker(reconsider)
	defer tick.Stop()
	for {
		changed := t.listChanged()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		}
		now := time.Now()
		if t.StoreLost() && t.age(now) > cutAfter {
			// Another may reach the store. Without this, an instance that alone is cut off from it would go on by old
			// settings, with peers beside it that know the new ones.
			t.cutOff = t.cutOff.again(now)
			if t.search(ctx, mesh.Peer{Instance: t.Self}) {
				return
			}
		}
		if t.moveTo(ctx, now) {
			return
		}
	}
}

// listChanged returns a channel that is closed when a table changes that says who the readers are. It is the one that is not
// urgent, if any.
func (t *Syncer) listChanged() <-chan struct{} {
	for _, table := range t.Tables {
		if !table.Critical {
			return table.Replica.Changed()
		}
	}
	return nil
}
