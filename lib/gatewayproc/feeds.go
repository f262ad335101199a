package gatewayproc

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/listen"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/routes"
)

// linkKeepAlive is the keep-alive period of the mesh links.
const linkKeepAlive = 5 * time.Second

// linkBackoffMin and linkBackoffMax bound the pause before an unreachable instance is dialed again. The minimum is small because, when
// all instances start at once, the one being dialed may start some tens of milliseconds later.
const (
	linkBackoffMin = 40 * time.Millisecond
	linkBackoffMax = time.Second
)

// Table names in the protocol between peers.
const (
	settingsTable  = "settings"
	targetsTable   = "targets"
	instancesTable = "instances"
	refusalsTable  = "refusals"
)

// maxAge is the age of the last contact with the store at which a reader is suspected. Changes must be in force within
// two seconds; a reader's poll takes up to 0.7 s, and switching to another source some tens of milliseconds.
const maxAge = 1300 * time.Millisecond

// How long rows that a restored store lacks are retained.
const (
	// settingsRetention leaves operators time to write evacuations again, or to revoke them again.
	settingsRetention = 5 * time.Second
	// instancesRetention leaves instances time to notice that their rows are missing and to rewrite them, spread over registerSpread.
	instancesRetention = 10 * time.Second
)

func (p *Process) newReplicas() {
	p.feeds.settings = p.replica(settingsTable, p.applySettings).
		WithRetention(feed.Retention{Period: settingsRetention, WriteSeq: p.site.SettingsWriteSeq})
	p.feeds.targets = p.replica(targetsTable, p.applyTargets).
		WithRetention(feed.Retention{
			Period: fleet.OutageGrace, HiddenPeriod: p.cfg.TargetTTL + fleet.OutageGrace, WriteSeq: p.site.TargetWriteSeq,
		})
	p.feeds.instances = p.replica(instancesTable, p.applyInstances).WithRetention(feed.Retention{Period: instancesRetention})
	p.feeds.refusals = p.replica(refusalsTable, p.applyRefusals).WithRetention(feed.Retention{Period: refusalsRetention})
}

// openLinks listens for peers and serves the replicas to them.
func (p *Process) openLinks() error {
	node, err := mesh.New(mesh.Options{
		Self: mesh.Identity{Instance: p.cfg.Instance, Incarnation: p.incarnation},
		// The platform's network carries only instances, and the platform issues no certificates.
		Plaintext: true,
		// The protocols whose liveness matters have their own heartbeats.
		KeepAlive:  linkKeepAlive,
		BackoffMin: linkBackoffMin, BackoffMax: linkBackoffMax,
		Dial: p.cfg.Network.Dial,
	})
	if err != nil {
		return fmt.Errorf("gatewayproc: links: %w", err)
	}
	p.node = node
	p.syncer = feedlink.New(feedlink.Config{
		Self: p.cfg.Instance, Domain: p.cfg.Domain,
		Tables: []feedlink.Table{
			{Name: settingsTable, Source: p.site.Settings, Replica: p.feeds.settings, Options: feed.DefaultOptions, Critical: true},
			{Name: targetsTable, Source: p.site.Targets, Replica: p.feeds.targets, Options: feed.DefaultOptions, Critical: true, Partitioner: p},
			{Name: instancesTable, Source: p.site.Instances, Replica: p.feeds.instances, Options: instanceOptions},
			{Name: refusalsTable, Source: p.site.Refusals, Replica: p.feeds.refusals, Options: refusalOptions, Optional: true},
		},
		MaxAge: maxAge, Node: node, Assignment: p.assignment, OnSourceError: p.feedErrorHandler(), OnSourceChange: p.logFeedSource,
		Ranks: p.ranksOf, ApplyRanks: p.applyRanks, WriteRows: p.writeRows, OnBroadcast: p.link.ReceiveBroadcast,
	})
	feedlink.Serve(node, p.syncer)
	p.openTunnels()
	open := p.cfg.Network.Listen
	if open == nil {
		open = listen.TCP
	}
	ln, err := open(cmp.Or(p.cfg.LinkBind, p.cfg.Link))
	if err != nil {
		return fmt.Errorf("gatewayproc: links: %w", err)
	}
	go func() {
		if err := node.Serve(ln); err != nil {
			logline.Send(log.Info().Str("event", "links_closed"), err)
		}
	}()
	return nil
}

