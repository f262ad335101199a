package control

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// watchInstances polls the platform's instance list and sends each change to the entry, which combines it with
// heartbeats. If the list can't be read, the last one stays in effect.
func (p *Process) watchInstances(ctx context.Context) {
	var last []platformapi.Instance
	seq := uint64(0)
	interval := func() time.Duration { return p.sitePollInterval(p.opts.InstancePoll, instanceShare) }
	poll(ctx, interval, func(ctx context.Context) error {
		list, err := p.store.Instances(ctx)
		if err != nil {
			reportPollError(ctx, "instances", err)
			return err
		}
		if seq > 0 && slices.Equal(list.Instances, last) {
			return nil
		}
		last = list.Instances
		seq++
		p.setInstances(last)
		p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_View{View: viewOf(seq, last)}})
		log.Info().Str("event", "instances_changed").Int("instances", len(last)).Int("live", liveCount(last)).Msg("")
		return nil
	})
}

// setInstances divides the site's store budgets among the instances of a list.
func (p *Process) setInstances(list []platformapi.Instance) {
	p.store.SetLive(liveCount(list))
	p.sync.SetInstances(liveCount(list))
	p.state.setInstances(list)
}

// liveCount counts the instances that share the store's budgets. Leaving instances use it until they are gone.
func liveCount(list []platformapi.Instance) int { return max(1, len(list)) }

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

// reportPollError logs and counts a failed read, unless this process is stopping.
func reportPollError(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	pollErrors.Inc()
	log.Warn().Str("event", "poll_failed").Str("what", what).Err(err).Msg("")
}
