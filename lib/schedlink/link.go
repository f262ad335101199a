package schedlink

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

var (
	selfPlacedTotal = metrics.NewCounter(`anvilwick_sched_decided_alone_total`)
	reboundTotal    = metrics.NewCounter(`anvilwick_sched_rebound_total`)
)

// LinkOptions configures a Link. Zero durations take the defaults.
type LinkOptions struct {
	Self         string // instance
	Node         *mesh.Node
	Members      Members
	Host         *Host
	OwnerTimeout time.Duration // after which the entry places pending requests by itself
	Seed         uint64
}

// Link is the entry's connection to the owners. It implements placer.Placer.
type Link struct {
	opts  LinkOptions
	ctx   context.Context
	start time.Time

	mu                 sync.Mutex
	plan               plan
	view               *member.View
	owners             *owners
	candidates         map[string][]shard.ID // by service, the shards that this entry uses
	digests            digests
	items              items
	conns              map[string]*ownerConn // by instance
	selfPlacer         selfPlacer
	rng                *rand.Rand
	lastHandle         uint32 // last one assigned
	configuredProgress time.Duration
}

var _ placer.Placer = (*Link)(nil)

// NewLink returns a Link that lives until ctx is done. The caller must start Run.
func NewLink(ctx context.Context, o LinkOptions) *Link {
	orDefault(&o.OwnerTimeout, DefaultOwnerTimeout)
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	v := o.Members.View()
	return &Link{
		opts:       o,
		ctx:        ctx,
		start:      time.Now(),
		plan:       make(plan),
		view:       v,
		owners:     newOwners(nil, v),
		items:      make(items),
		conns:      make(map[string]*ownerConn),
		selfPlacer: newSelfPlacer(rng),
		rng:        rng,
	}
}

// Apply applies a revision of settings to this Link and its Host.
func (l *Link) Apply(site Site) {
	p := newPlan(site)
	l.mu.Lock()
	l.plan = p
	l.candidates = make(map[string][]shard.ID, len(p))
	for name, sp := range p {
		l.candidates[name] = l.candidateShards(sp)
	}
	l.configuredProgress = site.ProgressEvery
	l.mu.Unlock()
	l.opts.Host.setTick(site.Tick)
	l.opts.Host.update(p, l.opts.Members.View())
	l.rebind()
}

// Intervals of Run.
const (
	sweepInterval  = 100 * time.Millisecond // check for silent owners
	digestInterval = 200 * time.Millisecond // read digests received with heartbeats
)

// progressInterval returns the interval between progress messages to an owner. Owners forecast memory from these messages and
// don't extrapolate between them, so it is short. A site whose entries run very many generations configures a longer one,
// because the traffic is proportional to generations divided by the interval.
func (l *Link) progressInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.configuredProgress > 0 {
		return l.configuredProgress
	}
	return DefaultProgressEvery
}

// Run follows membership changes, sends progress and detects silent owners, until ctx is done.
func (l *Link) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	digests := time.NewTicker(digestInterval)
	defer digests.Stop()
	progress := time.NewTimer(l.progressInterval())
	defer progress.Stop()
	for {
		changed := l.opts.Members.Changed()
		l.updateView()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-sweep.C:
			l.checkOwners(time.Now())
		case <-progress.C:
			l.flushProgress()
			progress.Reset(l.progressInterval())
		case <-digests.C:
			l.updateDigests()
		}
	}
}

// updateView applies the newest membership view.
func (l *Link) updateView() {
	v := l.opts.Members.View()
	l.mu.Lock()
	p := l.plan
	newer := v != l.view
	l.view = v
	l.mu.Unlock()
	l.opts.Host.update(p, v)
	if newer {
		l.rebind()
	}
}

// rebind moves items to the owners under the current plan and view.
func (l *Link) rebind() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = newOwners(l.plan, l.view)
	moved := 0
	for _, it := range l.items.inOrder() {
		was := it.id
		l.reshard(it)
		if c := l.connFor(it); c != it.conn || it.id != was {
			l.bind(it, c)
			moved++
		}
	}
	l.dropUnusedConns()
	if moved == 0 {
		return
	}
	reboundTotal.Add(moved)
	log.Info().Str("event", "owners_changed").Uint64("view", l.view.Version).Int("generations", moved).Msg("")
}

