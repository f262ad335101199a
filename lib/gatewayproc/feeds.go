package gatewayproc

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/routes"
)

// follow starts the feeds and the housekeeping.
func (p *Process) follow(ctx context.Context) {
	p.start(func() { feed.New(p.site.Settings, feed.DefaultOptions, p.applySettings, lost("settings")).Run(ctx) })
	p.start(func() { feed.New(p.site.Targets, feed.DefaultOptions, p.applyTargets, lost("targets")).Run(ctx) })
	p.start(func() { feed.New(p.site.Instances, instanceOptions, p.applyInstances, lost("instances")).Run(ctx) })
	p.start(func() { p.register(ctx) })
	p.start(func() { p.news.Run(ctx) })
	p.start(func() { p.tick(ctx) })
}

func (p *Process) start(f func()) {
	p.feeds.Add(1)
	go func() {
		defer p.feeds.Done()
		f()
	}()
}

// lost logs the failures of a feed.
func lost(name string) func(error) {
	return func(err error) { logline.Cause(log.Warn().Str("event", "feed_failed").Str("feed", name), err) }
}

func (p *Process) applySettings(u feed.Update) {
	logRegained("settings", u)
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
	table.Services(func(s *routes.Service) {
		spec := fleet.Spec{ConnCap: s.MaxConns}
		if s.Engine != nil {
			spec.KVTokens = s.Engine.KVTokens
		}
		specs[s.Name] = spec
	})
	p.fleet.SetSpecs(specs)
	log.Info().Str("event", "settings").Int64("settings", rev.Version).Int("routes", len(rev.Routes)).Msg("")
	p.knownOnce.Do(func() { close(p.known) })
}

func (p *Process) applyTargets(u feed.Update) {
	logRegained("targets", u)
	var entries []fleet.Info
	var removed []string
	for _, row := range u.Rows {
		if row.Removed {
			removed = append(removed, row.Key)
			continue
		}
		info, err := p.site.DecodeTarget(row)
		if err != nil {
			logline.Cause(log.Error().Str("event", "target_refused").Str("target", row.Key), err)
			continue
		}
		entries = append(entries, info)
	}
	if u.Whole {
		p.changed(p.fleet.ApplyWhole(time.Now(), entries, u.Silent))
	} else {
		p.changed(p.fleet.Apply(time.Now(), entries, removed, u.Silent))
	}
	p.mu.Lock()
	p.listed = true
	p.mu.Unlock()
}

func logRegained(name string, u feed.Update) {
	if u.Silent > 0 {
		log.Info().Str("event", "feed_regained").Str("feed", name).Int64("silent_ms", u.Silent.Milliseconds()).Msg("")
	}
}

// changed acts on what the list shows.
func (p *Process) changed(ch fleet.Change) {
	for _, t := range ch.Added {
		log.Info().Str("event", "target_added").Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Msg("")
	}
	for _, t := range ch.Leaving {
		log.Info().Str("event", "target_leaving").Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Msg("")
		p.gate.Evacuate(t, p.peerRuns(t.ID))
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
		}
	}
}
