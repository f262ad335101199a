// Package feedlink keeps an instance's replicas of tables up to date with few calls to the platform's store: one instance reads
// the store, relays in each failure domain take the tables from it, and the other instances from a relay in their domain.
//
// Readers and relays are determined by rank among the listed instances, without messages. Nothing depends on a single instance:
// an instance whose upstream stops responding or loses the store tries the next one, and finally reads the store itself. Each
// forwarded page says how long ago the store confirmed it, so that an upstream that is cut off from the store is noticed before its
// settings are too old to act on.
package feedlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/mesh"
)

const (
	// pageInterval is the interval of pages without changes.
	pageInterval = 300 * time.Millisecond
	// upstreamTimeout is the time after which an upstream that sends nothing counts as failed. If its machine is down, nothing else shows it.
	upstreamTimeout = 800 * time.Millisecond
	// subscribeTimeout bounds opening a stream to an upstream; initialSubscribeTimeout applies while this instance has no tables and
	// can't serve.
	subscribeTimeout        = 400 * time.Millisecond
	initialSubscribeTimeout = 150 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long a failed upstream is avoided; the time doubles with each failure.
	minAvoidance = 5 * time.Second
	maxAvoidance = 40 * time.Second
	// minAvoidanceNew and maxAvoidanceNew bound how long an upstream that has just started, and has no tables, is avoided.
	minAvoidanceNew = 60 * time.Millisecond
	maxAvoidanceNew = 500 * time.Millisecond
	// cutOffAge is the age of the last contact at which a reader whose calls fail considers itself cut off from the store: longer
	// than one long poll.
	cutOffAge = 900 * time.Millisecond
)

// Errors that end a subscription.
var (
	errUpstreamStale = errors.New("feedlink: upstream lost contact with the store")
	errUpstreamEmpty = errors.New("feedlink: upstream has no tables yet")
	errCycle         = errors.New("feedlink: cycle: upstream takes the tables from this instance")
	errOldEra        = errors.New("feedlink: upstream is in an era before the store's last restore")
)

// Table is a table to keep up to date.
type Table struct {
	Name     string
	Source   feed.Source
	Replica  *feed.Replica
	Options  feed.Options
	Critical bool // must be known before the instance can serve, and the age of its last contact matters
	// Optional tables are not waited for before another instance is referred to its upstreams.
	Optional    bool
	Partitioner Partitioner // nil: all instances hold the whole table
}

// Role is an instance's role in distributing the tables.
type Role uint8

// Values of Role.
const (
	RoleReader   Role = iota // candidate to read the store for all
	RoleRelay                // forwards the tables within its failure domain
	RoleFollower             // only receives the tables
)

// Assignment is an instance's place in the distribution of the tables.
type Assignment struct {
	// Bootstrap says that the list of instances is not known yet: Upstreams are the seeds that this instance was started with, and are
	// asked only for the list.
	Bootstrap bool
	Role      Role
	LargeSite bool        // several instances relay in each failure domain
	Rank      int         // among the instances of the same role
	Upstreams []mesh.Peer // upstreams in order of preference; an empty address stands for this instance, which then reads the store
	// RemoteRelays relay in other failure domains. They are queried only while none of Upstreams is in contact with the store.
	RemoteRelays []mesh.Peer
}

// Config configures a Syncer.
type Config struct {
	Self       string // name of this instance
	Domain     string // its failure domain
	Tables     []Table
	MaxAge     time.Duration // age of the last contact with the store at which an upstream is suspected to be cut off
	Node       *mesh.Node
	Assignment func() Assignment
	// OnSourceError is called for each failure of a source, with the name of its table, or an empty name for an upstream.
	OnSourceError func(table string, err error)
	// OnSourceChange is called with the new upstream whenever it changes; empty: the store itself.
	OnSourceChange func(instance string)
	// Ranks returns the encoded readers and relays of a failure domain, for an instance that knows no peers; empty: not known yet.
	Ranks func(domain string) []byte
	// ApplyRanks stores the ranks received from another instance, and reports whether this one can derive its Assignment from them.
	ApplyRanks func([]byte) bool
	// WriteRows writes the rows that instances want written for themselves, in one batch: their own rows of the list of instances.
	// Failures are not retried: each instance checks its own row. nil: nothing is written.
	WriteRows func(ctx context.Context, rows []feed.Row)
	// OnBroadcast is called once for each broadcast of another instance; nil: broadcasts are only forwarded.
	OnBroadcast func(body []byte)
}

// Syncer keeps an instance's tables up to date.
type Syncer struct {
	Config
	followers []*feed.Follower
	started   time.Time
	// lastProbe is when this instance last probed the store although it has an upstream. It is not reset when the upstream changes:
	// while the loss of the store spreads, an instance may change upstreams several times, and would start to wait anew with each.
	lastProbe      time.Time
	avoidances     map[string]avoidance // by address
	probeJitter    time.Duration        // random delay of this instance's probes beyond others of its role
	cutOff         avoidance            // of this instance itself as a reader
	next           *subscription        // subscription to follow next, to a higher-ranked upstream
	storeLost      atomic.Bool
	broadcasts     *broadcastLog
	writes         *writeQueue
	path           atomic.Pointer[[]string] // instances between the store and this one, this one first
	storeReachable bool                     // a probe just reached the store while the upstream had lost it: read the store next

	mu                sync.Mutex
	failed            map[string]bool // whether this instance's last call for a table failed
	emptyUpstreamSeen time.Time       // when an upstream last reported that it has read nothing
}

