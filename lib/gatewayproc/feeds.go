package gatewayproc

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/routes"
)

// linkKeepAlive is the period of the links' own pings.
const linkKeepAlive = 5 * time.Second

// linkBackoffMin and linkBackoffMax bound the pause before an instance is dialed again that did not answer: when all start at once, the
// one that another waits for may start some tens of milliseconds later.
const (
	linkBackoffMin = 40 * time.Millisecond
	linkBackoffMax = time.Second
)

// Names of the tables towards peers.
const (
	settingsTable  = "settings"
	targetsTable   = "targets"
	instancesTable = "instances"
)

// maxAge is the age of the last contact with the store at which a reader is doubted. Changes are to be in force within
// two seconds, a reader's poll takes up to 0.7 s, and the way around it some tens of milliseconds.
const maxAge = 1300 * time.Millisecond

// How long what a copy lacks is held on to, where the store has come back from one.
const (
	// keepSettings is for operators to write evacuations again, or to take them back again.
	keepSettings = 5 * time.Second
	// keepInstances is for instances to find that their rows are missing, and to write them over registerSpread.
	keepInstances = 10 * time.Second
)

func (p *Process) newReplicas() {
	p.feeds.settings = p.replica(settingsTable, p.applySettings).WithRetention(feed.Retention{Period: keepSettings, WriteSeq: p.site.SettingsWriteSeq})
	p.feeds.targets = p.replica(targetsTable, p.applyTargets).WithRetention(feed.Retention{Period: fleet.OutageGrace, WriteSeq: p.site.TargetWriteSeq})
	p.feeds.instances = p.replica(instancesTable, p.applyInstances).WithRetention(feed.Retention{Period: keepInstances})
}

// openLinks listens for peers and passes the replicas on to them.
func (p *Process) openLinks() error {
	node, err := mesh.New(mesh.Options{
		Self: mesh.Identity{Instance: p.cfg.Instance, Incarnation: p.born},
		// The platform's network is the instances' own, and it hands out no certificates.
		Plaintext: true,
		// What goes over a link that matters has beats of its own.
		KeepAlive:  linkKeepAlive,
		BackoffMin: linkBackoffMin, BackoffMax: linkBackoffMax,
		Dial: p.cfg.Network.Dial,
	})
	if err != nil {
		return fmt.Errorf("gatewayproc: links: %w", err)
	}
	p.node = node
	p.track = feedlink.New(feedlink.Config{
		Self: p.cfg.Instance, Domain: p.cfg.Domain,
		Tables: []feedlink.Table{
			{Name: settingsTable, Source: p.site.Settings, Replica: p.feeds.settings, Options: feed.DefaultOptions, Critical: true},
			{Name: targetsTable, Source: p.site.Targets, Replica: p.feeds.targets, Options: feed.DefaultOptions, Critical: true, Partitioner: p},
			{Name: instancesTable, Source: p.site.Instances, Replica: p.feeds.instances, Options: instanceOptions},
		},
		MaxAge: maxAge, Node: node, Assignment: p.place, OnSourceError: p.feedFailed(), OnSourceChange: p.feedFrom,
		Ranks: p.ranksOf, ApplyRanks: p.takeRanks, WriteRows: p.writeRows, OnBroadcast: p.link.ReceiveBroadcast,
	})
	feedlink.Serve(node, p.track)
	listen := p.cfg.Network.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	ln, err := listen(cmp.Or(p.cfg.LinkBind, p.cfg.Link))
	if err != nil {
		return fmt.Errorf("gatewayproc: links: %w", err)
	}
	go func() {
		if err := node.Serve(ln); err != nil {
			logline.Cause(log.Info().Str("event", "links_closed"), err)
		}
	}()
	return nil
}

// replicas are the followed tables by name.
func (p *Process) replicas() map[string]*feed.Replica {
	return map[string]*feed.Replica{
		settingsTable: p.feeds.settings, targetsTable: p.feeds.targets, instancesTable: p.feeds.instances,
	}
}

