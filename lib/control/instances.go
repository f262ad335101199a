package control

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// watchInstances polls the platform's instance list and sends each change to the entry, which joins it with
// heartbeats. A list that can't be read changes nothing.
func (p *Process) watchInstances(ctx context.Context) {
	var last []platformapi.Instance
	seq := uint64(0)
	interval := func() time.Duration { return p.pollEvery(p.opts.InstancePoll, instanceShare) }
	poll(ctx, interval, func(ctx context.Context) error {
		list, err := p.store.Instances(ctx)
		if err != nil {
			pollFailed(ctx, "instances", err)
			return err
		}
		if seq > 0 && slices.Equal(list.Instances, last) {
			return nil
		}
		last = list.Instances
		seq++
		p.setInstances(last)
		p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_View{View: viewOf(seq, last)}})
		log.Info().Str("event", "instances_changed").Int("instances", len(last)).Int("live", live(last)).Msg("")
		return nil
	})
}

// setInstances divides what the site may use of the store over the instances of a list.
func (p *Process) setInstances(list []platformapi.Instance) {
	p.store.SetLive(live(list))
	p.sync.SetInstances(live(list))
	p.tables.setInstances(list)
}

// live counts the instances that share the store's budgets; leaving ones still use it until they are gone.
func live(list []platformapi.Instance) int { return max(1, len(list)) }

func viewOf(seq uint64, list []platformapi.Instance) *meshpb.View {
	v := &meshpb.View{Seq: seq}
	for _, in := range list {
		state := meshpb.MemberState_MEMBER_LIVE
		if in.State == platformapi.InstanceLeaving {
			state = meshpb.MemberState_MEMBER_LEAVING
		}
		v.Members = append(v.Members, &meshpb.Member{
			Instance:      in.ID,
			Incarnation:   in.Incarnation,
			State:         state,
			FailureDomain: in.FailureDomain,
			MeshAddr:      in.MeshAddr,
		})
	}
	return v
}

// pollFailed logs and counts a read that failed, unless this process is stopping.
func pollFailed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	pollErrors.Inc()
	log.Warn().Str("event", "poll_failed").Str("what", what).Err(err).Msg("")
}
