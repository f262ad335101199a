package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/moveplan"
	"anvilwick.example/anvilwick/lib/newspb"
	"anvilwick.example/anvilwick/lib/peernews"
)

// instanceOptions follow the instances: they change seldom, and late news of one costs only worse choices.
var instanceOptions = feed.Options{Wait: 5 * time.Second, Timeout: time.Second, Retry: 200 * time.Millisecond, RetryMax: 2 * time.Second, Gap: 500 * time.Millisecond}

// instanceMaxAge is the age at which a reader of the instances is doubted.
const instanceMaxAge = 12 * time.Second

// registerTimeout bounds one try to write this instance's row.
const registerTimeout = 800 * time.Millisecond

// register writes this instance's row until the store has taken it.
func (p *Process) register(ctx context.Context) {
	for {
		try, cancel := context.WithTimeout(ctx, registerTimeout)
		err := p.site.Register(try, peernews.Peer{Instance: p.cfg.Instance, Addr: p.cfg.Peer, Link: p.cfg.Link})
		cancel()
		if err == nil {
			return
		}
		logline.Cause(log.Warn().Str("event", "register_failed"), err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(instanceOptions.RetryMax):
		}
	}
}

// unregister takes the row away. One that stays costs peers a datagram a period.
func (p *Process) unregister(ctx context.Context) {
	try, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := p.site.Unregister(try, p.cfg.Instance); err != nil {
		logline.Cause(log.Warn().Str("event", "unregister_failed"), err)
	}
}

func (p *Process) applyInstances(u feed.Update) {
	p.mu.Lock()
	for _, row := range u.Rows {
		if row.Removed {
			delete(p.peers, row.Key)
			continue
		}
		peer, err := p.site.DecodeInstance(row)
		if err != nil {
			logline.Cause(log.Error().Str("event", "instance_refused").Str("instance", row.Key), err)
			continue
		}
		p.peers[row.Key] = peer
	}
	peers := make([]peernews.Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		peers = append(peers, peer)
	}
	p.mu.Unlock()
	if err := p.news.SetPeers(peers); err != nil {
		logline.Cause(log.Error().Str("event", "instance_refused"), err)
	}
	n := max(1, len(peers))
	p.share.SetInstances(n)
	p.fleet.SetShare(1 / float64(n))
	log.Info().Str("event", "instances").Int("n", n).Msg("")
}

// tellLeaving is how long peers are told of a target that leaves: until a lost datagram has been made up for.
const tellLeaving = 2 * time.Second

// gather makes this instance's news.
func (p *Process) gather() *newspb.News {
	runs, calls, held := p.gate.News()
	p.mu.Lock()
	leaving := p.stopped
	p.mu.Unlock()
	return &newspb.News{
		Instance: p.cfg.Instance, Incarnation: p.born, FailureDomain: p.cfg.Domain, Leaving: leaving,
		Settings: p.version(), Runs: runs, Calls: calls, Held: held, Capacity: p.capacity(),
		Blames:   p.gate.Blames(),
		ListLost: p.listLost(),
		Left:     p.left(),
	}
}

// left lists the targets that have left lately.
func (p *Process) left() []*newspb.Left {
	var out []*newspb.Left
	for _, l := range p.fleet.LeftSince(time.Now().Add(-tellLeaving)) {
		out = append(out, &newspb.Left{Target: l.ID, Born: l.Born})
	}
	return out
}

// added tells peers of what this instance has just sent to an engine.
func (p *Process) added(n *newspb.News) {
	n.Instance, n.Incarnation = p.cfg.Instance, p.born
	p.news.Add(n)
}

// heard takes in a peer's news.
func (p *Process) heard(n *newspb.News) {
	loads := make(map[string]fleet.Load)
	sizes := make(map[string][]fleet.Size)
	now := time.Now()
	for _, r := range n.Runs {
		if r.Unread == 0 {
			p.fleet.Heard(now.Add(-time.Duration(r.SilentMs)*time.Millisecond), r.Target)
		}
		l := loads[r.Target]
		l.Runs++
		l.Tokens += int(r.Tokens + r.Expected)
		l.Unread += int(r.Unread)
		loads[r.Target] = l
		sizes[r.Target] = append(sizes[r.Target], fleet.Size{Now: int(r.Tokens), Left: int(r.Left)})
	}
	for _, c := range n.Calls {
		l := loads[c.Target]
		l.Runs += int(c.Open)
		loads[c.Target] = l
	}
	p.gate.TakeBlames(n.Blames)
	for _, h := range n.Held {
		l := loads[h.Target]
		l.Tokens += int(h.Tokens)
		loads[h.Target] = l
		sizes[h.Target] = append(sizes[h.Target], fleet.Size{Now: int(h.Tokens)})
	}
	for _, l := range n.Left {
		p.changed(p.fleet.Leave(now, l.Target, l.Born))
	}
	p.fleet.Tell(now, n.Instance, loads, sizes)
}

// peerRuns lists the runs that peers have on targets that leave, and that are to be moved.
func (p *Process) peerRuns(leaving []fleet.Info) []moveplan.Run {
	ids := make(map[string]bool)
	for _, t := range leaving {
		ids[t.ID] = true
	}
	var out []moveplan.Run
	for _, n := range p.news.Latest(time.Now()) {
		for _, r := range n.Runs {
			if ids[r.Target] && !r.Stays {
				out = append(out, moveplan.Run{
					ID: r.Id, From: r.Target, Tokens: int(r.Tokens), Expected: int(r.Expected), Unread: r.Unread > 0,
				})
			}
		}
	}
	return out
}

// capacityUnit makes the smallest instances' capacity a number that still compares.
const capacityUnit = 100

// capacity is what this instance can carry for others.
func (p *Process) capacity() uint32 {
	return uint32(max(1, capacityUnit*p.cfg.LinkMbps*p.cfg.CPUShare))
}
