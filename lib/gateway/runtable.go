package gateway

import "sync"

// runTable indexes runs by target.
type runTable struct {
	mu   sync.Mutex
	runs map[string]map[*run]bool
}

func newRunTable() runTable { return runTable{runs: make(map[string]map[*run]bool)} }

func (t *runTable) add(target string, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[target] == nil {
		t.runs[target] = make(map[*run]bool)
	}
	t.runs[target][r] = true
}

func (t *runTable) remove(target string, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs[target], r)
	if len(t.runs[target]) == 0 {
		delete(t.runs, target)
	}
}

func (t *runTable) onTarget(target string) []*run {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*run, 0, len(t.runs[target]))
	for r := range t.runs[target] {
		out = append(out, r)
	}
	return out
}
