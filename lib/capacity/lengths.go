package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/length"
)

const lengthsProbe = 100 * time.Millisecond

// MeasureLengths measures an owner's estimator of output lengths, by groups: three classes of each workspace.
func MeasureLengths(_ context.Context, r Report) error {
	var heap []Point
	for _, workspaces := range []int{60, 120, 480} {
		var e *length.Estimator
		groups := 3 * workspaces
		bytes := retainedHeap(func() any { e = newTrainedEstimator(groups); return e })
		rng := rand.New(rand.NewPCG(1, 1))
		g := e.Group("workspace-1", "class-1")
		observe := perOp(lengthsProbe, func() { e.Observe(g, 1+rng.IntN(4000)) })
		r.point("lengths", "groups=%d observe_us=%.2f heap_bytes=%.0f", groups, micros(observe), bytes)
		heap = append(heap, Point{float64(groups), bytes})
	}
	r.fit("lengths", "heap_bytes", "group", heap)
	return nil
}

func newTrainedEstimator(groups int) *length.Estimator {
	e := length.New(length.Options{})
	for i := range groups {
		g := e.Group(fmt.Sprint("workspace-", i/3), fmt.Sprint("class-", i%3))
		e.Observe(g, 100+i)
		e.Curve(g)
	}
	return e
}
