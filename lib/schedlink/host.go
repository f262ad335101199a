package schedlink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// HostOptions configures a Host. Zero durations take the defaults.
type HostOptions struct {
	Self              string // instance
	NewPolicy         func(service string) sched.Policy
	Poll              PollFunc
	Tick              time.Duration // interval of policy ticks; 0: placer.DefaultTick
	KeepaliveInterval time.Duration
	SettleDelay       time.Duration // how long a new owner collects reports before it grants queued requests
	GracePeriod       time.Duration // how long state is kept for entries that disconnected or that see another owner
}

// Host schedules the shards that this process owns, and those that an entry assumes it owns: entries whose membership view
// is slightly ahead or behind are served, not refused.
type Host struct {
	opts  HostOptions
	ctx   context.Context
	start time.Time

	mu     sync.Mutex
	plan   plan
	view   *member.View
	shards map[shard.ID]*hostedShard
	owned  map[shard.ID]bool
	power  map[shard.ID]powerShare
	tick   time.Duration // from settings; 0: opts.Tick
}

// NewHost returns a Host without shards. It runs until ctx is done.
func NewHost(ctx context.Context, o HostOptions) *Host {
	orDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	orDefault(&o.GracePeriod, DefaultGracePeriod)
	orDefault(&o.SettleDelay, DefaultSettleDelay)
	return &Host{
		opts:   o,
		ctx:    ctx,
		start:  time.Now(),
		plan:   make(plan),
		shards: make(map[shard.ID]*hostedShard),
		power:  make(map[shard.ID]powerShare),
	}
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// now returns the time on the clock shared by all runners of the host.
func (h *Host) now() sched.Time { return sched.Time(time.Since(h.start)) }

// update applies a plan and a view: owned shards are hosted, others are dropped once they are idle.
func (h *Host) update(p plan, v *member.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := !samePlan(h.plan, p)
	if changed || v != h.view {
		h.plan, h.view = p, v
		h.hostOwnedShards()
	}
	for id, s := range h.shards {
		if changed {
			h.configure(s)
		}
		if !h.owned[id] && s.idleFor(h.opts.GracePeriod) {
			s.cancel()
			delete(h.shards, id)
		}
	}
}

// setTick changes the tick interval of every shard's policy.
func (h *Host) setTick(every time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick = every
	for _, s := range h.shards {
		s.runner.SetTick(every)
	}
}

// hostOwnedShards determines the shards that this process owns and hosts them. The caller holds mu.
func (h *Host) hostOwnedShards() {
	owners := newOwners(h.plan, h.view)
	h.owned = make(map[shard.ID]bool)
	for _, sp := range h.plan {
		for _, s := range sp.shards {
			if o, ok := owners.ownerOf(s.ID); ok && o.Instance == h.opts.Self {
				h.owned[s.ID] = true
				h.ensureHosted(s.ID)
			}
		}
	}
}

func samePlan(a, b plan) bool {
	if len(a) != len(b) {
		return false
	}
	for name, sp := range a {
		if b[name] != sp {
			return false
		}
	}
	return true
}

// ensureHosted returns the hosted shard and starts hosting it if necessary. The caller holds mu.
func (h *Host) ensureHosted(id shard.ID) *hostedShard {
	if s := h.shards[id]; s != nil {
		return s
	}
	ctx, cancel := context.WithCancel(h.ctx)
	s := &hostedShard{
		id:       id,
		epoch:    uint64(time.Now().UnixMilli()),
		runner:   placer.NewRunner(h.opts.NewPolicy(id.Service)),
		cancel:   cancel,
		gens:     make(map[ids.Generation]*hostedGen),
		free:     make(map[string]int),
		leaving:  make(map[string]bool),
		reported: make(map[string]bool),
		hostedAt: time.Now(),
		lastUsed: time.Now(),
		settling: true,
	}
	s.setPolled = h.opts.Poll(ctx, id.Service, feed{Runner: s.runner, shard: s})
	h.shards[id] = s
	s.runner.SetTick(h.tick)
	h.configure(s)
	go s.runner.Run(ctx, h.opts.Tick)
	time.AfterFunc(h.opts.SettleDelay, s.settle)
	return s
}

// configure applies the targets, policies and power limit of the current plan to a shard.
func (h *Host) configure(s *hostedShard) {
	if sp := h.plan[s.id.Service]; sp != nil && sp.Policies != nil {
		s.runner.SetPolicy(sp.Policies)
	}
	var names []string
	if sh := h.plan.shard(s.id); sh != nil {
		names = sh.Targets
	}
	s.runner.SetTargets(h.plan.specsOf(s.id))
	s.setKnownTargets(names)
	s.setPolled(names)
	h.applyPower(s)
}

// findOrHost returns a hosted shard and starts hosting it if the plan contains it; otherwise nil.
func (h *Host) findOrHost(id shard.ID) *hostedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.shards[id]; s != nil {
		return s
	}
	if h.plan.shard(id) == nil {
		return nil
	}
	return h.ensureHosted(id)
}

// lookup returns a hosted shard, or nil.
func (h *Host) lookup(id shard.ID) *hostedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[id]
}

// hostedShards returns the hosted shards.
func (h *Host) hostedShards() []*hostedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*hostedShard, 0, len(h.shards))
	for _, s := range h.shards {
		out = append(out, s)
	}
	return out
}

// Digests summarizes the shards that this process owns, for heartbeats.
func (h *Host) Digests() []*meshpb.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*meshpb.ShardDigest, 0, len(h.owned))
	for id := range h.owned {
		out = append(out, h.shards[id].digest())
	}
	return out
}

// Serve handles one entry's stream of kind STREAM_SCHED.
func (h *Host) Serve(_ context.Context, s *mesh.Stream) {
	sess := newSession(h)
	defer sess.close()
	go sess.writeTo(s)
	for {
		var up meshpb.SchedUp
		if err := s.Read(&up); err != nil {
			return
		}
		sess.handle(&up)
	}
}