// replicas returns the replicated tables by name.
func (p *Process) replicas() map[string]*feed.Replica {
	return map[string]*feed.Replica{
		settingsTable: p.feeds.settings, targetsTable: p.feeds.targets, instancesTable: p.feeds.instances, refusalsTable: p.feeds.refusals,
	}
}

// startFeeds starts the feeds and the background work.
func (p *Process) startFeeds(ctx context.Context) {
	if !p.cfg.FirstStart {
		p.goWork(func() { p.join(ctx) })
	}
	p.goWork(func() { p.syncer.Run(ctx) })
	p.goWork(func() { p.keepRegistered(ctx) })
	p.goWork(func() { p.link.Run(ctx) })
	p.goWork(func() { p.keepSoftware(ctx) })
	p.goWork(func() { p.recorder.Run(ctx) })
	p.goWork(func() { p.broadcastBlames(ctx) })
	p.goWork(func() { p.exchangeSegments(ctx) })
	p.goWork(func() { p.gate.Segments().JudgeUntilDone(ctx) })
	p.goWork(func() { p.keepRefusals(ctx) })
	p.goWork(func() { p.runHousekeeping(ctx) })
	p.goWork(func() { p.watchEngines(ctx) })
}

func (p *Process) applySettings(u feed.Update) {
	if before := p.era.Swap(u.Era); before != 0 && before != u.Era {
		p.recorder.StoreAgain()
		p.storeStreams()
	}
	p.evacuate(u)
	rev, err := p.site.DecodeSettings(u.Rows)
	if err != nil {
		logline.Send(log.Error().Str("event", "settings_refused"), err)
		return
	}
	if rev == nil {
		return
	}
	table, err := routes.NewTable(rev)
	if err != nil {
		logline.Send(log.Error().Str("event", "settings_refused").Int64("settings", rev.Version), err)
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
			spec.TokensPerEvent = max(1, s.Engine.TokensPerEvent)
			spec.GapObjective = table.TightestGap(s.Name)
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
		p.setPartial(u.Partial)
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
			p.refused.markReadable(row.Key)
			continue
		}
		info, err := p.site.DecodeTarget(row)
		if err != nil {
			unreadable = append(unreadable, row.Key)
			if p.refused.markUnreadable(row.Key) {
				logline.Send(log.Error().Str("event", "target_refused").Str("target", row.Key), err)
			}
			continue
		}
		p.refused.markReadable(row.Key)
		info.Written = feed.PositionOf(u.Era, row.Version)
		entries = append(entries, info)
	}
	p.fleet.MarkUnreadable(unreadable)
	p.observeSoftware(entries)
	now := time.Now()
	p.fleet.SetPosition(u.Position())
	p.onFleetChange(p.fleet.PresumeGone(now, lapsed))
	p.onFleetChange(p.fleet.Apply(now, entries, removed, u.Outage))
	p.onFleetChange(p.fleet.Drop(now, u.Dropped))
	p.mu.Lock()
	p.targetsRead = true
	p.mu.Unlock()
}

// onFleetChange reacts to a change of the list of targets.
func (p *Process) onFleetChange(ch fleet.Change) {
	logTargets(log.InfoLevel, "target_added", ch.Added)
	logTargets(log.WarnLevel, "target_restarted", ch.Restarted)
	p.logLeaving(ch.Leaving)
	logTargets(log.WarnLevel, "target_stays_out", ch.StaysOut)
	for _, t := range ch.Restarted {
		p.gate.TargetRestarted(t)
	}
	p.link.NotifyRestarted(ch.Restarted)
	p.updatePartition(ch)
	if len(ch.Leaving) > 0 {
		p.link.PlanLeaving(ch.Leaving)
		p.gate.MoveRuns(ch.Leaving)
	}
}

// runHousekeeping runs the periodic housekeeping.
func (p *Process) runHousekeeping(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.onFleetChange(p.fleet.Tick(now))
			p.site.Pool.CloseExpired(now)
			p.dialer.Prune(now)
			if p.fleet.HasMissing() {
				t.Reset(tickInterval)
			} else {
				t.Reset(tickIdleInterval)
			}
		}
	}
}

// goWork runs f in a goroutine that is counted in p.work.
func (p *Process) goWork(f func()) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer p.logPanic()
		f()
	}()
}
