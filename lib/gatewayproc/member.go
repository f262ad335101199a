package gatewayproc

import (
	"context"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/owner"
)

// Member is an instance that takes part in the site and serves no callers, for measurements of what instances cost each other.
type Member struct{ p *Process }

// Join starts a Member, which works until ctx is done.
func Join(ctx context.Context, cfg Config, site Site) (*Member, error) {
	p, err := newProcess(cfg, site)
	if err != nil {
		return nil, err
	}
	p.follow(ctx)
	return &Member{p}, nil
}

// Close ends the links of a Member whose context is done, and waits for its work to end.
func (m *Member) Close() {
	m.p.node.Close()
	m.p.work.Wait()
}

// Known is what a Member knows.
type Known struct {
	Settings     int64 // version in force; 0: none
	Targets      int   // rows held
	Instances    int
	Partial      bool // it holds a part of the targets
	Role         feedlink.Role
	OwnedEngines int // engines that it decides for
}

// Known tells what the Member knows now.
func (m *Member) Known() Known {
	return Known{
		Settings: m.p.version(), Targets: m.p.feeds.targets.Len(), Instances: m.p.feeds.instances.Len(), Partial: m.p.feeds.targets.Partial(),
		Role: m.p.place().Role, OwnedEngines: len(m.p.link.OwnedEngines()),
	}
}

// Accepts reports whether a target takes requests, as far as the Member knows; one that it does not hold takes none of its own choice.
func (m *Member) Accepts(target string) bool { return !m.p.fleet.IsLeaving(target) }

// Place asks for an engine, as for a stream.
func (m *Member) Place(ctx context.Context, a owner.PlaceRequest) (owner.Answer, error) {
	return m.p.link.Place(ctx, a)
}
