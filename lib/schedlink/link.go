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
	aloneTotal  = metrics.NewCounter(`anvilwick_sched_decided_alone_total`)
	reboundItem = metrics.NewCounter(`anvilwick_sched_rebound_total`)
)

// LinkOptions of a Link. Zero times take the defaults.
type LinkOptions struct {
	Self    string // instance
	Node    *mesh.Node
	Members Members
	Host    *Host
	Silence time.Duration // after which the entry decides alone for what it asked
	Seed    uint64
}

// Link is the entry's way to the owners. It implements placer.Placer.
type Link struct {
	opts  LinkOptions
	ctx   context.Context
	start time.Time

	mu       sync.Mutex
	plan     plan
	view     *member.View
	own      *owners
	chosen   map[string][]shard.ID // of each service, the shards that this entry uses
	digests  digests
	items    items
	conns    map[string]*ownerConn // by instance
	alone    alone
	rng      *rand.Rand
	handle   uint32 // last given out
	progress time.Duration
}

var _ placer.Placer = (*Link)(nil)

// NewLink returns a Link that lives until ctx is done. Run must be started.
func NewLink(ctx context.Context, o LinkOptions) *Link {
	orDefault(&o.Silence, DefaultSilence)
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	v := o.Members.View()
	return &Link{
		opts:  o,
		ctx:   ctx,
		start: time.Now(),
		plan:  make(plan),
		view:  v,
		own:   newOwners(nil, v),
		items: make(items),
		conns: make(map[string]*ownerConn),
		alone: newAlone(rng),
		rng:   rng,
	}
}

// Apply takes up a revision of settings, for this Link and its Host.
func (l *Link) Apply(site Site) {
	p := newPlan(site)
	l.mu.Lock()
	l.plan = p
	l.chosen = make(map[string][]shard.ID, len(p))
	for name, sp := range p {
		l.chosen[name] = l.choices(sp)
	}
	l.progress = site.ProgressEvery
	l.mu.Unlock()
	l.opts.Host.setTick(site.Tick)
	l.opts.Host.update(p, l.opts.Members.View())
	l.rebind()
}

// Times of Run.
const (
	sweepEvery   = 100 * time.Millisecond // between looks for silent owners
	digestsEvery = 200 * time.Millisecond // between looks at what heartbeats brought
)

// progressEvery is the time between two messages of progress to an owner. Owners forecast memory from it and don't
// guess between two messages, so it is short; a site whose entries run very many generations sets it longer, for the
// bytes grow with generations over it.
func (l *Link) progressEvery() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.progress > 0 {
		return l.progress
	}
	return DefaultProgressEvery
}

// Run follows the members and looks for silent owners, until ctx is done.
func (l *Link) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	digests := time.NewTicker(digestsEvery)
	defer digests.Stop()
	progress := time.NewTimer(l.progressEvery())
	defer progress.Stop()
	for {
		changed := l.opts.Members.Changed()
		l.follow()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-sweep.C:
			l.sweep(time.Now())
		case <-progress.C:
			l.flushProgress()
			progress.Reset(l.progressEvery())
		case <-digests.C:
			l.readDigests()
		}
	}
}

// follow takes up the newest view.
func (l *Link) follow() {
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

// rebind moves items to the owners of the current plan and view.
func (l *Link) rebind() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = newOwners(l.plan, l.view)
	moved := 0
	for _, it := range l.items.inOrder() {
		was := it.id
		l.reshard(it)
		if c := l.connFor(it); c != it.conn || it.id != was {
			l.bind(it, c)
			moved++
		}
	}
	l.dropUnused()
	if moved == 0 {
		return
	}
	reboundItem.Add(moved)
	log.Info().Str("event", "owners_changed").Uint64("view", l.view.Version).Int("generations", moved).Msg("")
}

// connFor returns the conversation with the owner of an item's shard, or nil.
func (l *Link) connFor(it *item) *ownerConn {
	m, ok := l.own.of(it.id)
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

// bind moves an item to an owner and tells both. The old owner, if it still listens, must not count on its place.
func (l *Link) bind(it *item, c *ownerConn) {
	if old := it.conn; old != nil {
		old.bound--
		old.send(endOf(it.req.Gen, it.req.Attempt, it.tokens, sched.EndCancelled))
	}
	it.conn = c
	if c == nil {
		return
	}
	it.asked = time.Now()
	it.dirty = it.tokens > it.req.Emitted
	c.bound++
	c.send(it.submit(l.Now()))
}

// dropUnused forgets conversations with members that are gone.
func (l *Link) dropUnused() {
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
	l.handle++
	it := &item{req: r, notify: notify, since: time.Now(), handle: l.handle, tokens: r.Emitted}
	it.id.Service = service
	if !l.choose(it) {
		notify(refuseNoTarget(&r))
		return
	}
	l.items[r.Gen] = it
	l.bind(it, l.connFor(it))
	if it.conn == nil || it.conn.silent {
		l.decideAlone(it)
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
	l.alone.ended(it.target, reason, time.Now())
	if it.conn != nil {
		it.conn.send(endOf(g, attempt, tokens, reason))
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
	l.alone.left(it.target)
	if it.conn != nil {
		it.conn.bound--
	}
}

func (l *Link) readDigests() {
	list := l.opts.Members.Digests()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digests = newDigests(l.digests, list, l.plan)
}

// flushProgress sends what was delivered since the last time, one message an owner.
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
		c.send(progressOf(list))
	}
}

// sweep decides alone for what silent owners were asked.
func (l *Link) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, it := range l.items {
		c := it.conn
		if it.queued() && c != nil && !c.silent && c.isSilent(it.asked, now, l.opts.Silence) {
			c.silent = true
			log.Warn().Str("event", "owner_silent").Str("owner", c.to.Instance).Int("generations", c.bound).Msg("")
		}
	}
	for _, it := range l.ownerless() {
		l.decideAlone(it)
	}
}
