package entry

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
)

// rendezvousRecords is a Records whose Get returns only once all expected callers have called it.
type rendezvousRecords struct {
	*memoryRecords
	callers sync.WaitGroup
}

func (m *rendezvousRecords) Get(ctx context.Context, workspace, key string) (*Record, *result.Error) {
	rec, err := m.memoryRecords.Get(ctx, workspace, key)
	m.callers.Done()
	m.callers.Wait()
	return rec, err
}

// submissions counts the attempts that entries submit for placement.
type submissions struct {
	mu    sync.Mutex
	count int
}

type countingPlacer struct {
	placer.Placer
	count *submissions
}

func (c countingPlacer) Submit(service string, r sched.Request, notify placer.Notify) {
	c.count.mu.Lock()
	c.count.count++
	c.count.mu.Unlock()
	c.Placer.Submit(service, r, notify)
}

// orphanedStream is a keyed stream whose entry died after the caller had read some tokens.
type orphanedStream struct {
	prompt  string
	length  int
	store   *memoryStore
	records *memoryRecords
	text    string
	st      transcript
}

func newOrphanedStream(t *testing.T) *orphanedStream {
	t.Helper()
	e := startEngine(t, nil)
	d := &orphanedStream{prompt: "both take over [len=80]", length: 80, store: newMemoryStore(), records: newMemoryRecords()}
	d.text = siteText("", true, []string{e.Addr()}, nil)
	gate := d.store.gate()
	first := newRig(t, d.text, withKeys(gate.claims("e1"), d.records))
	readSome(t, first, callerRequest{prompt: d.prompt, stream: true, key: "k"}, &d.st, 20)
	for _, g := range first.server.table.appendRunning(nil) {
		first.server.record(g, first.server.now(), true)
	}
	crash(t, first, gate, d.records)
	return d
}

// The entry of a keyed stream dies. Two processes of its caller ask two other entries for the rest, and both entries read the
// record before either resumes. Without the claim's transfer, both would run the rest on an engine. One must run it, and the
// other must answer AlreadyRunning and start nothing. In the end the claim holds the outcome and the new holder.
func TestConcurrentTakeOver(t *testing.T) {
	for _, resume := range []bool{true, false} {
		d := newOrphanedStream(t)
		m := &rendezvousRecords{memoryRecords: d.records}
		m.callers.Add(2)
		var count submissions
		a := callerRequest{prompt: d.prompt, stream: true, key: "k"}
		if resume {
			a.lastEvent = d.st.lastID
		}
		answers := make([]*http.Response, 2)
		var wg sync.WaitGroup
		for i, name := range []string{"e2", "e3"} {
			r := newRig(t, d.text, func(o *Options) {
				withKeys(d.store.claims(name, "e1"), m)(o)
				o.Placer = countingPlacer{o.Placer, &count}
			})
			wg.Go(func() { answers[i] = r.send(context.Background(), a) })
		}
		wg.Wait()
		if answers[0].StatusCode != http.StatusOK {
			answers[0], answers[1] = answers[1], answers[0]
		}
		must.Eq(t, http.StatusOK, answers[0].StatusCode)
		must.Eq(t, http.StatusConflict, answers[1].StatusCode, must.Sprint("both entries run the rest"))
		must.Eq(t, result.AlreadyRunning, readError(t, answers[1]).Code)
		must.NotEq(t, "", answers[1].Header.Get("Retry-After"))
		st := &transcript{}
		if resume {
			st = &d.st
		}
		st.read(t, eventsOf(answers[0]), nil)
		st.checkComplete(t, d.prompt, d.length)
		must.Eq(t, 1, count.count)
		eventually(t, "outcome in the table", func() bool { return d.store.countContaining(`"state":"finished"`) == 1 })
		must.Eq(t, 0, d.store.countContaining(`"instance":"e1"`), must.Sprint("the claim still names the dead entry"))
		must.Eq(t, 1, d.store.countContaining(`"attempt":17`), must.Sprint("attempt 1 plus restoreGap"))
	}
}

// The entry of a claimed stream dies while the store is down. Another entry can't know whether a third has resumed the stream,
// so it must send nothing and refuse with a Retry-After. When the store is back, it must resume the stream.
func TestTakeOverWaitsForStore(t *testing.T) {
	d := newOrphanedStream(t)
	gate := d.store.gate()
	r := newRig(t, d.text, withKeys(claimsOn(gate, "e2", []string{"e1"}), d.records))
	a := callerRequest{prompt: d.prompt, stream: true, key: "k", lastEvent: d.st.lastID}
	gate.close()
	refused := r.send(context.Background(), a)
	must.Eq(t, http.StatusServiceUnavailable, refused.StatusCode)
	must.NotEq(t, "", refused.Header.Get("Retry-After"))
	must.Eq(t, result.StoreDown, readError(t, refused).Code)
	_, n := r.server.Counts()
	must.Zero(t, n)
	gate.open()
	d.st.read(t, eventsOf(r.send(context.Background(), a)), nil)
	d.st.checkComplete(t, d.prompt, d.length)
}

