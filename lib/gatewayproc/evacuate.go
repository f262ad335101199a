package gatewayproc

import (
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/rendezvous"
)

// evacuate puts in force what rows of the table of settings say of failure domains. They come with the settings, by the same way
// and as fast, so an instance that knows any settings knows the evacuations that held with them.
func (p *Process) evacuate(rows []feed.Row) {
	for _, row := range rows {
		domain, ok := p.site.Evacuated(row)
		if !ok {
			continue
		}
		at := log.Info()
		if p.cfg.Regions[domain] == "" {
			// It is kept to all the same: targets may be listed there.
			at = log.Warn().Bool("unknown_domain", true)
		}
		if row.Removed {
			p.fleet.EndEvacuation(time.Now(), domain)
		} else {
			p.fleet.Evacuate(domain)
		}
		at.Str("event", "evacuation").Str("domain", domain).Bool("on", !row.Removed).Int64("version", row.Version).Msg("")
	}
}

// maySendAlone reports whether this instance is among the n that send to a target by their own choice while it has just started.
// Lists of instances that differ for a moment add one or two.
func (p *Process) maySendAlone(target string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := rendezvous.Hash(p.cfg.Instance)
	key := rendezvous.Hash(target)
	own := rendezvous.Rank(key, self)
	before := 0
	for name := range p.instances {
		if name != p.cfg.Instance && rendezvous.Rank(key, rendezvous.Hash(name)) > own {
			before++
		}
	}
	return before < n
}
