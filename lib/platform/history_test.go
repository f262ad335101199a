package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// writer swaps values of shared keys, some alone and some in groups, and records the reported outcomes.
type writer struct {
	id  int
	c   *platform.Client
	rng *rand.Rand
	log *history.Log
}

func (w *writer) run(ctx context.Context, steps int) {
	for n := range steps {
		key := fmt.Sprint("k", w.rng.IntN(3))
		it, ok := w.get(ctx, key)
		if ok {
			w.swap(ctx, it, fmt.Sprint(w.id, "/", n))
		}
		time.Sleep(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
	}
}

// get records a successful read; a failed read proves nothing.
func (w *writer) get(ctx context.Context, key string) (platformapi.Item, bool) {
	op := history.Op{Model: history.ModelRegister, Object: key, Action: history.Get, Client: w.id, Call: history.Now()}
	it, _, err := w.c.Get(ctx, key)
	if err != nil {
		return it, false
	}
	op.Return, op.Value = history.Now(), string(it.Value)
	w.log.Add(op)
	return it, true
}

func (w *writer) swap(ctx context.Context, it platformapi.Item, value string) {
	op := history.Op{Model: history.ModelRegister, Object: it.Key, Action: history.Swap, Client: w.id, From: string(it.Value), Value: value}
	op.Call = history.Now()
	send := w.c.GroupTxn
	if w.rng.IntN(2) == 0 {
		send = w.c.Txn
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.rng.IntN(8000))*time.Millisecond)
	defer cancel()
	res, err := send(ctx, put(it.Key, value, it.Rev))
	op.Return = history.Now()
	switch {
	case platform.IsUnknown(err):
		op.Outcome, op.Return = history.Unknown, 0
	case err != nil || !res.Committed:
		op.Outcome = history.No
	default:
		op.Outcome = history.Yes
	}
	if err != nil && op.Outcome == history.No {
		return // reported as "not committed": its value must never be seen, or the history is invalid
	}
	w.log.Add(op)
}

var disturbance = standin.FaultSequence{
	Kinds: []string{standin.FaultOutage, standin.FaultLoseAnswer, standin.FaultLoseAnswer, standin.FaultSlow},
	Count: 15, Unit: time.Second, MaxDelay: 3, MaxDuration: 6, MaxGap: 4,
}

// Writers race for three keys while the store is down, slow, and loses half of its answers. Every reported outcome must be
// right: if a "committed" value is lost or a "not committed" value appears, a caller would reserve twice or not
// at all.
func TestHistoryOfWrites(t *testing.T) {
	for seed := range uint64(8) {
		var log history.Log
		synctest.Test(t, func(t *testing.T) {
			s := standin.New(standin.Config{Seed: seed})
			var wg sync.WaitGroup
			for i := range 3 {
				c := platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport(), Live: 3})
				for j := range 2 {
					w := &writer{id: 2*i + j, c: c, rng: rand.New(rand.NewPCG(seed, uint64(2*i+j))), log: &log}
					wg.Go(func() { w.run(t.Context(), 60) })
				}
			}
			s.InjectFaults(rand.New(rand.NewPCG(seed, 99)), disturbance, func() {})
			wg.Wait()
			time.Sleep(time.Minute)
		})
		must.Greater(t, 200, len(log.Ops()))
		must.NoError(t, history.Check(log.Ops(), 20*time.Second), must.Sprintf("seed %d", seed))
	}
}
