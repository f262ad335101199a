package settingsync_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settingsync"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// commitCall is a commit request, commitReply its result.
type commitCall struct {
	base   uint64
	digest string
}

type commitReply struct {
	revision uint64 // revision committed; 0: not committed
	unknown  bool
}

// historyState is the model's state: the newest revision and its digest.
type historyState struct {
	revision uint64
	digest   string
}

// historyModel requires a linear history: each accepted change follows exactly the revision that it was made from.
var historyModel = porcupine.NondeterministicModel{
	Step: func(state, input, output any) []any {
		s, in, out := state.(historyState), input.(commitCall), output.(commitReply)
		taken := historyState{in.base + 1, in.digest}
		fits := s.revision == in.base
		switch {
		case out.unknown && fits:
			return []any{s, taken}
		case out.unknown:
			return []any{s}
		case out.revision == 0 && !fits:
			return []any{s}
		case out.revision == taken.revision && fits:
			return []any{taken}
		}
		return nil
	},
}

// recorder records the history of commits.
type recorder struct {
	before   uint64 // revision committed before the history begins
	accepted atomic.Int64
	clock    atomic.Int64
	mu       sync.Mutex
	ops      []porcupine.Operation
}

func (r *recorder) commit(ctx context.Context, client int, table settingsync.Table, c settingsync.Change) (*settingsync.Record, error) {
	call := r.clock.Add(1)
	rec, err := settingsync.Commit(ctx, table, c)
	reply := commitReply{unknown: errorx.IsOfType(err, settingsync.Unknown)}
	if err == nil {
		reply.revision = rec.Revision
	}
	if err != nil && !reply.unknown && !isConflict(err) {
		return nil, err // rejected before anything was written: not part of the history
	}
	end := r.clock.Add(1)
	if reply.unknown {
		end = math.MaxInt64 // it may take effect at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client,
		Input:    commitCall{c.Base, settingsync.Digest(c.Text)},
		Call:     call,
		Output:   reply,
		Return:   end,
	})
	return rec, err
}

func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

func isConflict(err error) bool {
	var c *settingsync.Conflict
	return errors.As(err, &c)
}

// isLinear checks a history that begins at revision before.
func isLinear(ops []porcupine.Operation, before uint64) bool {
	model := historyModel
	model.Init = func() []any { return []any{historyState{revision: before}} }
	return porcupine.CheckOperations(model.ToModel(), ops)
}

// operator repeatedly reads the newest settings, appends a mark of its own and commits.
type operator struct {
	id            int
	first         []byte        // text of the first revision
	maxThinkTime  time.Duration // maximum pause between two changes
	commitTimeout time.Duration // of one commit
	table         settingsync.Table
	rng           *rand.Rand
	accepted      []string
	unknown       []string
}

func (o *operator) run(ctx context.Context, r *recorder, more func() bool) {
	for n := 0; ctx.Err() == nil && more(); n++ {
		time.Sleep(randomDuration(o.rng, o.maxThinkTime))
		base, err := settingsync.Newest(ctx, o.table)
		if err != nil {
			continue
		}
		text := o.first
		if base > 0 {
			if text, _, err = settingsync.ReadText(ctx, o.table, base); err != nil {
				continue
			}
		}
		mark := fmt.Sprintf("# change %d of operator %d", n, o.id)
		ctx, cancel := context.WithTimeout(ctx, o.commitTimeout)
		c := settingsync.TestChange(base, append(bytes.Clone(text), mark+"\n"...))
		_, err = r.commit(ctx, o.id, o.table, c)
		cancel()
		switch {
		case err == nil:
			r.accepted.Add(1)
			o.accepted = append(o.accepted, mark)
		case errorx.IsOfType(err, settingsync.Unknown):
			o.unknown = append(o.unknown, mark)
		}
	}
}

