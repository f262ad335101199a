package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/enginerate"
	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// instanceOptions are the feed options of the instances table. It changes seldom, and late updates only degrade placements.
var instanceOptions = feed.Options{
	Wait: 5 * time.Second, Timeout: time.Second, Retry: 200 * time.Millisecond, RetryMax: 2 * time.Second,
	MinInterval: 500 * time.Millisecond,
}

func (p *Process) applyInstances(u feed.Update) {
	if len(u.Rows) == 0 && !u.Initial {
		return // contact without changes
	}
	p.mu.Lock()
	for _, row := range u.Rows {
		if row.Removed {
			delete(p.instances, row.Key)
			continue
		}
		in, err := p.site.DecodeInstance(row)
		if err != nil {
			logline.Send(log.Error().Str("event", "instance_refused").Str("instance", row.Key), err)
			continue
		}
		p.instances[row.Key] = in
	}
	n := max(1, len(p.instances))
	p.mu.Unlock()
	p.retryBudget.SetInstances(n)
	p.fleet.SetShare(1 / float64(n))
	log.Info().Str("event", "instances").Int("n", n).Msg("")
	list := p.listedInstances()
	place := assignByList(p.self(), list, p.cfg.Seeds)
	p.assigned.Store(&place)
	p.rankInstances(list)
}

// listedInstances returns the known instances. This one is included only while its stored row has its current addresses: otherwise
// other instances send their requests elsewhere or not at all.
func (p *Process) listedInstances() []owner.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.self()
	out := make([]owner.Instance, 0, len(p.instances))
	for name, in := range p.instances {
		if name != self.Name || in == self && !p.stopped {
			out = append(out, in)
		}
	}
	return out
}

// rankInstances recomputes the ranks of all instances after a change of their list.
func (p *Process) rankInstances(instances []owner.Instance) {
	if len(instances) == 0 {
		instances = append(instances, p.self())
	}
	if err := p.link.SetPeers(instances); err != nil {
		logline.Send(log.Error().Str("event", "instance_refused"), err)
	}
	p.shards.setInstances(instances)
	p.setTunnelPeers(instances)
	p.recorder.SetInstances(instances)
}

// ownerListTTL is the age of the list of targets from which this instance leaves decisions to candidates with a newer one: longer than it takes to
// change to another upstream, so that owners don't change each time.
const ownerListTTL = 2 * time.Second

// openOwnerLink listens for datagrams of other instances: notifications and placement requests.
func (p *Process) openOwnerLink() error {
	var conn ownerlink.PacketConn
	if listen := p.cfg.Network.Packet; listen != nil {
		var err error
		if conn, err = listen(p.cfg.Peer); err != nil {
			return err
		}
	}
	link, err := ownerlink.New(ownerlink.Config{
		Self: p.self(), Incarnation: p.incarnation, Fleet: p.fleet, Conn: conn,
		Coordinator: owner.NewCoordinator(p.cfg.Instance, p.fleet, p.gate.PrefillRates(), time.Now()),
		Gather: func(shardOf func(string) *owner.Shard) map[string]owner.Report {
			return owner.ByShard(shardOf, p.gate.Runs(), p.gate.HeldMemory())
		},
		MoveLink: p.gate.MoveLink,
		OnLeft:   func(t fleet.LeftTarget) bool { return p.applyLeaving(p.fleet.MarkLeft(time.Now(), t)) },

		OnRestarted:    func(id string, born int64) { p.onFleetChange(p.fleet.MarkRestarted(time.Now(), id, born)) },
		OnGranted:      func(t fleet.Info) { p.onFleetChange(p.fleet.Grant(time.Now(), t)) },
		HasPartialList: p.feeds.targets.Partial,
		HasOldList:     func() bool { return time.Since(p.feeds.targets.LastContact()) > ownerListTTL },
		Broadcast:      func(b []byte) { p.syncer.Broadcast(b) },
		OnBlames:       p.gate.MergeBlames,
		OnSuspected: func(target string, permille uint32) {
			log.Warn().Str("event", "target_suspected").Str("target", target).Uint32("failing_permille", permille).Msg("")
		},
		OnRateChanged: logRateChange,
		OnBadDatagram: func(cause string, err error) {
			logline.Send(log.Warn().Str("event", "bad_datagram").Str("cause", cause), err)
		},
	})
	if err != nil {
		return err
	}
	p.link = link
	p.shards = newShards(link)
	p.gate.Owners = link
	return nil
}

// applyLeaving reacts to a notice that a target is leaving, and reports whether that was not known before.
func (p *Process) applyLeaving(ch fleet.Change) bool {
	p.onFleetChange(ch)
	return len(ch.Leaving)+len(ch.Confirmed) > 0
}

// onTargetLeaving records that a target has announced its leaving in a response to this instance, and notifies the other instances: while
// the store is unavailable they have no other source.
func (p *Process) onTargetLeaving(t fleet.Info) {
	if p.applyLeaving(p.fleet.MarkLeaving(time.Now(), t.ID, t.Born)) {
		p.link.NotifyLeaving(t)
	}
}

const (
	// blamesDelay is the minimum time between two broadcasts of blames. It collects the runs of an engine that dies, which are several.
	blamesDelay = 100 * time.Millisecond
	// blamesRepeatDelay is the pause before the blames are sent a second time, in case datagrams were lost.
	blamesRepeatDelay = 300 * time.Millisecond
)

// broadcastBlames broadcasts to all instances which request contents were on targets that died.
func (p *Process) broadcastBlames(ctx context.Context) {
	var sent uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.gate.BlamesChanged():
		}
		// What peers have reported reaches all instances without this one.
		_, seq := p.gate.Blames()
		if seq == sent {
			continue
		}
		sent = seq
		for _, pause := range []time.Duration{blamesDelay, blamesRepeatDelay} {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if blames, _ := p.gate.Blames(); len(blames) > 0 {
				p.link.BroadcastBlames(&ownerpb.Blames{Blames: blames})
			}
		}
	}
}

// capacityUnit scales capacities so that those of the smallest instances are still distinct as integers.
const capacityUnit = 100

// capacity returns how much work this instance can do for others, from its link and its share of a processor.
func (p *Process) capacity() uint32 {
	return uint32(max(1, capacityUnit*p.cfg.LinkMbps*p.cfg.CPUShare))
}

// logRateChange logs that an engine's estimated event time has changed a lot.
func logRateChange(c enginerate.Change) {
	ev := log.Info().Str("event", "engine_rate").Str("target", c.Target).Str("service", c.Service)
	ev = ev.Int64("event_ms", c.Rate.EventTime.Milliseconds()).Int64("previous_ms", c.Previous.Milliseconds())
	ev.Int64("prefill_us", c.Rate.PrefillTime.Microseconds()).Float64("slowdown", c.Rate.Slowdown).Msg("")
}
