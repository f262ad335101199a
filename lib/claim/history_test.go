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

// target runs the requests sent to it, and logs each run. It can fence a generation: reject it from then on, and report whether it ran.
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

func (tg *target) proveNotRun(_ context.Context, s PriorSend) bool {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	tg.fenced[s.Generation] = true
	return !tg.ran[s.Generation]
}

// simulation is a site with a few entries and one target. Entries die and restart as a later incarnation; membership is often wrong about
// them.
type simulation struct {
	unit            time.Duration // duration that represents a second
	client          func() *platform.Client
	s               *standin.Server
	target          *target
	proves          bool // the target provides proofs
	noDeaths        bool // entries are paused, but do not die
	rounds          int  // keys per caller
	log             history.Log
	mu              sync.Mutex
	rng             *rand.Rand
	dead            map[Holder]bool
	tables          []*Table
	lastIncarnation uint64
	count           int
}

func (w *simulation) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// upTo draws a duration below n units.
func (w *simulation) upTo(n int) time.Duration {
	return time.Duration(w.draw(1000*n)) * w.unit / 1000
}

// holderGone is membership's answer: right about dead entries, and wrong about live ones in one of five cases.
func (w *simulation) holderGone(h Holder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[h] || w.rng.IntN(5) == 0
}

// start replaces the entry at index i by a new incarnation.
func (w *simulation) start(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.tables[i]; old != nil {
		w.dead[old.cfg.Holder] = true
	}
	w.lastIncarnation++
	cfg := Config{
		Holder:     Holder{Instance: fmt.Sprint("e", i), Incarnation: w.lastIncarnation},
		HolderGone: w.holderGone,
		Timeout:    2 * w.unit,
	}
	if w.proves {
		cfg.ProveNotRun = w.target.proveNotRun
	}
	w.tables[i] = New(w.client(), cfg)
}

func (w *simulation) pick() *Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tables[w.rng.IntN(len(w.tables))]
}

func (w *simulation) nextRequest() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	return fmt.Sprint("r", w.count)
}

// errDied means that the entry died without an answer: its caller sees a closed connection.
const errDied = result.Code(0)