// follow starts the feeds and the housekeeping.
func (p *Process) follow(ctx context.Context) {
	if !p.cfg.FirstStart {
		p.start(func() { p.join(ctx) })
	}
	p.start(func() { p.track.Run(ctx) })
	p.start(func() { p.beListed(ctx) })
	p.start(func() { p.link.Run(ctx) })
	p.start(func() { p.tellBlames(ctx) })
	p.start(func() { p.tick(ctx) })
	p.start(func() { p.watchEngines(ctx) })
}

func (p *Process) applySettings(u feed.Update) {
	p.era.Store(u.Era)
	p.evacuate(u.Rows)
	rev, err := p.site.DecodeSettings(u.Rows)
	if err != nil {
		logline.Cause(log.Error().Str("event", "settings_refused"), err)
		return
	}
	if rev == nil {
		return
	}
	table, err := routes.NewTable(rev)
	if err != nil {
		logline.Cause(log.Error().Str("event", "settings_refused").Int64("settings", rev.Version), err)
		return
	}
	if !p.gate.Apply(table) {
		return
	}
	specs := make(map[string]fleet.Spec)
	table.EachService(func(s *routes.Service) {
		spec := fleet.Spec{ConnCap: s.MaxConns, ColdFor: s.WarmupTime, ColdRate: s.WarmupRate}
		if s.Engine != nil {
			spec.KVTokens = s.Engine.KVTokens
		}
		specs[s.Name] = spec
	})
	p.fleet.SetSpecs(specs)
	p.setServices(specs)
	p.gate.ExportBudget(table)
	log.Info().Str("event", "settings").Int64("settings", rev.Version).Int("routes", len(rev.Routes)).Msg("")
}

func (p *Process) applyTargets(u feed.Update) {
	if u.Initial || u.Snapshot {
		p.holdsPart(u.Partial)
	}
	var entries []fleet.Info
	var removed, lapsed, unreadable []string
	for _, row := range u.Rows {
		if row.Removed && row.LostInRestore {
			lapsed = append(lapsed, row.Key)
			continue
		}
		if row.Removed {
			removed = append(removed, row.Key)
			p.refused.clear(row.Key)
			continue
		}
		info, err := p.site.DecodeTarget(row)
		if err != nil {
			unreadable = append(unreadable, row.Key)
			if p.refused.first(row.Key) {
				logline.Cause(log.Error().Str("event", "target_refused").Str("target", row.Key), err)
			}
			continue
		}
		p.refused.clear(row.Key)
		entries = append(entries, info)
	}
	p.fleet.MarkUnreadable(unreadable)
	now := time.Now()
	p.changed(p.fleet.PresumeGone(now, lapsed))
	p.changed(p.fleet.Apply(now, entries, removed, u.Outage))
	p.changed(p.fleet.Drop(now, u.Dropped))
	p.mu.Lock()
	p.listed = true
	p.mu.Unlock()
}

// changed acts on what the list shows.
func (p *Process) changed(ch fleet.Change) {
	logTargets(log.InfoLevel, "target_added", ch.Added)
	logTargets(log.WarnLevel, "target_restarted", ch.Restarted)
	logTargets(log.InfoLevel, "target_leaving", ch.Leaving)
	for _, t := range ch.Restarted {
		p.gate.TargetRestarted(t)
	}
	p.link.NotifyRestarted(ch.Restarted)
	p.divide(ch)
	if len(ch.Leaving) > 0 {
		p.link.PlanLeaving(ch.Leaving)
		p.gate.MoveRuns(ch.Leaving)
	}
}

// tick does the housekeeping.
func (p *Process) tick(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.changed(p.fleet.Tick(now))
			p.site.Pool.Sweep(now)
			if p.fleet.HasMissing() {
				t.Reset(tickEvery)
			} else {
				t.Reset(tickIdle)
			}
		}
	}
}

// start runs f beside the others.
func (p *Process) start(f func()) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		f()
	}()
}