// Operators commit concurrently while replies are lost, reads are stale, writes are slow and the store fails. All results
// must fit one linear history, and the newest text must contain every accepted change: a missing one was silently undone
// by a later operator.
func TestConcurrentCommitsAreLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	srv := standin.New(standin.Config{Seed: seed})
	newTable := func() settingsync.Table {
		return platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: srv.Transport()})
	}
	r := &recorder{}
	start := time.Now()
	var wg sync.WaitGroup
	ops := make([]*operator, 5)
	for i := range ops {
		ops[i] = &operator{
			id: i, first: settingsync.TestTree(1), maxThinkTime: 4 * time.Second, commitTimeout: 2 * time.Second,
			table: newTable(), rng: rand.New(rand.NewPCG(seed, uint64(10+i))),
		}
		wg.Go(func() { ops[i].run(t.Context(), r, func() bool { return time.Since(start) < time.Minute }) })
	}
	stop := make(chan struct{})
	go func() {
		wg.Wait()
		close(stop)
	}()
	injectFaults(srv, rand.New(rand.NewPCG(seed, 1)), stop)
	srv.SetFault(standin.Fault{Kind: standin.FaultClear})
	time.Sleep(time.Minute)
	checkHistory(t, newTable(), r, ops, 20)
}

// checkHistory checks that the commits form a linear history, and that the newest text has every accepted change, of which
// there must be at least minAccepted. It returns the newest revision.
func checkHistory(t *testing.T, table settingsync.Table, r *recorder, ops []*operator, minAccepted int) uint64 {
	t.Helper()
	must.True(t, isLinear(r.ops, r.before), must.Sprint("the commits don't form a linear history"))
	newest, err := settingsync.Newest(t.Context(), table)
	must.NoError(t, err)
	text, _, err := settingsync.ReadText(t.Context(), table, newest)
	must.NoError(t, err)
	accepted, unknown := 0, 0
	for _, o := range ops {
		accepted += len(o.accepted)
		unknown += len(o.unknown)
		for _, mark := range o.accepted {
			must.Eq(t, 1, strings.Count(string(text), mark+"\n"), must.Sprint(mark))
		}
	}
	t.Logf("commits=%d accepted=%d unsure=%d newest=%d", len(r.ops), accepted, unknown, newest)
	must.GreaterEq(t, minAccepted, accepted)
	must.Between(t, uint64(accepted), newest-r.before, uint64(accepted+unknown))
	return newest
}

// injectFaults injects one fault after the other until stop is closed.
func injectFaults(srv *standin.Server, rng *rand.Rand, stop <-chan struct{}) {
	faults := []standin.Fault{
		{Kind: standin.FaultLoseAnswer, Probability: 0.5, DurationMS: 3000},
		{Kind: standin.FaultStaleReads, DelayMS: 2000, Probability: 0.5, DurationMS: 3000},
		{Kind: standin.FaultSlow, DelayMS: 1500, Probability: 0.3, DurationMS: 3000},
		{Kind: standin.FaultOutage, DurationMS: 3000},
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(randomDuration(rng, 6*time.Second)):
			srv.SetFault(faults[rng.IntN(len(faults))])
		}
	}
}

// The checker itself must reject a change accepted twice on one base, a change accepted on an older base (which undoes the
// change between), and a rejection without cause.
func TestHistoryModelRejectsInvalidHistories(t *testing.T) {
	op := func(n int64, base uint64, digest string, reply commitReply) porcupine.Operation {
		return porcupine.Operation{Input: commitCall{base, digest}, Output: reply, Call: 2 * n, Return: 2*n + 1}
	}
	first := op(1, 0, "a", commitReply{revision: 1})
	must.True(t, isLinear([]porcupine.Operation{first, op(2, 1, "b", commitReply{revision: 2}), op(3, 1, "c", commitReply{})}, 0))
	must.True(t, isLinear([]porcupine.Operation{first, op(2, 1, "b", commitReply{unknown: true}), op(3, 1, "c", commitReply{})}, 0))
	must.False(t, isLinear([]porcupine.Operation{first, op(2, 1, "b", commitReply{revision: 2}), op(3, 1, "c", commitReply{revision: 2})}, 0))
	must.False(t, isLinear([]porcupine.Operation{first, op(2, 0, "b", commitReply{revision: 1})}, 0))
	must.False(t, isLinear([]porcupine.Operation{first, op(2, 1, "b", commitReply{})}, 0))
}