// serve handles a request as an entry does. At each step the entry may be paused or die.
func (w *simulation) serve(t *Table, key, req string, client int) (result.Code, string) {
	r := Request{Workspace: "w", Key: key, Fingerprint: "f", Generation: ids.New().String()}
	c, sum, refused := t.Begin(context.Background(), r)
	if sum != nil {
		return sum.Code, string(sum.Body)
	}
	if refused != nil {
		return refused.Code, ""
	}
	if w.injectFault(t) {
		return errDied, ""
	}
	if refused := c.MarkSent(context.Background(), "target", c.FirstAttempt()); refused != nil {
		return refused.Code, ""
	}
	if w.injectFault(t) {
		return errDied, ""
	}
	value, ran := w.target.run(key, req, r.Generation, client)
	if w.injectFault(t) {
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

// injectFault sometimes pauses the entry, for longer than membership takes to consider it dead. It returns true if the entry died.
func (w *simulation) injectFault(t *Table) bool {
	switch w.draw(12) {
	case 0:
		return w.die(t)
	case 1, 2:
		time.Sleep(w.upTo(20))
	}
	return false
}

// die replaces an entry, which loses all its state in memory.
func (w *simulation) die(t *Table) bool {
	if w.noDeaths {
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

// caller sends keyed requests, and resends each through any entry until it has a final answer.
func (w *simulation) caller(client int) {
	for n := range w.rounds {
		key := fmt.Sprint("k", 4*n+client%4) // three callers share each key
		for range 6 {
			if w.sendRequest(key, client) {
				break
			}
			time.Sleep(w.upTo(4))
		}
	}
}

// sendRequest sends one request and records its answer. It returns true when a resend is pointless.
func (w *simulation) sendRequest(key string, client int) bool {
	op := history.Op{Model: history.ModelClaim, Object: key, Action: history.Reply, Client: client, Request: w.nextRequest()}
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

// runFaults injects store faults and kills entries.
func (w *simulation) runFaults(seed uint64) {
	d := standin.FaultSequence{
		Kinds: []string{standin.FaultOutage, standin.FaultLoseAnswer, standin.FaultLoseAnswer, standin.FaultSlow},
		Count: 25, Unit: w.unit, MaxDelay: 4, MaxDuration: 8, MaxGap: 6,
	}
	w.s.InjectFaults(rand.New(rand.NewPCG(seed, 2)), d, func() {
		if !w.noDeaths && w.draw(2) == 0 {
			w.start(w.draw(len(w.tables)))
		}
	})
}

// runInVirtualTime runs the simulation through its faults, and then lets it recover, in virtual time.
func (w *simulation) runInVirtualTime(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w.s = standin.New(standin.Config{Seed: seed})
		w.unit = time.Second
		w.client = func() *platform.Client { return client(w.s) }
		w.run(seed)
		time.Sleep(10 * time.Minute) // until pending outcomes are written
	})
}

func (w *simulation) run(seed uint64) {
	w.rng, w.dead = rand.New(rand.NewPCG(seed, 1)), map[Holder]bool{}
	w.target = &target{ran: map[string]bool{}, fenced: map[string]bool{}, log: &w.log}
	w.tables = make([]*Table, 4)
	for i := range w.tables {
		w.start(i)
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.runFaults(seed) })
	for i := range 12 {
		wg.Go(func() { w.caller(i) })
	}
	wg.Wait()
}

const seeds = 10

// tally counts outcomes, to detect a history in which nothing happened.
func tally(ops []history.Op) map[string]int {
	n := map[string]int{}
	for _, op := range ops {
		n[op.Action+" "+op.Outcome]++
	}
	return n
}

func checkSeeds(t *testing.T, proves bool) {
	for seed := range uint64(seeds) {
		w := &simulation{proves: proves, rounds: 12}
		w.runInVirtualTime(t, seed)
		checkHistory(t, seed, w.log.Ops())
	}
}

// checkHistory checks a history, and that it has every kind of outcome: one without them would prove nothing.
func checkHistory(t *testing.T, seed uint64, ops []history.Op) {
	t.Helper()
	must.NoError(t, history.Check(ops, 10*time.Second), must.Sprintf("seed %d %v", seed, tally(ops)))
	must.True(t, coversAllOutcomes(ops), must.Sprint(tally(ops)))
}

// coversAllOutcomes reports whether something ran, something completed, and something was answered "not run".
func coversAllOutcomes(ops []history.Op) bool {
	n := tally(ops)
	return n["execute "] > 0 && n["reply completed"] > 0 && n["reply not_run"] > 0
}

// Twelve callers, three per key, send 48 keys repeatedly through four entries that are paused and die between claim, send and finish,
// while the store is down, slow, or loses its answers, and membership often considers live entries dead. In case of a fault a caller
// would see its crew sent twice, or get "not run" for a crew that was sent. The target provides no proofs here.
func TestHistoryWithoutProofs(t *testing.T) { checkSeeds(t, false) }

// As before, but the target proves what it did not run, and rejects it from then on.
func TestHistoryWithProofs(t *testing.T) { checkSeeds(t, true) }

// As in virtual time, but over loopback connections that the stand-in closes while clients use them, at 1/200 of the durations. Those
// are real milliseconds: on a busy machine a run can end before anything completes, so runs are repeated, and each is checked, until
// one has every kind of outcome.
func TestHistoryOverHTTP(t *testing.T) {
	const runs = 20
	for seed := range uint64(runs) {
		ops := playOverHTTP(t, seed+1)
		must.NoError(t, history.Check(ops, 10*time.Second), must.Sprintf("seed %d %v", seed+1, tally(ops)))
		if coversAllOutcomes(ops) {
			return
		}
	}
	t.Fatalf("none of %d runs had every kind of outcome", runs)
}

func playOverHTTP(t *testing.T, seed uint64) []history.Op {
	l, err := standin.Start("127.0.0.1:0", "", standin.Config{Seed: seed, Unlimited: true})
	must.NoError(t, err)
	defer l.Close(context.Background())
	const unit = 5 * time.Millisecond
	cfg := platform.Config{Addr: l.Addr(), Timeout: unit, SettleTimeout: 5 * unit, BreakerOpen: unit / 4, WritesPerSec: 1e5, ReadsPerSec: 1e5}
	w := &simulation{s: l.Server, unit: unit, rounds: 5, proves: true, client: func() *platform.Client { return platform.New(cfg) }}
	w.run(seed)
	return w.log.Ops()
}

// Settled claims leave nothing in memory, whatever happened to them, if their entries stay alive.
func TestAllClaimsAreEventuallySettled(t *testing.T) {
	w := &simulation{noDeaths: true, rounds: 12}
	w.runInVirtualTime(t, 3)
	for _, tab := range w.tables {
		must.Zero(t, tab.Unsettled())
	}
}
