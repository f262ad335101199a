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

// HostOptions of a Host. Zero times take the defaults.
type HostOptions struct {
	Self       string // instance
	NewPolicy  func(service string) sched.Policy
	Poll       PollFunc
	Tick       time.Duration // of a policy; 0: placer.DefaultTick
	AliveEvery time.Duration
	Settle     time.Duration // how long a new owner listens before it grants anything queued
	Grace      time.Duration // how long state is kept for entries whose link broke, or that see another owner
}

// Host decides for the shards that this process owns, and for those that an entry takes it to own: entries whose view
// is a moment ahead or behind are served, not refused.
type Host struct {
	opts  HostOptions
	ctx   context.Context
	start time.Time

	mu     sync.Mutex
	plan   plan
	view   *member.View
	shards map[shard.ID]*hosted
	owned  map[shard.ID]bool
	power  map[string]powerShare
	tick   time.Duration // of settings; 0: opts.Tick
}

type powerShare struct {
	watts, fallback float64
	until           time.Time
}

// NewHost returns a Host without shards, that lives until ctx is done.
func NewHost(ctx context.Context, o HostOptions) *Host {
	orDefault(&o.AliveEvery, DefaultAliveEvery)
	orDefault(&o.Grace, DefaultGrace)
	orDefault(&o.Settle, DefaultSettle)
	return &Host{
		opts:   o,
		ctx:    ctx,
		start:  time.Now(),
		plan:   make(plan),
		shards: make(map[shard.ID]*hosted),
		power:  make(map[string]powerShare),
	}
}

func orDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// now is the clock of all runners of the host.
func (h *Host) now() sched.Time { return sched.Time(time.Since(h.start)) }

// update takes up a plan and a view: owned shards are hosted, others dropped once nobody asks about them.
func (h *Host) update(p plan, v *member.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := !samePlan(h.plan, p)
	if changed || v != h.view {
		h.plan, h.view = p, v
		h.hostOwned()
	}
	for id, s := range h.shards {
		if changed {
			h.configure(s)
		}
		if !h.owned[id] && s.idle(h.opts.Grace) {
			s.cancel()
			delete(h.shards, id)
		}
	}
	if changed {
		h.sharePower()
	}
}

// setTick changes the time between ticks of every shard's policy.
func (h *Host) setTick(every time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick = every
	for _, s := range h.shards {
		s.runner.SetTick(every)
	}
}

// hostOwned works out which shards are this process's own. The caller holds mu.
func (h *Host) hostOwned() {
	own := newOwners(h.plan, h.view)
	h.owned = make(map[shard.ID]bool)
	for _, sp := range h.plan {
		for _, s := range sp.shards {
			if o, ok := own.of(s.ID); ok && o.Instance == h.opts.Self {
				h.owned[s.ID] = true
				h.host(s.ID)
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

// host returns the shard, hosted from now on if it was not. The caller holds mu.
func (h *Host) host(id shard.ID) *hosted {
	if s := h.shards[id]; s != nil {
		return s
	}
	ctx, cancel := context.WithCancel(h.ctx)
	s := &hosted{
		id:       id,
		epoch:    uint64(time.Now().UnixMilli()),
		runner:   placer.NewRunner(h.opts.NewPolicy(id.Service)),
		cancel:   cancel,
		gens:     make(map[ids.Generation]*hostedGen),
		free:     make(map[string]int),
		leaving:  make(map[string]bool),
		lastUsed: time.Now(),
		settling: true,
	}
	s.targets = h.opts.Poll(ctx, id.Service, feed{Runner: s.runner, h: s})
	h.shards[id] = s
	s.runner.SetTick(h.tick)
	h.configure(s)
	h.sharePower()
	go s.runner.Run(ctx, h.opts.Tick)
	time.AfterFunc(h.opts.Settle, s.settle)
	return s
}

// configure gives a shard its targets and policies under the current plan.
func (h *Host) configure(s *hosted) {
	if sp := h.plan[s.id.Service]; sp != nil && sp.Policies != nil {
		s.runner.SetPolicy(sp.Policies)
	}
	var names []string
	if sh := h.plan.shard(s.id); sh != nil {
		names = sh.Targets
	}
	s.runner.SetTargets(h.plan.specsOf(s.id))
	s.knows(names)
	s.targets(names)
}

// find returns a hosted shard, hosting it at need when the plan knows it.
func (h *Host) find(id shard.ID) *hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.shards[id]; s != nil {
		return s
	}
	if h.plan.shard(id) == nil {
		return nil
	}
	return h.host(id)
}

// lookup returns a shard only when it is hosted.
func (h *Host) lookup(id shard.ID) *hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[id]
}

// all returns the hosted shards.
func (h *Host) all() []*hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*hosted, 0, len(h.shards))
	for _, s := range h.shards {
		out = append(out, s)
	}
	return out
}

// Digests sums up the shards that this process owns, for heartbeats.
func (h *Host) Digests() []*meshpb.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*meshpb.ShardDigest, 0, len(h.owned))
	for id := range h.owned {
		out = append(out, h.shards[id].digest())
	}
	return out
}

// SetPower sets this instance's share of watts for a service. It is divided over the hosted shards of the service by
// their count of targets, and falls to fallback watts when validFor has passed.
func (h *Host) SetPower(service string, watts float64, validFor time.Duration, fallback float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.power[service] = powerShare{watts: watts, fallback: fallback, until: time.Now().Add(validFor)}
	h.sharePower()
}

// sharePower divides the shares anew. The caller holds mu.
func (h *Host) sharePower() {
	count := make(map[string]int)
	for id := range h.shards {
		count[id.Service] += len(h.plan.specsOf(id))
	}
	for id, s := range h.shards {
		p, ok := h.power[id.Service]
		if !ok || count[id.Service] == 0 {
			continue
		}
		part := float64(len(h.plan.specsOf(id))) / float64(count[id.Service])
		s.runner.SetPower(p.watts*part, time.Until(p.until), p.fallback*part)
	}
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