type avoidance struct {
	until time.Time
	step  time.Duration
}

// extend returns the avoidance after another failure, with twice the time.
func (a avoidance) extend(now time.Time) avoidance {
	step := min(max(2*a.step, minAvoidance), maxAvoidance)
	return avoidance{until: now.Add(step), step: step}
}

// New returns a Syncer, which does nothing until Run.
func New(cfg Config) *Syncer {
	t := &Syncer{
		Config: cfg, avoidances: make(map[string]avoidance), failed: make(map[string]bool), probeJitter: rand.N(followerProbeDelay),
		broadcasts: newBroadcastLog(cfg.Self, uint64(time.Now().UnixNano())), writes: newWriteQueue(),
	}
	t.started = time.Now()
	t.lastProbe = t.started
	for _, table := range cfg.Tables {
		fail := func(err error) { t.callFailed(table.Name, err) }
		t.followers = append(t.followers, feed.NewFollower(monitoredSource{table, t}, table.Options, table.Replica, fail))
	}
	return t
}

// Run keeps the tables up to date until ctx is done.
func (t *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s := t.next; s != nil {
			t.next = nil
			t.follow(ctx, s)
			continue
		}
		if t.storeReachable {
			t.storeReachable = false
			t.readStore(ctx)
			continue
		}
		upstream, readSelf, pause := t.pickUpstream(time.Now())
		switch {
		case pause > 0:
			ctxtime.Sleep(ctx, pause)
		case readSelf:
			t.readStore(ctx)
		case t.Assignment().Bootstrap:
			t.bootstrap(ctx, upstream)
		default:
			s, err := t.subscribe(ctx, upstream)
			if err != nil {
				t.avoidUpstream(ctx, upstream, err)
				continue
			}
			t.follow(ctx, s)
		}
	}
}

// avoidUpstream avoids an upstream for a while after a failure.
func (t *Syncer) avoidUpstream(ctx context.Context, upstream mesh.Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if errors.Is(err, errUpstreamEmpty) {
		t.noteEmptyUpstream(now)
	}
	if errors.Is(err, errUpstreamEmpty) || !t.initialized() {
		// The upstream has just started, and this instance may have, too.
		step := min(max(2*t.avoidances[upstream.Addr].step, minAvoidanceNew), maxAvoidanceNew)
		t.avoidances[upstream.Addr] = avoidance{until: now.Add(step), step: step}
		return
	}
	if errors.Is(err, errCycle) || errors.Is(err, errOldEra) {
		// The upstream will soon read the store itself if it ranks before this instance, or learn of the new era. If it were avoided
		// for longer, both would read.
		t.avoidances[upstream.Addr] = avoidance{until: now.Add(reconsiderInterval)}
		return
	}
	t.OnSourceError("", err)
	t.avoidances[upstream.Addr] = t.avoidances[upstream.Addr].extend(now)
}

// pickUpstream returns the most preferred upstream that has not failed recently, or readSelf if this instance should read the store,
// or a pause before it should try again.
func (t *Syncer) pickUpstream(now time.Time) (upstream mesh.Peer, readSelf bool, pause time.Duration) {
	assignment := t.Assignment()
	deferring := t.deferToReaders(now)
	for _, p := range assignment.Upstreams {
		if p.Addr != "" {
			if now.After(t.avoidances[p.Addr].until) {
				return p, false, 0
			}
			continue
		}
		switch {
		case deferring && assignment.Role != RoleReader:
			return mesh.Peer{}, false, startPollInterval
		case now.After(t.cutOff.until):
			return mesh.Peer{}, true, 0
		}
	}
	return mesh.Peer{}, true, 0
}

// readStore reads the store until another instance should.
func (t *Syncer) readStore(ctx context.Context) {
	t.setUpstreamPath(nil)
	t.OnSourceChange("")
	readCtx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for _, f := range t.followers {
		work.Go(func() { f.Run(readCtx) })
	}
	if t.WriteRows != nil {
		work.Go(func() { t.forwardWrites(readCtx, func(rows []feed.Row) { t.WriteRows(readCtx, rows) }) })
	}
	tick := time.NewTicker(reconsiderInterval)
	defer tick.Stop()
	for {
		changed := t.instanceListChanged()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-changed:
		}
		now := time.Now()
		if t.StoreLost() && t.contactAge(now) > cutOffAge {
			// Another instance may reach the store. Without this, an instance that alone is cut off from it would keep serving by
			// outdated settings next to peers that know the new ones.
			t.cutOff = t.cutOff.extend(now)
			if t.search(ctx, mesh.Peer{Instance: t.Self}) {
				return
			}
		}
		if t.switchUpstream(ctx, now) {
			return
		}
	}
}

// instanceListChanged returns a channel that is closed when the instance list changes, which determines the readers. It is the table that
// is not critical, if any.
func (t *Syncer) instanceListChanged() <-chan struct{} {
	for _, table := range t.Tables {
		if !table.Critical {
			return table.Replica.Changed()
		}
	}
	return nil
}
