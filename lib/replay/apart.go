package replay

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
)

// apart is the ways in which each instance decides for itself.
type apart struct {
	s *site
}

func (a *apart) listed() {}

func (a *apart) ended(*stream, fleet.Outcome) {}

func (a *apart) read(*stream) {}

func (a *apart) decide(r *stream) bool {
	in := r.inst
	p := admit.Placer{Fleet: in.fleet, Prefill: in.reading, Random: a.s.chance.Int64N, Acquire: in.fleet.Choose}
	st := r.admitted()
	if a.s.pol.Way == Slices {
		st.Need.Among = a.slice(in)
	}
	return a.s.settle(r, p.Step(a.s.clock(), st))
}

// slice lists the engines of an instance's failure domain.
func (a *apart) slice(in *instance) []string {
	out := []string{}
	for _, e := range a.s.engines {
		if e.Domain == in.domain {
			out = append(out, e.ID)
		}
	}
	return out
}

func (a *apart) sent(r *stream) {
	if a.s.pol.Way != Reports {
		a.tell(r.inst)
	}
}

func (a *apart) step() {
	s := a.s
	if s.pol.Way == Reports {
		a.report()
		return
	}
	for _, in := range s.instances {
		if s.now >= in.changed {
			in.changed = s.now + newsEvery
			a.tell(in)
		}
	}
}

func (a *apart) delay() time.Duration {
	if a.s.pol.SlowNews {
		return lateNews
	}
	return hop
}

// tell sends what an instance has to the others that its way tells.
func (a *apart) tell(in *instance) {
	loads, sizes := in.told()
	for _, other := range a.listeners(in) {
		a.s.tell(a.delay(), func() { other.fleet.SetPeerLoad(a.s.clock(), in.name, loads, sizes) })
	}
}

func (a *apart) listeners(in *instance) []*instance {
	s := a.s
	var out []*instance
	for _, other := range s.instances {
		if other != in && (s.pol.Way != Slices || other.domain == in.domain) {
			out = append(out, other)
		}
	}
	if s.pol.Way != Sampled || len(out) <= fanout {
		return out
	}
	s.chance.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:fanout]
}

// told is what an instance has on each engine.
func (in *instance) told() (map[string]fleet.Load, map[string][]fleet.Size) {
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

// report lets each engine tell all instances what it holds, as it was reportsLate ago. An instance counts its own runs
// itself, so what is told is the others' only in the mean.
func (a *apart) report() {
	s := a.s
	if s.now%reportsLate != 0 {
		return
	}
	for _, e := range s.engines {
		loads, sizes := map[string]fleet.Load{e.ID: {}}, make(map[string][]fleet.Size)
		for _, r := range sorted(e.runs) {
			l := loads[e.ID]
			l.Runs++
			l.Tokens += r.prompt + r.made
			l.Unread += r.load.Unread
			loads[e.ID] = l
			sizes[e.ID] = append(sizes[e.ID], fleet.Size{Held: r.prompt + r.made})
		}
		for _, in := range s.instances {
			s.tell(reportsLate, func() { in.fleet.SetPeerLoad(s.clock(), e.ID, loads, sizes) })
		}
	}
}
