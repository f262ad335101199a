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
	// patience is how long an instance that has just started leaves the store to those that rank to read it. When all
	// start in one moment each would else read all tables, ten calls an instance.
	patience = 500 * time.Millisecond
	// waitNew is how long one waits for a reader that has read nothing before it asks another.
	waitNew = time.Second
	// longPatience is for how long it does so while one of those lives and has read nothing either: the store is away, and
	// hundreds that ask it, too, would be hundreds of calls a second in vain.
	longPatience = 6 * time.Second
	// aliveFor is how long one that was heard is taken to live.
	aliveFor = 2 * time.Second
	// looks is the pause between two looks at the readers while they know nothing.
	looks = 50 * time.Millisecond
	// probeEvery is the pause between two calls of one that ranks to read while the reader has lost the store, by its rank.
	probeEvery = 400 * time.Millisecond
	// relayProbe is the pause between two calls of one that relays once the reader is doubted: all that rank to read may be
	// cut off, and changes are to be in force in two seconds.
	relayProbe = 800 * time.Millisecond
	// lateProbe is when, after the age at which a reader is doubted, all others look for themselves, and how often: all that
	// rank to relay to them may be cut off, too.
	lateProbe = 2500 * time.Millisecond
	// cutAfter is the age of the store's word at which a reader whose calls fail takes itself to be cut off: over the time
	// of one long poll.
	cutAfter = 900 * time.Millisecond
	// reconsider is how often an instance looks whether it should read the store, or have it from another.
	reconsider = 500 * time.Millisecond
)

// Errors that end a subscription.
var (
	errTooOld  = errors.New("feedlink: the store is within reach, but not of the reader")
	errUnknown = errors.New("feedlink: the reader holds nothing yet")
	errTooLong = errors.New("feedlink: page too long")
	errCycle   = errors.New("feedlink: the reader has the tables from this instance")
)

// Table is one table to keep.
type Table struct {
	Name    string
	Source  feed.Source
	Replica *feed.Replica
	Options feed.Options
	Urgent  bool // the age of its word matters, and it must be known to serve
}

// Role is what an instance ranks for.
type Role uint8

// Values of Role.
const (
	Reads   Role = iota // the store, for all
	Relays              // to its failure domain
	Follows             // others only
)

// Place is an instance's place among those that read and relay.
type Place struct {
	// Guess says that the list of instances is not known yet: the readers are those that this instance was told of at its
	// start, and are asked for the list only.
	Guess   bool
	Role    Role
	Rank    int         // among those of the same role
	Readers []mesh.Peer // whom it has the tables from, the best first; it contains the instance itself, as an empty address
}

// Config is what a Track works with.
type Config struct {
	Self   string // name of this instance
	Tables []Table
	MaxAge time.Duration // age of the last contact with the store at which a reader is doubted
	Node   *mesh.Node
	Place  func() Place
	// Fail is told of each source that is lost: of a table, or of all by an empty name.
	Fail func(table string, err error)
	// From is told of each change of the instance that the tables are had from; empty: the store itself.
	From func(instance string)
}

// Track keeps the tables.
type Track struct {
	Config
	followers []*feed.Follower
	started   time.Time
	avoid     map[string]avoided // by address
	unknown   time.Time          // when a reader last said that it has read nothing
	late      time.Duration      // how much later than others of its role this instance looks for the store
	cutOff    avoided            // this instance itself, as a reader
	better    *subscription      // to go on with, from a reader that ranks higher
	lost      atomic.Bool
	path      atomic.Pointer[[]string] // instances that the tables come through, this one first
	within    bool                     // the store has just answered this instance, and not its reader

	mu     sync.Mutex
	failed map[string]bool // whether the last own call for a table failed
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
func New(cfg Config) *Track {
	t := &Track{Config: cfg, avoid: make(map[string]avoided), failed: make(map[string]bool), started: time.Now(), late: rand.N(lateProbe)}
	for _, table := range cfg.Tables {
		fail := func(err error) { t.callFailed(table.Name, err) }
		t.followers = append(t.followers, feed.NewFollower(watched{table, t}, table.Options, table.Replica, fail))
	}
	return t
}

// Lost reports whether the store can't be reached from here: the last call failed, or the reader says so.
func (t *Track) Lost() bool { return t.lost.Load() }

// pathNow returns the instances that the tables come through, this one first.
func (t *Track) pathNow() []string {
	if p := t.path.Load(); p != nil {
		return *p
	}
	return []string{t.Self}
}

// comesBy notes the instances behind this one that the tables come through.
func (t *Track) comesBy(path []string) {
	p := append([]string{t.Self}, path...)
	t.path.Store(&p)
}

func (t *Track) callFailed(table string, err error) {
	t.called(table, err)
	t.Fail(table, err)
}

// called notes how a call ended. Only urgent tables tell whether the store is lost: the others are asked seldom.
func (t *Track) called(table string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[table] = err != nil && !errors.Is(err, feed.ErrHistoryGone)
	lost := false
	for _, table := range t.Tables {
		lost = lost || table.Urgent && t.failed[table.Name]
	}
	t.lost.Store(lost)
}

// watched is a source whose calls are noted.
type watched struct {
	Table
	t *Track
}

func (w watched) Snapshot(ctx context.Context) (feed.Page, error) {
	p, err := w.Source.Snapshot(ctx)
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		w.t.called(w.Name, err)
	}
	return p, err
}

