package replay

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// localDecider implements the strategies in which each instance decides for itself.
type localDecider struct {
	s *site
}

func (d *localDecider) engineListChanged() {}

func (d *localDecider) streamEnded(*stream, fleet.Outcome) {}

func (d *localDecider) firstEvent(*stream) {}

func (d *localDecider) event(*stream, time.Duration) {}

func (d *localDecider) decide(r *stream) bool {
	in := r.instance
	p := admit.Placer{Fleet: in.fleet, Prefill: in.prefillRates, Random: d.s.decisionRNG.Int64N, Acquire: in.fleet.Choose}
	st := d.s.admitted(r)
	if d.s.policy.Strategy == DomainBroadcast {
		st.Need.Among = d.domainEngines(in)
	}
	return d.s.apply(r, p.Step(d.s.clock(), st))
}

// domainEngines lists the engines of an instance's failure domain.
func (d *localDecider) domainEngines(in *instance) []string {
	out := []string{}
	for _, e := range d.s.engines {
		if e.Domain == in.domain {
			out = append(out, e.ID)
		}
	}
	return out
}

func (d *localDecider) streamSent(r *stream) {
	if d.s.policy.Strategy != EngineReports {
		d.sendLoads(r.instance)
	}
}

func (d *localDecider) step() {
	s := d.s
	if s.policy.Strategy == EngineReports {
		d.publishEngineReports()
		return
	}
	for _, in := range s.instances {
		if s.now >= in.nextUpdate {
			in.nextUpdate = s.now + updateInterval
			d.sendLoads(in)
		}
	}
}

func (d *localDecider) delayToPeers() time.Duration {
	if d.s.policy.SlowUpdates {
		return slowUpdateDelay
	}
	return messageDelay
}

// sendLoads sends an instance's loads to the peers that its strategy selects.
func (d *localDecider) sendLoads(in *instance) {
	loads, sizes := in.loads()
	for _, other := range d.peers(in) {
		d.s.sendMessage(d.delayToPeers(), func() { other.fleet.SetPeerLoad(d.s.clock(), in.name, loads, sizes) })
	}
}

func (d *localDecider) peers(in *instance) []*instance {
	s := d.s
	var out []*instance
	for _, other := range s.instances {
		if other != in && (s.policy.Strategy != DomainBroadcast || other.domain == in.domain) {
			out = append(out, other)
		}
	}
	if s.policy.Strategy != SampledBroadcast || len(out) <= fanout {
		return out
	}
	s.decisionRNG.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:fanout]
}

// loads returns the instance's load and the sizes of its runs by engine.
func (in *instance) loads() (map[string]fleet.Load, map[string][]fleet.Size) {
	loads, sizes := make(map[string]fleet.Load), make(map[string][]fleet.Size)
	for _, r := range in.runs {
		l := loads[r.engine.ID]
		l.Runs++
		l.Tokens += r.load.Tokens
		l.Unread += r.load.Unread
		loads[r.engine.ID] = l
		sizes[r.engine.ID] = append(sizes[r.engine.ID], r.size())
	}
	return loads, sizes
}

// publishEngineReports sends each engine's load to all instances with a delay of reportDelay. The load includes the receiver's
// own runs, which it also counts itself, so it equals the load of the others only on average.
func (d *localDecider) publishEngineReports() {
	s := d.s
	if s.now%reportDelay != 0 {
		return
	}
	for _, e := range s.engines {
		loads, sizes := map[string]fleet.Load{e.ID: {}}, make(map[string][]fleet.Size)
		for _, r := range sorted(e.runs) {
			l := loads[e.ID]
			l.Runs++
			l.Tokens += r.prompt + r.emitted
			l.Unread += r.load.Unread
			loads[e.ID] = l
			sizes[e.ID] = append(sizes[e.ID], fleet.Size{Held: r.prompt + r.emitted})
		}
		for _, in := range s.instances {
			s.sendMessage(reportDelay, func() { in.fleet.SetPeerLoad(s.clock(), e.ID, loads, sizes) })
		}
	}
}
