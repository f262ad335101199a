package gatewayproc

import (
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// evacuate applies the evacuations of failure domains found in rows of the settings table. They arrive with the settings, through the
// same feed and as fast, so an instance that has any settings also has the evacuations that were in force with them.
func (p *Process) evacuate(u feed.Update) {
	now := time.Now()
	for _, row := range u.Rows {
		domain, ok := p.site.Evacuated(row)
		if !ok {
			continue
		}
		ev := log.Info()
		if p.cfg.Regions[domain] == "" {
			// Applied all the same: targets may be listed there.
			ev = log.Warn().Bool("unknown_domain", true)
		}
		switch {
		case row.Removed:
			p.fleet.EndEvacuation(now, domain)
		case u.IsNews(row):
			p.fleet.EvacuateAt(now, domain)
		default:
			p.fleet.Evacuate(domain) // it may have been stored long ago
		}
		ev.Str("event", "evacuation").Str("domain", domain).Bool("on", !row.Removed).Int64("version", row.Version).Msg("")
	}
}

// maySendDirectly reports whether this instance is among the n that may send to a just-started target without asking its owner. Lists of
// instances that differ for a moment admit one or two more.
func (p *Process) maySendDirectly(target string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := rendezvous.Hash(p.cfg.Instance)
	key := rendezvous.Hash(target)
	ownRank := rendezvous.Rank(key, self)
	higher := 0
	for name := range p.instances {
		if name != p.cfg.Instance && rendezvous.Rank(key, rendezvous.Hash(name)) > ownRank {
			higher++
		}
	}
	return higher < n
}
