package control

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platformapi"
)

var errNoSettings = errors.New("no settings yet")

// Source returns the functions that answer operators' requests.
func (p *Process) Source() opsapi.Source {
	return opsapi.Source{
		Status:  p.Status,
		Targets: p.Targets,
		Queues:  p.Queues,
		Drain:   p.Drain,
		Ready:   p.ready,
	}
}

func (p *Process) ready() error {
	if p.Snapshot() == nil {
		return errNoSettings
	}
	return nil
}

// Status returns this process's view for operators.
func (p *Process) Status() opsapi.Status {
	v := p.state.snapshot()
	st := opsapi.Status{
		Instance:         p.opts.Instance,
		Role:             opsapi.RoleControl,
		Incarnation:      p.opts.Incarnation,
		FailureDomain:    p.opts.FailureDomain,
		Version:          p.opts.Version,
		SettingsRevision: p.sync.Status().InForce,
		Streams:          int(v.entry.GetStreams()),
		Queued:           int(v.entry.GetQueued()),
		Stopping:         v.entry.GetStopping(),
		Store:            upOrDown(p.store.Up()),
		Link:             upOrDown(p.link.Connected()),
		Members:          memberList(v),
	}
	for _, h := range v.leases {
		if !h.Valid() {
			continue // the holder was paused past the lease's end: it no longer acts, and another may show the same lease
		}
		st.Leases = append(st.Leases, opsapi.Lease{Name: h.Name(), Fence: h.Fence(), LeftMS: h.Remaining().Milliseconds()})
	}
	st.Power = powerShares(v, time.Now())
	slices.SortFunc(st.Leases, func(a, b opsapi.Lease) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

func powerShares(v stateView, now time.Time) []opsapi.Power {
	var out []opsapi.Power
	for _, s := range v.shares {
		out = append(out, opsapi.Power{
			Service:       s.GetService(),
			Shard:         s.GetShard(),
			Watts:         s.GetWatts(),
			FallbackWatts: s.GetFallbackWatts(),
			LeftMS:        max(0, s.until.Sub(now).Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b opsapi.Power) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return out
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

// memberList returns the entry's view, which includes heartbeats, or the platform's list if the entry has not reported yet.
func memberList(v stateView) []opsapi.Member {
	var out []opsapi.Member
	for _, m := range v.entry.GetMembers() {
		out = append(out, opsapi.Member{
			Instance:      m.GetInstance(),
			Incarnation:   m.GetIncarnation(),
			FailureDomain: m.GetFailureDomain(),
			State:         stateName(m.GetState()),
			Addr:          m.GetMeshAddr(),
		})
	}
	if out != nil {
		return out
	}
	for _, in := range v.instances {
		out = append(out, memberOf(in))
	}
	return out
}

func memberOf(in platformapi.Instance) opsapi.Member {
	return opsapi.Member{
		Instance:      in.ID,
		Incarnation:   in.Incarnation,
		FailureDomain: in.FailureDomain,
		State:         in.State,
		Addr:          in.MeshAddr,
	}
}

func stateName(s meshpb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_"))
}

// Targets lists every target of the settings in force with its last report.
func (p *Process) Targets() []opsapi.Target {
	v := p.state.snapshot()
	now := time.Now()
	return opsapi.TargetsOf(p.Snapshot(), opsapi.TargetView{
		Report: func(name string) (*meshpb.TargetReport, time.Duration) {
			r := v.reports[name]
			return r.TargetReport, now.Sub(r.takenAt)
		},
		Draining: p.state.draining,
	})
}

// Queues lists the shards that the entry owns.
func (p *Process) Queues() []opsapi.Queue {
	return opsapi.QueuesOf(p.state.snapshot().entry.GetShards())
}