// The store is slow while an entry requests a claim, and then refuses it. Until it holds the claim, the entry must not publish
// a record: it would overwrite the dead entry's record and tokens, and later callers would be told that an entry which runs
// nothing holds the stream.
func TestNoRecordBeforeClaim(t *testing.T) {
	for _, resume := range []bool{true, false} {
		d := newOrphanedStream(t)
		want := *d.records.recs["k"]
		gate := d.store.gate()
		gate.hold = make(chan struct{})
		d.records.closed = false
		d.records.recs["k"].Released = true
		r := newRig(t, d.text, withKeys(claimsOn(gate, "e2", []string{"e1"}), d.records))
		a := callerRequest{prompt: d.prompt, stream: true, key: "k"}
		if resume {
			a.lastEvent = d.st.lastID
		}
		var wg sync.WaitGroup
		wg.Go(func() { must.NotEq(t, http.StatusOK, r.send(context.Background(), a).StatusCode) })
		eventually(t, "asked", func() bool { _, n := r.server.Counts(); return n == 1 })
		for _, g := range r.server.table.appendRunning(nil) {
			r.server.record(g, r.server.now(), false)
		}
		gate.close()
		close(gate.hold)
		wg.Wait()
		d.records.mu.Lock()
		must.Eq(t, want.Generation, d.records.recs["k"].Generation)
		must.Eq(t, want.Attempt, d.records.recs["k"].Attempt)
		must.Eq(t, len(want.Tokens), len(d.records.recs["k"].Tokens))
		d.records.mu.Unlock()
	}
}

// Two processes of a caller return at once after its entry died. For the one without a last event ID, the new entry is still
// requesting the claim, under a newly drawn generation ID; the other names its last event. Compared with the new ID, it would
// be told that its stream is lost for good, although it is available a moment later.
func TestReconnectWhileClaimPending(t *testing.T) {
	d := newOrphanedStream(t)
	gate := d.store.gate()
	gate.hold = make(chan struct{})
	answer := sync.OnceFunc(func() { close(gate.hold) })
	r := newRig(t, d.text, withKeys(claimsOn(gate, "e2", []string{"e1"}), d.records))
	t.Cleanup(answer) // runs before the entry is stopped, which waits for its requests
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.send(context.Background(), callerRequest{prompt: d.prompt, stream: true, key: "k"}) })
	eventually(t, "asked", func() bool { _, n := r.server.Counts(); return n == 1 })
	again := callerRequest{prompt: d.prompt, stream: true, key: "k", lastEvent: d.st.lastID}
	must.Eq(t, result.AlreadyRunning, readError(t, r.send(context.Background(), again)).Code)
	answer()
	wg.Wait()
}

// The entry dies before the first token of its stream is recorded. The entry that takes over must mark its attempt in the
// claim, as after any attempt that may have run, under a number above all that may have been used.
func TestTakeOverBeforeFirstToken(t *testing.T) {
	d := newOrphanedStream(t)
	d.records.recs["k"].Tokens = nil
	r := newRig(t, d.text, withKeys(d.store.claims("e2", "e1"), d.records))
	var st transcript
	st.read(t, eventsOf(r.send(context.Background(), callerRequest{prompt: d.prompt, stream: true, key: "k"})), nil)
	st.checkComplete(t, d.prompt, d.length)
	eventually(t, "outcome in the table", func() bool { return d.store.countContaining(`"state":"finished"`) == 1 })
	must.Eq(t, 1, d.store.countContaining(`"attempt":18`))
	must.Eq(t, 1, d.store.countContaining(`"instance":"e2"`))
}

// An entry was frozen, another resumed its keyed stream, and it wakes with its caller still connected. The caller must be told
// to retry with its key, and must get no finish frame. Its next request at the same entry must be answered from the other
// entry's record, not from the superseded generation.
func TestSupersededEntryStops(t *testing.T) {
	e := startEngine(t, nil)
	store, records := newMemoryStore(), newMemoryRecords()
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), withKeys(store.claims("e1"), records))
	a := callerRequest{prompt: "superseded [len=2000]", stream: true, key: "k"}
	var st transcript
	var put uint32
	st.read(t, eventsOf(r.send(context.Background(), a)), func(n int) {
		if n != 20 {
			return
		}
		records.mu.Lock()
		records.recs["k"].Attempt += 17 // as written by the other entry
		put = records.recs["k"].Attempt
		records.mu.Unlock()
		r.server.StopSuperseded(r.server.table.appendRunning(nil)[0].id)
	})
	must.False(t, st.done)
	must.NotNil(t, st.err)
	must.Eq(t, result.TakenOver, st.err.Code)
	eventually(t, "idle", func() bool { _, n := r.server.Counts(); return n == 0 })
	must.Eq(t, put, records.recs["k"].Attempt, must.Sprint("the superseded entry overwrote the other's record"))
	a.lastEvent = st.lastID
	must.Eq(t, result.AlreadyRunning, readError(t, r.send(context.Background(), a)).Code)
}

// The service's generations are idempotent, the store is down, and the entry dies. No claim exists, so another entry must
// resume at once from the record.
func TestIdempotentStreamResumesWithoutStore(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	records, gate := newMemoryRecords(), newMemoryStore().gate()
	gate.close()
	first := newRig(t, text, withKeys(gate.claims("e1"), records))
	second := newRig(t, text, withKeys(gate.claims("e2"), records))
	for _, r := range []*rig{first, second} {
		snap := snapshot(t, text, 2)
		snap.Services["planner-llm"].Idempotent = true
		r.server.Apply(snap)
	}
	a := callerRequest{prompt: "idempotent [len=80]", stream: true, key: "k"}
	var st transcript
	readSome(t, first, a, &st, 20)
	for _, g := range first.server.table.appendRunning(nil) {
		first.server.record(g, first.server.now(), true)
	}
	crash(t, first, gate, records)
	a.lastEvent = st.lastID
	st.read(t, eventsOf(second.send(context.Background(), a)), nil)
	st.checkComplete(t, a.prompt, 80)
}
