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

// commitCall is what an operator asked, commitReply what it was told.
type commitCall struct {
	base   uint64
	digest string
}

type commitReply struct {
	revision uint64 // committed as; 0: not committed
	unknown  bool
}

// line is the model: the newest revision and its digest.
type line struct {
	revision uint64
	digest   string
}

// lineModel holds that accepted changes form one line: each follows the very revision that it was made from.
var lineModel = porcupine.NondeterministicModel{
	Step: func(state, input, output any) []any {
		s, in, out := state.(line), input.(commitCall), output.(commitReply)
		taken := line{in.base + 1, in.digest}
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

// recorder keeps the history of commits.
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
		return nil, err // refused before it was written: no part of the history
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

func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

func isConflict(err error) bool {
	var c *settingsync.Conflict
	return errors.As(err, &c)
}

// legal checks a history that begins at revision before.
func legal(ops []porcupine.Operation, before uint64) bool {
	model := lineModel
	model.Init = func() []any { return []any{line{revision: before}} }
	return porcupine.CheckOperations(model.ToModel(), ops)
}

// operator reads the newest settings, adds a mark of its own and commits, time and again.
type operator struct {
	id       int
	first    []byte        // text that the first revision starts from
	think    time.Duration // longest pause between two changes
	patience time.Duration // with one commit
	table    settingsync.Table
	rng      *rand.Rand
	accepted []string
	unsure   []string
}

func (o *operator) run(ctx context.Context, r *recorder, more func() bool) {
	for n := 0; ctx.Err() == nil && more(); n++ {
		time.Sleep(upTo(o.rng, o.think))
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
		ctx, cancel := context.WithTimeout(ctx, o.patience)
		c := settingsync.TestChange(base, append(bytes.Clone(text), mark+"\n"...))
		_, err = r.commit(ctx, o.id, o.table, c)
		cancel()
		switch {
		case err == nil:
			r.accepted.Add(1)
			o.accepted = append(o.accepted, mark)
		case errorx.IsOfType(err, settingsync.Unknown):
			o.unsure = append(o.unsure, mark)
		}
	}
}

// Operators race while answers are lost, reads lag, writes are slow and the store goes away. Whatever each was told
// must fit one line of revisions, and the newest text must hold every accepted change: one that is missing was
// silently undone by a later operator.
func TestRacingOperatorsFormOneLine(t *testing.T) {
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
			id: i, first: settingsync.TestTree(1), think: 4 * time.Second, patience: 2 * time.Second,
			table: newTable(), rng: rand.New(rand.NewPCG(seed, uint64(10+i))),
		}
		wg.Go(func() { ops[i].run(t.Context(), r, func() bool { return time.Since(start) < time.Minute }) })
	}
	stop := make(chan struct{})
	go func() {
		wg.Wait()
		close(stop)
	}()
	trouble(srv, rand.New(rand.NewPCG(seed, 1)), stop)
	srv.SetFault(standin.Fault{Kind: standin.FaultClear})
	time.Sleep(time.Minute)
	checkLine(t, newTable(), r, ops, 20)
}

// checkLine holds that the commits form one line, and that the newest text, which it returns the revision of, has
// every accepted change; of these there must be at least so many.
func checkLine(t *testing.T, table settingsync.Table, r *recorder, ops []*operator, least int) uint64 {
	t.Helper()
	must.True(t, legal(r.ops, r.before), must.Sprint("the commits don't form one line"))
	newest, err := settingsync.Newest(t.Context(), table)
	must.NoError(t, err)
	text, _, err := settingsync.ReadText(t.Context(), table, newest)
	must.NoError(t, err)
	accepted, unsure := 0, 0
	for _, o := range ops {
		accepted += len(o.accepted)
		unsure += len(o.unsure)
		for _, mark := range o.accepted {
			must.Eq(t, 1, strings.Count(string(text), mark+"\n"), must.Sprint(mark))
		}
	}
	t.Logf("commits=%d accepted=%d unsure=%d newest=%d", len(r.ops), accepted, unsure, newest)
	must.GreaterEq(t, least, accepted)
	must.Between(t, uint64(accepted), newest-r.before, uint64(accepted+unsure))
	return newest
}

// trouble orders one fault after the other until stop.
func trouble(srv *standin.Server, rng *rand.Rand, stop <-chan struct{}) {
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
		case <-time.After(upTo(rng, 6*time.Second)):
			srv.SetFault(faults[rng.IntN(len(faults))])
		}
	}
}

// A checker that can't fail proves nothing: it must refuse a change accepted twice on one base, one accepted on an
// older base (which undoes the change between), and a refusal without cause.
func TestLineModelRefusesBrokenHistories(t *testing.T) {
	op := func(n int64, base uint64, digest string, reply commitReply) porcupine.Operation {
		return porcupine.Operation{Input: commitCall{base, digest}, Output: reply, Call: 2 * n, Return: 2*n + 1}
	}
	first := op(1, 0, "a", commitReply{revision: 1})
	must.True(t, legal([]porcupine.Operation{first, op(2, 1, "b", commitReply{revision: 2}), op(3, 1, "c", commitReply{})}, 0))
	must.True(t, legal([]porcupine.Operation{first, op(2, 1, "b", commitReply{unknown: true}), op(3, 1, "c", commitReply{})}, 0))
	must.False(t, legal([]porcupine.Operation{first, op(2, 1, "b", commitReply{revision: 2}), op(3, 1, "c", commitReply{revision: 2})}, 0))
	must.False(t, legal([]porcupine.Operation{first, op(2, 0, "b", commitReply{revision: 1})}, 0))
	must.False(t, legal([]porcupine.Operation{first, op(2, 1, "b", commitReply{})}, 0))
}