// connFor returns the connection to the owner of an item's shard, or nil.
func (l *Link) connFor(it *item) *ownerConn {
	m, ok := l.owners.ownerOf(it.id)
	if !ok {
		return nil
	}
	c := l.conns[m.Instance]
	if c != nil && c.to.Incarnation == m.Incarnation && c.to.MeshAddr == m.MeshAddr {
		return c
	}
	if c != nil {
		c.retire()
	}
	c = newOwnerConn(l, m)
	l.conns[m.Instance] = c
	return c
}

// bind moves an item to an owner and notifies both. The old owner, if still reachable, must release the item's placement.
func (l *Link) bind(it *item, c *ownerConn) {
	if old := it.conn; old != nil {
		old.bound--
		old.send(encodeEnd(it.req.Gen, it.req.Attempt, it.tokens, sched.EndCancelled))
	}
	it.conn = c
	if c == nil {
		return
	}
	it.requested = time.Now()
	it.dirty = it.tokens > it.req.Emitted
	c.bound++
	c.send(it.submit(l.Now()))
}

// dropUnusedConns removes connections to members that are gone.
func (l *Link) dropUnusedConns() {
	for name, c := range l.conns {
		if m, ok := l.view.Get(name); c.bound == 0 && (!ok || m.State == member.Dead) {
			c.retire()
			delete(l.conns, name)
		}
	}
}

// Now implements placer.Placer.
func (l *Link) Now() sched.Time { return sched.Time(time.Since(l.start)) }

// Submit implements placer.Placer.
func (l *Link) Submit(service string, r sched.Request, notify placer.Notify) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(r.Gen)
	l.lastHandle++
	it := &item{req: r, notify: notify, submitted: time.Now(), handle: l.lastHandle, tokens: r.Emitted}
	it.id.Service = service
	if !l.chooseShard(it) {
		notify(refuseNoTarget(&r))
		return
	}
	l.items[r.Gen] = it
	l.bind(it, l.connFor(it))
	if it.conn == nil || it.conn.silent {
		l.selfPlace(it)
	}
}

// Progress implements placer.Placer.
func (l *Link) Progress(_ string, g ids.Generation, attempt uint32, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.items[g]
	if it == nil || it.req.Attempt != attempt || tokens <= it.tokens {
		return
	}
	it.tokens, it.dirty = tokens, true
}

// End implements placer.Placer.
func (l *Link) End(_ string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it := l.items[g]
	if it == nil || it.req.Attempt != attempt {
		return
	}
	l.selfPlacer.recordEnd(it.target, reason, time.Now())
	if it.conn != nil {
		it.conn.send(encodeEnd(g, attempt, tokens, reason))
	}
	l.remove(g)
}

// remove takes an item out of the table. The caller holds mu.
func (l *Link) remove(g ids.Generation) {
	it := l.items[g]
	if it == nil {
		return
	}
	delete(l.items, g)
	l.selfPlacer.recordRemoval(it)
	if it.conn != nil {
		it.conn.bound--
	}
}

func (l *Link) updateDigests() {
	list := l.opts.Members.Digests()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digests = newDigests(l.digests, list, l.plan)
}

// flushProgress sends the progress since the last call, one message per owner.
func (l *Link) flushProgress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	byConn := make(map[*ownerConn][]*meshpb.ProgressItem)
	for _, it := range l.items {
		if it.conn != nil && it.conn.up && it.dirty {
			byConn[it.conn] = append(byConn[it.conn], it.progress())
		}
	}
	for c, list := range byConn {
		c.send(encodeProgress(list))
	}
}

// checkOwners marks owners as silent and places the requests that they have not answered.
func (l *Link) checkOwners(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range l.items {
		c := it.conn
		if it.queued() && c != nil && !c.silent && c.isSilent(it.requested, now, l.opts.OwnerTimeout) {
			c.silent = true
			log.Warn().Str("event", "owner_silent").Str("owner", c.to.Instance).Int("generations", c.bound).Msg("")
		}
	}
	for _, it := range l.ownerless() {
		l.selfPlace(it)
	}
}
