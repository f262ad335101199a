package admit

import (
	"fmt"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
)

// BenchmarkStep measures one decision with load updates of 72 instances for 60 engines, six runs each.
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
			sizes[id] = []fleet.Size{{Held: 3000, Remaining: 400 + 10*i}}
		}
		f.SetPeerLoad(now, fmt.Sprintf("i%d", i), loads, sizes)
	}
	p := Placer{Fleet: f, Prefill: new(PrefillRates)}
	stream := Stream{Arrived: now, Objective: 1800 * time.Millisecond, MaxRetryAfter: maxRetryAfter, Need: fleet.Need{
		Service: service, Tokens: 3200, Unread: 3000, Peak: fleet.Size{Held: 3000, Remaining: 400},
	}}
	for b.Loop() {
		if d := p.Step(now, stream); d.Action == Admit {
			f.Release(now, d.Target.ID, fleet.Load{Tokens: 3200, Unread: 3000}, fleet.Served)
		}
	}
}
