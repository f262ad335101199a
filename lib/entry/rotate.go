package entry

import (
	"slices"
	"sync"

	"anvilwick.example/anvilwick/lib/settings"
)

// rotation is the default Picker: the targets of a service in turn.
type rotation struct {
	snapshot func() *settings.Snapshot

	mu   sync.Mutex
	next map[string]int
}

func newRotation(snapshot func() *settings.Snapshot) *rotation {
	return &rotation{snapshot: snapshot, next: make(map[string]int)}
}

// Pick implements Picker.
func (r *rotation) Pick(service string, avoid []string) (string, func(bool)) {
	done := func(bool) {}
	snap := r.snapshot()
	if snap == nil || snap.Services[service] == nil {
		return "", done
	}
	targets := snap.Services[service].Targets
	r.mu.Lock()
	start := r.next[service]
	r.next[service]++
	r.mu.Unlock()
	for i := range targets {
		t := &targets[(start+i)%len(targets)]
		if !t.Draining && !slices.Contains(avoid, t.Name) {
			return t.Name, done
		}
	}
	return "", done
}
