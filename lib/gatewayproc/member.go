package gatewayproc

import (
	"context"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/gateway"
	"anvilwick.example/anvilwick/lib/owner"
)

// Member is an instance that takes part in the site without serving callers, to measure the traffic between instances.
type Member struct{ p *Process }

// Join starts a Member, which works until ctx is done.
func Join(ctx context.Context, cfg Config, site Site) (*Member, error) {
	p, err := newProcess(cfg, site)
	if err != nil {
		return nil, err
	}
	p.startFeeds(ctx)
	return &Member{p}, nil
}

// Close closes the links of a Member whose context is done and waits for its goroutines.
func (m *Member) Close() {
	m.p.node.Close()
	m.p.work.Wait()
}

// Known is a snapshot of a Member's state.
type Known struct {
	Settings     int64 // version in force; 0: none
	Targets      int   // rows held
	Instances    int
	Partial      bool // it holds a subset of the targets
	Role         feedlink.Role
	OwnedEngines int // engines in the shards that it owns
}

// Known returns the Member's current state.
func (m *Member) Known() Known {
	return Known{
		Settings: m.p.version(), Targets: m.p.feeds.targets.Len(), Instances: m.p.feeds.instances.Len(), Partial: m.p.feeds.targets.Partial(),
		Role: m.p.assignment().Role, OwnedEngines: len(m.p.link.OwnedEngines()),
	}
}

// Accepts reports whether a target accepts requests, as far as the Member knows. It never sends to targets that it does not hold by itself.
func (m *Member) Accepts(target string) bool { return !m.p.fleet.IsLeaving(target) }

// RecordStream records the version that begins a stream.
func (m *Member) RecordStream(s gateway.StreamStart) { streams{m.p}.RecordStream(s) }

// Place requests a placement on an engine, as for a stream.
func (m *Member) Place(ctx context.Context, a owner.PlaceRequest) (owner.Answer, error) {
	return m.p.link.Place(ctx, a)
}
