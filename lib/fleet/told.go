package fleet

// told is what all peers carry on a target, added up. It is kept between choices: with 72 instances and 60 engines a
// choice that adds it up anew for each engine takes many times as long (BenchmarkStep in lib/admit).
type told struct {
	load  Load
	sizes []Size
	known bool // false: to be added up anew
}

// forgetTold makes the sums of the targets that a peer's news names be added up anew. A nil peer has told nothing.
func (p *peer) forgetTold(targets map[string]*Target) {
	if p == nil {
		return
	}
	for id := range p.loads {
		if t := targets[id]; t != nil {
			t.told.known = false
		}
	}
	for id := range p.sizes {
		if t := targets[id]; t != nil {
			t.told.known = false
		}
	}
}

// toldOf returns what peers carry on a target.
func (f *Fleet) toldOf(t *Target) *told {
	if t.told.known {
		return &t.told
	}
	t.told = told{known: true, sizes: t.told.sizes[:0]}
	for _, p := range f.peers {
		t.told.load.add(p.loads[t.ID])
		t.told.sizes = append(t.told.sizes, p.sizes[t.ID]...)
	}
	return &t.told
}
