package fleet

// peerTotal is the sum of all peers' load on a target. It is cached between choices: with 72 instances and 60 engines, a choice that sums
// it anew for each engine takes many times as long (BenchmarkStep in lib/admit).
type peerTotal struct {
	load  Load
	sizes []Size
	valid bool // false: must be summed anew
}

// invalidateTotals invalidates the cached totals of the targets that a peer's update names. A nil peer has none.
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

// peerTotal returns the total load of the peers on a target.
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

// Unread returns the prompt tokens that all instances' runs on a target have left to prefill, as far as known.
func (f *Fleet) Unread(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[id]
	if t == nil {
		return 0
	}
	return f.totalLoad(t).Unread
}
