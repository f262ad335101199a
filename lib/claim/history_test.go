package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

// target runs what it is sent, and logs each run. It can fence a generation: refuse it from then on, and tell
// whether it ran.
type target struct {
	mu     sync.Mutex
	ran    map[string]bool // by generation
	fenced map[string]bool
	log    *history.Log
}

// run executes a request unless its generation was fenced.
func (tg *target) run(key, req, gen string, client int) (string, bool) {
	op := history.Op{Model: history.ModelClaim, Object: key, Action: history.Execute, Client: client, Request: req}
	op.Call = history.Now()
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.fenced[gen] {
		return "", false
	}
	tg.ran[gen] = true
	op.Value, op.Return = "result of "+req, history.Now()
	tg.log.Add(op)
	return op.Value, true
}

func (tg *target) neverRan(_ context.Context, s PriorSend) bool {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.fenced[s.Generation] = true
	return !tg.ran[s.Generation]
}

// world is a site of a few entries before one target. Entries die and come back as a later incarnation; membership
// is often wrong about them.
type world struct {
	unit    time.Duration // what stands for a second
	client  func() *platform.Client
	s       *standin.Server
	target  *target
	proves  bool // the target's proofs are asked for
	undying bool // entries are paused, but do not die
	rounds  int  // keys that each caller asks for
	log     history.Log
	mu      sync.Mutex
	rng     *rand.Rand
	dead    map[Holder]bool
	tables  []*Table
	life    uint64
	count   int
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// upTo draws a time below n units.
func (w *world) upTo(n int) time.Duration {
	return time.Duration(w.draw(1000*n)) * w.unit / 1000
}

// gone is membership's answer: right about the dead, and in one of five cases wrong about the living.
func (w *world) gone(h Holder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[h] || w.rng.IntN(5) == 0
}

// start replaces the entry at index i by a new life of it.
func (w *world) start(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.tables[i]; old != nil {
		w.dead[old.cfg.Holder] = true
	}
	w.life++
	cfg := Config{
		Holder:     Holder{Instance: fmt.Sprint("e", i), Incarnation: w.life},
		HolderGone: w.gone,
		Timeout:    2 * w.unit,
	}
	if w.proves {
		cfg.ProveNotRun = w.target.neverRan
	}
	w.tables[i] = New(w.client(), cfg)
}

func (w *world) pick() *Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tables[w.rng.IntN(len(w.tables))]
}

func (w *world) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	return fmt.Sprint("r", w.count)
}

// errDied stands for an entry that ended without a word: its caller sees a cut connection.
const errDied = result.Code(0)

// serve is what an entry does with a request, with a chance to be paused or to die at each step.
func (w *world) serve(t *Table, key, req string, client int) (result.Code, string) {
	r := Request{Workspace: "w", Key: key, Fingerprint: "f", Generation: ids.New().String()}
	c, sum, refused := t.Begin(context.Background(), r)
	if sum != nil {
		return sum.Code, string(sum.Body)
	}
	if refused != nil {
		return refused.Code, ""
	}
	if w.hazard(t) {
		return errDied, ""
	}
	if refused := c.MarkSent(context.Background(), "target", c.FirstAttempt()); refused != nil {
		return refused.Code, ""
	}
	if w.hazard(t) {
		return errDied, ""
	}
	value, ran := w.target.run(key, req, r.Generation, client)
	if w.hazard(t) {
		return errDied, ""
	}
	if !ran {
		c.Release()
		return result.NoTarget, ""
	}
	if w.draw(10) == 0 {
		c.Finish(Summary{Code: result.TargetSilent})
		return result.TargetSilent, ""
	}
	c.Finish(Summary{Code: result.OK, Body: []byte(value), Kept: true})
	return result.OK, value
}

// hazard pauses the entry now and then, for longer than membership takes to give it up; it reports true for a death.
func (w *world) hazard(t *Table) bool {
	switch w.draw(12) {
	case 0:
		return w.die(t)
	case 1, 2:
		time.Sleep(w.upTo(20))
	}
	return false
}

// die replaces an entry, with all that it held in memory.
func (w *world) die(t *Table) bool {
	if w.undying {
		return false
	}
	w.mu.Lock()
	i := slices.Index(w.tables, t)
	w.mu.Unlock()
	if i >= 0 {
		w.start(i)
	}
	return true
}

// caller sends keyed requests, each again through any entry until it has a final answer.
func (w *world) caller(client int) {
	for n := range w.rounds {
		key := fmt.Sprint("k", 4*n+client%4) // three callers share each key
		for range 6 {
			if w.ask(key, client) {
				break
			}
			time.Sleep(w.upTo(4))
		}
	}
}