func (w watched) Changes(ctx context.Context, after int64, wait time.Duration) (feed.Page, error) {
	p, err := w.Source.Changes(ctx, after, wait)
	if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		w.t.called(w.Name, err)
	}
	return p, err
}

// known reports whether all urgent tables have been read.
func (t *Track) known() bool {
	for _, table := range t.Tables {
		if _, known := table.Replica.Version(); table.Urgent && !known {
			return false
		}
	}
	return true
}

// age is the time since the store confirmed the urgent tables.
func (t *Track) age(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, table := range t.Tables {
		if table.Urgent {
			oldest = max(oldest, now.Sub(table.Replica.Contact()))
		}
	}
	return oldest
}

// Run keeps the tables until ctx is done.
func (t *Track) Run(ctx context.Context) {
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
		case t.Place().Guess:
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

// learn takes the list of instances from one that this instance was told of. While the store is away it takes all tables
// there: those that rank to read may know nothing either.
func (t *Track) learn(ctx context.Context, reader mesh.Peer) {
	s, err := t.openList(ctx, reader)
	if err != nil {
		t.doubt(ctx, reader, err)
		return
	}
	s.close()
	if !s.lost {
		return
	}
	if all, err := t.open(ctx, reader); err == nil {
		t.better = all
		return
	}
	t.doubt(ctx, reader, errUnknown)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// doubt leaves a reader alone for a while.
func (t *Track) doubt(ctx context.Context, reader mesh.Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if errors.Is(err, errUnknown) {
		t.unknown = now
	}
	if errors.Is(err, errUnknown) || !t.known() {
		// It has just started, as this instance may have, too.
		step := min(max(2*t.avoid[reader.Addr].step, avoidNew), avoidNewMax)
		t.avoid[reader.Addr] = avoided{until: now.Add(step), step: step}
		return
	}
	t.Fail("", err)
	t.avoid[reader.Addr] = t.avoid[reader.Addr].again(now)
}

// early reports whether this instance, which knows nothing, leaves the store to others for now.
func (t *Track) early(now time.Time) bool {
	if t.known() {
		return false
	}
	since := now.Sub(t.started)
	return since < patience || since < longPatience && now.Sub(t.unknown) < aliveFor
}

// pick returns the best reader that has not failed lately, or that this instance reads itself, or a pause before it is to be
// asked again.
func (t *Track) pick(now time.Time) (reader mesh.Peer, self bool, pause time.Duration) {
	place := t.Place()
	early := t.early(now)
	for _, p := range place.Readers {
		if p.Addr != "" {
			if now.After(t.avoid[p.Addr].until) {
				return p, false, 0
			}
			continue
		}
		switch {
		case early && place.Role != Reads:
			return mesh.Peer{}, false, looks
		case now.After(t.cutOff.until):
			return mesh.Peer{}, true, 0
		}
	}
	return mesh.Peer{}, true, 0
}

// read follows the store itself until another instance should.
func (t *Track) read(ctx context.Context) {
	t.comesBy(nil)
	t.From("")
	reading, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	for _, f := range t.followers {
		work.Go(func() { f.Run(reading) })
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
		if t.Lost() && t.age(now) > cutAfter {
			// Another may reach the store. Without this, an instance that alone is cut off from it would go on by old
			// settings, with peers beside it that know the new ones.
			t.cutOff = t.cutOff.again(now)
		}
		if t.moveTo(ctx, now) {
			return
		}
	}
}

// listChanged returns a channel that is closed when a table changes that says who the readers are. It is the one that is not
// urgent, if any.
func (t *Track) listChanged() <-chan struct{} {
	for _, table := range t.Tables {
		if !table.Urgent {
			return table.Replica.Changed()
		}
	}
	return nil
}

// moveTo looks for a reader that ranks higher, and subscribes to it before this instance's own reading ends: one that is
// dead, or has lost the store, is left alone without a gap.
func (t *Track) moveTo(ctx context.Context, now time.Time) bool {
	reader, self, _ := t.pick(now)
	if self || reader.Addr == "" {
		return false
	}
	s, err := t.open(ctx, reader)
	if err == nil {
		err = t.worse(s)
	}
	if err != nil {
		t.doubt(ctx, reader, err)
		return false
	}
	t.better = s
	return true
}

// worse tells why a reader that ranks higher is not to be followed all the same, and closes the subscription then.
//
// Failure: three instances that ranked to read took the tables from each other in a circle, since each had given up the
// reader that ranked before them. Nobody read the store, and settings were five seconds old although most could reach it.
// Pages say through whom they come, so that none follows one that follows it.
func (t *Track) worse(s *subscription) error {
	var err error
	switch {
	case s.behind() && (!t.Lost() || s.age > t.age(time.Now())):
		err = errTooOld
	case s.circular():
		err = errCycle
	default:
		return nil
	}
	s.close()
	return err
}

// follow takes the tables from a reader until it fails, or another is better.
func (t *Track) follow(ctx context.Context, s *subscription) {
	defer s.close()
	t.From(s.reader.Instance)
	probed := time.Now()
	looked := probed
	for {
		t.lost.Store(s.lost)
		t.comesBy(s.path)
		if err := s.receive(); err != nil {
			t.doubt(ctx, s.reader, err)
			return
		}
		if s.circular() {
			t.doubt(ctx, s.reader, errCycle)
			return
		}
		now := time.Now()
		if now.Sub(looked) >= reconsider {
			looked = now
			if t.leaves(ctx, now, s) || s.behind() && t.search(ctx, s) {
				return
			}
		}
		if !t.mayProbe(now, probed, s) {
			continue
		}
		probed = now.Add(rand.N(probeEvery / 2))
		if t.followers[0].Step(ctx, 0) == nil {
			t.cutOff = avoided{}
			t.within = true
			t.doubt(ctx, s.reader, errTooOld)
			return
		}
	}
}

// leaves reports whether another reader, or this instance, should take over from the one followed.
func (t *Track) leaves(ctx context.Context, now time.Time, s *subscription) bool {
	reader, self, _ := t.pick(now)
	if !self {
		return reader.Addr != s.reader.Addr && t.moveTo(ctx, now)
	}
	if t.followers[0].Step(ctx, 0) != nil {
		t.cutOff = t.cutOff.again(now)
		return false
	}
	t.cutOff = avoided{}
	return true
}

// search looks for a reader that has the store's word, in place of one that has not. Those that only follow leave it to the
// one that relays to them.
func (t *Track) search(ctx context.Context, s *subscription) bool {
	place := t.Place()
	if place.Role == Follows {
		return false
	}
	now := time.Now()
	for _, p := range place.Readers {
		if p.Addr == "" || p.Addr == s.reader.Addr || now.Before(t.avoid[p.Addr].until) {
			continue
		}
		other, err := t.open(ctx, p)
		if err != nil {
			t.doubt(ctx, p, err)
			continue
		}
		if !other.behind() && !other.circular() {
			t.better = other
			return true
		}
		other.close()
	}
	return false
}

// mayProbe reports whether to look for the store although the reader has lost it. Those that rank to read do so at once, one
// after the other; the others only when these seem to be cut off, too.
func (t *Track) mayProbe(now, probed time.Time, s *subscription) bool {
	place, age := t.Place(), t.age(now)
	switch place.Role {
	case Reads:
		return (s.lost || age > t.MaxAge) && now.Sub(probed) > time.Duration(1+place.Rank)*probeEvery
	case Relays:
		return age > t.MaxAge && now.Sub(probed) > relayProbe
	}
	return age > t.MaxAge+lateProbe+t.late && now.Sub(probed) > lateProbe+t.late
}
