package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

const (
	ownerTick     = 20 * time.Millisecond
	ownerProbe    = 200 * time.Millisecond // processor time spent on each value
	gensPerTarget = 64
)

// loadedOwner is an owner whose targets run gensPerTarget generations each.
type loadedOwner struct {
	*sched.Owner
	now         sched.Time
	actions     []sched.Action
	generations int
	req         sched.Request
}

func newLoadedOwner(targets int) *loadedOwner {
	rng := rand.New(rand.NewPCG(1, 2))
	c := &loadedOwner{
		Owner:       sched.NewOwner(capacityService, sched.Options{DisablePrefill: true, DisableSilence: true}),
		now:         sched.Time(time.Second),
		generations: targets * gensPerTarget,
	}
	c.SetPolicy(func(_, class string) sched.ClassPolicy {
		return sched.ClassPolicy{Urgent: class == "urgent", Weight: 1, MaxWait: time.Hour}
	})
	var specs []sched.TargetSpec
	for i := range targets {
		specs = append(specs, sched.TargetSpec{Name: fmt.Sprint("t", i), KVTotal: 400_000, MaxBatch: 256, SeqWatts: 1, Resumes: true})
	}
	c.SetTargets(c.now, specs)
	c.SetPower(c.now, 1e9, c.now.Add(time.Hour), 1e9)
	for n := range c.generations {
		c.Submit(c.now, ownerRequest(rng, n))
	}
	for range 50 {
		c.tick()
		c.reportProgress()
	}
	c.req = ownerRequest(rng, 1)
	return c
}

func ownerRequest(rng *rand.Rand, n int) sched.Request {
	class := "batch"
	if n%4 == 0 {
		class = "urgent"
	}
	return sched.Request{
		Gen: ids.From(7, uint64(n)), Workspace: fmt.Sprint("w", n%10), Class: class, Attempt: 1,
		PromptTokens: 100 + rng.IntN(1500), Prefixes: []uint64{rng.Uint64N(50), rng.Uint64()},
	}
}

func (c *loadedOwner) tick() {
	c.now = c.now.Add(ownerTick)
	c.actions = c.Tick(c.now, c.actions[:0])
}

// reportProgress reports one more token for every generation. An owner receives progress in such batches, one each interval.
func (c *loadedOwner) reportProgress() {
	tokens := int(c.now.Sub(0) / ownerTick)
	for n := range c.generations {
		c.Progress(c.now, ids.From(7, uint64(n)), 1, tokens)
	}
}

// replaceOne ends one generation and submits and places another.
func (c *loadedOwner) replaceOne() {
	c.End(c.now, c.req.Gen, 1, 200, sched.EndCompleted)
	c.Submit(c.now, c.req)
	c.now = c.now.Add(time.Millisecond)
	c.actions = c.Tick(c.now, c.actions[:0])
}

// MeasureOwner measures an owner's tables: the processor time of a tick, of a progress report of one generation and of one
// decision, and the heap, by targets with 64 generations each.
func MeasureOwner(_ context.Context, r Report) error {
	var ticks, decisions, progress, heap []Point
	for _, targets := range []int{7, 14, 28, 56} {
		var c *loadedOwner
		bytes := retainedHeap(func() any { c = newLoadedOwner(targets); return c })
		tick := perOp(ownerProbe, c.tick)
		decide := perOp(ownerProbe, c.replaceOne)
		progressRound := perOp(ownerProbe, c.reportProgress)
		size := float64(targets)
		ticks = append(ticks, Point{size, micros(tick)})
		decisions = append(decisions, Point{size, micros(decide)})
		progress = append(progress, Point{float64(c.generations), micros(progressRound)})
		heap = append(heap, Point{float64(c.generations), bytes})
		r.point("owner", "targets=%d generations=%d tick_us=%.1f decision_us=%.1f progress_round_us=%.1f heap_bytes=%.0f",
			targets, c.generations, micros(tick), micros(decide), micros(progressRound), bytes)
	}
	r.fit("owner", "tick_us", "target_of_shard", ticks)
	r.fit("owner", "decision_us", "target_of_shard", decisions)
	r.fit("owner", "progress_us", "generation", progress)
	r.fit("owner", "heap_bytes", "generation", heap)
	return nil
}
