package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerlink"
)

// instanceOptions follow the instances: they change seldom, and late news of one costs only worse choices.
var instanceOptions = feed.Options{
	Wait: 5 * time.Second, Timeout: time.Second, Retry: 200 * time.Millisecond, RetryMax: 2 * time.Second,
	MinInterval: 500 * time.Millisecond,
}

func (p *Process) applyInstances(u feed.Update) {
	if len(u.Rows) == 0 && !u.Initial {
		return // it was heard again, and says nothing new
	}
	p.mu.Lock()
	for _, row := range u.Rows {
		if row.Removed {
			delete(p.instances, row.Key)
			continue
		}
		in, err := p.site.DecodeInstance(row)
		if err != nil {
			logline.Cause(log.Error().Str("event", "instance_refused").Str("instance", row.Key), err)
			continue
		}
		p.instances[row.Key] = in
	}
	n := max(1, len(p.instances))
	p.mu.Unlock()
	p.share.SetInstances(n)
	p.fleet.SetShare(1 / float64(n))
	log.Info().Str("event", "instances").Int("n", n).Msg("")
	list := p.listedInstances()
	place := placeOf(p.self(), list, p.cfg.Seeds)
	p.placed.Store(&place)
	p.rankInstances(list)
}

// listedInstances lists the instances. This one is among them only while its row says where it is: others would ask it
// nothing, or somewhere else.
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

// rankInstances works out anew what each instance ranks for.
func (p *Process) rankInstances(instances []owner.Instance) {
	if len(instances) == 0 {
		instances = append(instances, p.self())
	}
	if err := p.link.SetPeers(instances); err != nil {
		logline.Cause(log.Error().Str("event", "instance_refused"), err)
	}
	p.shards.setInstances(instances)
}

// openOwners listens for what other instances tell and ask.
func (p *Process) openOwners() error {
	var conn ownerlink.PacketConn
	if listen := p.cfg.Network.Packet; listen != nil {
		var err error
		if conn, err = listen(p.cfg.Peer); err != nil {
			return err
		}
	}
	link, err := ownerlink.New(ownerlink.Config{
		Self: p.self(), Incarnation: p.born, Fleet: p.fleet, Conn: conn,
		Coordinator: owner.NewCoordinator(p.cfg.Instance, p.fleet, p.gate.PrefillRates(), time.Now()),
		Gather: func(shardOf func(string) *owner.Shard) map[string]owner.Report {
			return owner.ByShard(shardOf, p.gate.Runs(), p.gate.HeldMemory())
		},
		MoveLink: p.gate.MoveLink,
		OnLeft:   p.left,

		OnRestarted:    func(id string, born int64) { p.changed(p.fleet.MarkRestarted(time.Now(), id, born)) },
		OnGranted:      func(t fleet.Info) { p.changed(p.fleet.Grant(time.Now(), t)) },
		HasPartialList: p.feeds.targets.Partial,
		Broadcast:      func(b []byte) { p.track.Broadcast(b) },
		OnBlames:       p.gate.MergeBlames,
		OnSuspected: func(target string, permille uint32) {
			log.Warn().Str("event", "target_suspected").Str("target", target).Uint32("failing_permille", permille).Msg("")
		},
		OnBadDatagram: func(cause string, err error) {
			logline.Cause(log.Warn().Str("event", "bad_datagram").Str("cause", cause), err)
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

// left takes in that a life of a target was seen to leave, and reports whether that is news.
func (p *Process) left(id string, born int64) bool {
	ch := p.fleet.MarkLeaving(time.Now(), id, born)
	p.changed(ch)
	return len(ch.Leaving) > 0
}

// leftByAnswer takes in that a target has said so in an answer to this instance, which others have from nobody else while the store is
// away.
func (p *Process) leftByAnswer(t fleet.Info) {
	if p.left(t.ID, t.Born) {
		p.link.NotifyLeaving(t)
	}
}

const (
	// blamesGap is the least time between two tellings of blames: an engine that dies had several runs.
	blamesGap = 100 * time.Millisecond
	// blamesAgain is when blames are told a second time, for datagrams that were lost.
	blamesAgain = 300 * time.Millisecond
)

// tellBlames tells all instances of contents that were on targets which died.
func (p *Process) tellBlames(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.gate.BlamesChanged():
		}
		for _, pause := range []time.Duration{blamesGap, blamesAgain} {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			if blames := p.gate.Blames(); len(blames) > 0 {
				p.link.BroadcastBlames(blames)
			}
		}
	}
}

// capacityUnit makes the smallest instances' capacity a number that still compares.
const capacityUnit = 100

// capacity is what this instance can carry for others.
func (p *Process) capacity() uint32 {
	return uint32(max(1, capacityUnit*p.cfg.LinkMbps*p.cfg.CPUShare))
}
