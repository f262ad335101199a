package admit

import (
	"fmt"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// BenchmarkStep is one decision with 72 instances' news of 60 engines, six runs each.
func BenchmarkStep(b *testing.B) {
	f := fleet.New("z")
	f.SetSpecs(map[string]fleet.Spec{service: {KVTokens: kv}})
	now := start
	for e := range 60 {
		f.Apply(now, []fleet.Info{{ID: fmt.Sprintf("e%d", e), Service: service, Domain: "z", Slots: 24}}, nil, 0)
	}
	for i := range 72 {
		loads, sizes := make(map[string]fleet.Load), make(map[string][]fleet.Size)
		for k := range 5 {
			id := fmt.Sprintf("e%d", (5*i+k)%60)
			loads[id] = fleet.Load{Runs: 1, Tokens: 3400}
			sizes[id] = []fleet.Size{{Now: 3000, Left: 400 + 10*i}}
		}
		f.Tell(now, fmt.Sprintf("i%d", i), loads, sizes)
	}
	p := Placer{Fleet: f, Reading: new(Readings)}
	s := Stream{Arrived: now, Aim: 1800 * time.Millisecond, Keeps: keeps, Need: fleet.Need{
		Service: service, Tokens: 3200, Unread: 3000, Peak: fleet.Size{Now: 3000, Left: 400},
	}}
	for b.Loop() {
		if d := p.Step(now, s); d.Action == Go {
			f.Release(now, d.Target.ID, fleet.Load{Tokens: 3200, Unread: 3000}, fleet.Served)
		}
	}
}