// ask sends one request and records its answer; it reports true when asking again is pointless.
func (w *world) ask(key string, client int) bool {
	op := history.Op{Model: history.ModelClaim, Object: key, Action: history.Reply, Client: client, Request: w.next()}
	op.Call = history.Now()
	code, value := w.serve(w.pick(), key, op.Request, client)
	if code == errDied {
		return false
	}
	op.Return, op.Value = history.Now(), value
	switch result.Lookup(code).Outcome {
	case result.Completed:
		op.Outcome = history.Completed
	case result.NotRun:
		op.Outcome = history.NotRun
	default:
		op.Outcome = history.Unknown
	}
	w.log.Add(op)
	return op.Outcome != history.NotRun
}

// faults orders faults of the store and ends entries.
func (w *world) faults(seed uint64) {
	d := standin.FaultSequence{
		Kinds: []string{standin.FaultOutage, standin.FaultLoseAnswer, standin.FaultLoseAnswer, standin.FaultSlow},
		Count: 25, Unit: w.unit, MaxDelay: 4, MaxDuration: 8, MaxGap: 6,
	}
	w.s.InjectFaults(rand.New(rand.NewPCG(seed, 2)), d, func() {
		if !w.undying && w.draw(2) == 0 {
			w.start(w.draw(len(w.tables)))
		}
	})
}

// play lets the world run through its faults, and then heal, in virtual time.
func (w *world) play(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w.s = standin.New(standin.Config{Seed: seed})
		w.unit = time.Second
		w.client = func() *platform.Client { return client(w.s) }
		w.run(seed)
		time.Sleep(10 * time.Minute) // outcomes on their way are written
	})
}

func (w *world) run(seed uint64) {
	w.rng, w.dead = rand.New(rand.NewPCG(seed, 1)), map[Holder]bool{}
	w.target = &target{ran: map[string]bool{}, fenced: map[string]bool{}, log: &w.log}
	w.tables = make([]*Table, 4)
	for i := range w.tables {
		w.start(i)
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.faults(seed) })
	for i := range 12 {
		wg.Go(func() { w.caller(i) })
	}
	wg.Wait()
}

const seeds = 10

// tally counts outcomes, so that a history in which nothing happened is not taken for a proof.
func tally(ops []history.Op) map[string]int {
	n := map[string]int{}
	for _, op := range ops {
		n[op.Action+" "+op.Outcome]++
	}
	return n
}

func check(t *testing.T, proves bool) {
	for seed := range uint64(seeds) {
		w := &world{proves: proves, rounds: 12}
		w.play(t, seed)
		judge(t, seed, w.log.Ops())
	}
}

// judge checks a history, and that it holds every kind of outcome: one without them would prove nothing.
func judge(t *testing.T, seed uint64, ops []history.Op) {
	t.Helper()
	must.NoError(t, history.Check(ops, 10*time.Second), must.Sprintf("seed %d %v", seed, tally(ops)))
	must.True(t, telling(ops), must.Sprint(tally(ops)))
}

// telling reports whether something ran, something completed, and something was told "not run".
func telling(ops []history.Op) bool {
	n := tally(ops)
	return n["execute "] > 0 && n["reply completed"] > 0 && n["reply not_run"] > 0
}

// Twelve callers, three to a key, send 48 keys again and again through four entries that are paused and die between claim, send and
// finish, while the store is down, slow, or loses its answers, and membership often calls the living gone. A caller
// would see its crew sent twice, or be told "not run" of a crew that went. No target proves anything here.
func TestHistoryWithoutProofs(t *testing.T) { check(t, false) }

// As before, before a target that proves what it did not run, and refuses it from then on.
func TestHistoryWithProofs(t *testing.T) { check(t, true) }

// As in virtual time, but over loopback connections that the stand-in closes under its clients, at a two-hundredth
// of the times. Those are real milliseconds: on a busy machine a run can end before anything completes, so runs go on,
// each checked, until one held every kind of outcome.
func TestHistoryOverHTTP(t *testing.T) {
	const runs = 20
	for seed := range uint64(runs) {
		ops := playOverHTTP(t, seed+1)
		must.NoError(t, history.Check(ops, 10*time.Second), must.Sprintf("seed %d %v", seed+1, tally(ops)))
		if telling(ops) {
			return
		}
	}
	t.Fatalf("none of %d runs held every kind of outcome", runs)
}

func playOverHTTP(t *testing.T, seed uint64) []history.Op {
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{Seed: seed, Unlimited: true})
	must.NoError(t, err)
	defer l.Close(context.Background())
	const unit = 5 * time.Millisecond
	cfg := platform.Config{Addr: l.Addr(), Timeout: unit, SettleTimeout: 5 * unit, BreakerOpen: unit / 4, WritesPerSec: 1e5, ReadsPerSec: 1e5}
	w := &world{s: l.Server, unit: unit, rounds: 5, proves: true, client: func() *platform.Client { return platform.New(cfg) }}
	w.run(seed)
	return w.log.Ops()
}

// Settled claims leave nothing in memory, whatever happened to them, as long as their entries live.
func TestNothingStaysUnsettled(t *testing.T) {
	w := &world{undying: true, rounds: 12}
	w.play(t, 3)
	for _, tab := range w.tables {
		must.Zero(t, tab.Unsettled())
	}
}
