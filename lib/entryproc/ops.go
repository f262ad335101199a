package entryproc

import (
	"errors"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
)

var (
	errLeaving    = errors.New("leaving")
	errNoSettings = errors.New("no settings yet")
)

// opsHandler serves operators, probes and scrapers.
func (p *Process) opsHandler(hashes []opsapi.Hash) http.Handler {
	return opsapi.Handler(hashes, opsapi.Source{
		Status:  p.status,
		Targets: p.targets,
		Queues:  p.queues,
		Ready:   p.ready,
		Metrics: p.metrics.Write,
	})
}

// ready answers readiness checks: not ready before the first settings and from the start of a planned stop.
func (p *Process) ready() error {
	switch {
	case p.server.ShuttingDown():
		return errLeaving
	case p.server.Snapshot() == nil:
		return errNoSettings
	}
	return nil
}

func (p *Process) status() opsapi.Status {
	requests, _ := p.server.Counts()
	st := opsapi.Status{
		Instance:         p.cfg.Instance,
		Role:             opsapi.RoleEntry,
		Incarnation:      p.cfg.Incarnation,
		FailureDomain:    p.cfg.Domain,
		SettingsRevision: p.server.Revision(),
		Streams:          requests,
		Stopping:         p.server.ShuttingDown(),
	}
	if p.links != nil {
		p.links.fillStatus(&st)
	}
	return st
}

// targets returns the targets as this entry uses them, with the drains of the current settings applied.
func (p *Process) targets() []opsapi.Target {
	v := opsapi.TargetView{
		Report:   func(string) (*meshpb.TargetReport, time.Duration) { return nil, 0 },
		Draining: func(string) bool { return false },
	}
	if p.links != nil {
		v.Report = p.links.control.LastReport
	}
	return opsapi.TargetsOf(p.server.Snapshot(), v)
}

// queues returns the shards that this entry owns.
func (p *Process) queues() []opsapi.Queue {
	if p.links == nil {
		return []opsapi.Queue{}
	}
	return opsapi.QueuesOf(p.links.decider.host.Digests())
}
