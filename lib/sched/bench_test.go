package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
)

const (
	benchTargets     = 28
	benchGenerations = 2000
)

// newLoadedOwner returns an owner of 28 targets that run 2,000 generations, its current time and the random source.
func newLoadedOwner(tb testing.TB) (*Owner, Time, *rand.Rand) {
	tb.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	o := NewOwner("svc", Options{DisablePrefill: true, DisableSilence: true, StaleAfter: math.MaxInt64})
	o.SetPolicy(func(_, class string) ClassPolicy {
		return ClassPolicy{Urgent: class == "urgent", Weight: 1, MaxWait: time.Hour}
	})
	var specs []TargetSpec
	for i := range benchTargets {
		specs = append(specs, TargetSpec{Name: fmt.Sprintf("t%d", i), KVTotal: 400_000, MaxBatch: 256, SeqWatts: 1, Resumes: true})
	}
	now := Time(time.Second)
	o.SetTargets(now, specs)
	o.SetPower(now, 1e6, now.Add(time.Hour), 1e6)
	acts := make([]Action, 0, 4096)
	for n := range benchGenerations {
		o.Submit(now, benchRequest(rng, n))
	}
	for len(o.byID) > 0 && o.queued > 0 {
		now = now.Add(maintenanceInterval)
		acts = o.Tick(now, acts[:0])
		advanceAll(o, now)
	}
	running := 0
	for i := range o.targets {
		running += o.targets[i].run.n
	}
	if running != benchGenerations {
		tb.Fatalf("%d generations run", running)
	}
	return o, now, rng
}

func benchRequest(rng *rand.Rand, n int) Request {
	class := "batch"
	if n%4 == 0 {
		class = "urgent"
	}
	return Request{
		Gen:          ids.From(7, uint64(n)),
		Workspace:    fmt.Sprintf("w%d", n%10),
		Class:        class,
		Attempt:      1,
		PromptTokens: 100 + rng.IntN(1500),
		Prefixes:     []uint64{rng.Uint64N(50), rng.Uint64()},
	}
}

func advanceAll(o *Owner, now Time) {
	for i := range o.gens {
		g := &o.gens[i]
		if g.target != none {
			o.Progress(now, g.id, g.attempt, g.tokens+1)
		}
	}
}

// BenchmarkDecision measures one End, one Submit and the Tick that grants it, at 1,000 decisions per second; maintenance
// runs in every twentieth tick.
func BenchmarkDecision(b *testing.B) {
	o, now, rng := newLoadedOwner(b)
	acts := make([]Action, 0, 64)
	req := benchRequest(rng, 0)
	id := ids.From(7, 1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		o.Progress(now, ids.From(7, 2), 1, 1)
		o.End(now, id, 1, 200, EndCompleted)
		req.Gen = id
		o.Submit(now, req)
		acts = o.Tick(now, acts[:0])
		if len(acts) != 1 {
			b.Fatalf("%d actions", len(acts))
		}
	}
}

// BenchmarkTick measures a tick with maintenance; every tenth tick is preceded by progress of all generations.
func BenchmarkTick(b *testing.B) {
	o, now, _ := newLoadedOwner(b)
	acts := make([]Action, 0, 64)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		now = now.Add(maintenanceInterval)
		n++
		if n%10 == 0 {
			b.StopTimer()
			advanceAll(o, now)
			b.StartTimer()
		}
		acts = o.Tick(now, acts[:0])
	}
}

func TestTickDoesNotAllocate(t *testing.T) {
	o, now, _ := newLoadedOwner(t)
	acts := make([]Action, 0, 64)
	n := testing.AllocsPerRun(100, func() {
		now = now.Add(maintenanceInterval)
		advanceAll(o, now)
		acts = o.Tick(now, acts[:0])
	})
	if n != 0 {
		t.Fatalf("%v allocations a tick", n)
	}
}

// BenchmarkTickAllChanged measures a tick that recomputes every target's forecast.
func BenchmarkTickAllChanged(b *testing.B) {
	o, now, _ := newLoadedOwner(b)
	acts := make([]Action, 0, 64)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(maxLoadAge)
		acts = o.Tick(now, acts[:0])
	}
}
