package fleet

// peerTotal is what all peers carry on a target, added up. It is kept between choices: with 72 instances and 60 engines a
// choice that adds it up anew for each engine takes many times as long (BenchmarkStep in lib/admit).
type peerTotal struct {
	load  Load
	sizes []Size
	valid bool // false: to be added up anew
}

// invalidateTotals makes the sums of the targets that a peer's news names be added up anew. A nil peer has told nothing.
func (p *peer) invalidateTotals(targets map[string]*Target) {
	if p == nil {
		return
	}
	for id := range p.loads {
		if t := targets[id]; t != nil {
			t.peers.valid = false
		}
	}
	for id := range p.sizes {
		if t := targets[id]; t != nil {
			t.peers.valid = false
		}
	}
}

// peerTotal returns what peers carry on a target.
func (f *Fleet) peerTotal(t *Target) *peerTotal {
	if t.peers.valid {
		return &t.peers
	}
	t.peers = peerTotal{valid: true, sizes: t.peers.sizes[:0]}
	for _, p := range f.peers {
		t.peers.load.add(p.loads[t.ID])
		t.peers.sizes = append(t.peers.sizes, p.sizes[t.ID]...)
	}
	return &t.peers
}
