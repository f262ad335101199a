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

// meeting is a Records that gives out a record only when all who were expected have asked for it.
type meeting struct {
	*memoryRecords
	all sync.WaitGroup
}

func (m *meeting) Get(ctx context.Context, workspace, key string) (*Record, *result.Error) {
	rec, err := m.memoryRecords.Get(ctx, workspace, key)
	m.all.Done()
	m.all.Wait()
	return rec, err
}

// attempts counts the attempts that entries ask places for.
type attempts struct {
	mu sync.Mutex
	n  int
}

type countedPlacer struct {
	placer.Placer
	count *attempts
}

func (c countedPlacer) Submit(service string, r sched.Request, notify placer.Notify) {
	c.count.mu.Lock()
	c.count.n++
	c.count.mu.Unlock()
	c.Placer.Submit(service, r, notify)
}

// deadStream is a keyed stream whose caller has read some tokens when its entry dies.
type deadStream struct {
	prompt  string
	length  int
	store   *memoryStore
	records *memoryRecords
	text    string
	st      story
}

func newDeadStream(t *testing.T) *deadStream {
	t.Helper()
	e := startEngine(t, nil)
	d := &deadStream{prompt: "both take over [len=80]", length: 80, store: newMemoryStore(), records: newMemoryRecords()}
	d.text = siteText("", true, []string{e.Addr()}, nil)
	way := d.store.gate()
	first := newRig(t, d.text, withKeys(way.claims("e1"), d.records))
	readSome(t, first, ask{prompt: d.prompt, stream: true, key: "k"}, &d.st, 20)
	for _, g := range first.server.table.running(nil) {
		first.server.record(g, first.server.now(), true)
	}
	die(t, first, way, d.records)
	return d
}

// The entry of a keyed stream dies. Two processes of its caller ask two other entries for the rest, and both find the
// record before either has begun. Without the claim's move, both entries run the rest on an engine. One of them must, and
// the other say that it runs already and that it started nothing. In the end the claim tells the outcome, and by whom.
func TestTwoEntriesTakeOverAtOnce(t *testing.T) {
	for _, resume := range []bool{true, false} {
		d := newDeadStream(t)
		m := &meeting{memoryRecords: d.records}
		m.all.Add(2)
		var count attempts
		a := ask{prompt: d.prompt, stream: true, key: "k"}
		if resume {
			a.last = d.st.lastID
		}
		answers := make([]*http.Response, 2)
		var wg sync.WaitGroup
		for i, name := range []string{"e2", "e3"} {
			r := newRig(t, d.text, func(o *Options) {
				withKeys(d.store.claims(name, "e1"), m)(o)
				o.Placer = countedPlacer{o.Placer, &count}
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
		st := &story{}
		if resume {
			st = &d.st
		}
		st.read(t, eventsOf(answers[0]), nil)
		st.whole(t, d.prompt, d.length)
		must.Eq(t, 1, count.n)
		eventually(t, "outcome in the table", func() bool { return d.store.holds(`"state":"finished"`) == 1 })
		must.Eq(t, 0, d.store.holds(`"instance":"e1"`), must.Sprint("the claim still names the dead entry"))
		must.Eq(t, 1, d.store.holds(`"attempt":17`), must.Sprint("1 and the gap"))
	}
}

// The entry of a claimed stream dies while the platform is down. Another entry can't know whether a third goes on with it
// at this moment, so it sends nothing, and tells its caller so and when to ask again. With the store back it goes on.
func TestTakeOverWaitsForTheStore(t *testing.T) {
	d := newDeadStream(t)
	way := d.store.gate()
	r := newRig(t, d.text, withKeys(claimsOn(way, "e2", []string{"e1"}), d.records))
	a := ask{prompt: d.prompt, stream: true, key: "k", last: d.st.lastID}
	way.shut()
	refused := r.send(context.Background(), a)
	must.Eq(t, http.StatusServiceUnavailable, refused.StatusCode)
	must.NotEq(t, "", refused.Header.Get("Retry-After"))
	must.Eq(t, result.StoreDown, readError(t, refused).Code)
	_, n := r.server.Counts()
	must.Zero(t, n)
	way.open()
	d.st.read(t, eventsOf(r.send(context.Background(), a)), nil)
	d.st.whole(t, d.prompt, d.length)
}

// The store is slow while an entry asks for a claim, and then refuses. Until the claim is its own the entry must not tell
// the peers that it runs the generation: its record would stand in place of the dead entry's, with its tokens, and every
// later caller would hear that an entry which runs nothing holds the stream.
func TestNoRecordBeforeTheClaim(t *testing.T) {
	for _, resume := range []bool{true, false} {
		d := newDeadStream(t)
		want := *d.records.recs["k"]
		way := d.store.gate()
		way.slow = make(chan struct{})
		d.records.stop = false
		d.records.recs["k"].Released = true
		r := newRig(t, d.text, withKeys(claimsOn(way, "e2", []string{"e1"}), d.records))
		a := ask{prompt: d.prompt, stream: true, key: "k"}
		if resume {
			a.last = d.st.lastID
		}
		var wg sync.WaitGroup
		wg.Go(func() { must.NotEq(t, http.StatusOK, r.send(context.Background(), a).StatusCode) })
		eventually(t, "asked", func() bool { _, n := r.server.Counts(); return n == 1 })
		for _, g := range r.server.table.running(nil) {
			r.server.record(g, r.server.now(), false)
		}
		way.shut()
		close(way.slow)
		wg.Wait()
		d.records.mu.Lock()
		must.Eq(t, want.Generation, d.records.recs["k"].Generation)
		must.Eq(t, want.Attempt, d.records.recs["k"].Attempt)
		must.Eq(t, len(want.Tokens), len(d.records.recs["k"].Tokens))
		d.records.mu.Unlock()
	}
}

// Two processes of a caller come back at once after its entry died. The entry that they ask is still asking for the claim
// for the one that names no event, under a generation that it just drew; the other names the event it saw last. Held
// against the drawn generation it would hear that its stream is lost, for good, while the next second gives it the rest.
func TestComesBackWhileTheClaimIsAskedFor(t *testing.T) {
	d := newDeadStream(t)
	way := d.store.gate()
	way.slow = make(chan struct{})
	answer := sync.OnceFunc(func() { close(way.slow) })
	r := newRig(t, d.text, withKeys(claimsOn(way, "e2", []string{"e1"}), d.records))
	t.Cleanup(answer) // before the entry is stopped, which waits for its requests
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.send(context.Background(), ask{prompt: d.prompt, stream: true, key: "k"}) })
	eventually(t, "asked", func() bool { _, n := r.server.Counts(); return n == 1 })
	again := ask{prompt: d.prompt, stream: true, key: "k", last: d.st.lastID}
	must.Eq(t, result.AlreadyRunning, readError(t, r.send(context.Background(), again)).Code)
	answer()
	wg.Wait()
}

// The entry dies before the first token of its stream is in the record. The entry that goes on marks its attempt in the
// claim that it took over, as after any attempt that may have run, under a number above those that may have been used.
func TestTakeOverBeforeTheFirstToken(t *testing.T) {
	d := newDeadStream(t)
	d.records.recs["k"].Tokens = nil
	r := newRig(t, d.text, withKeys(d.store.claims("e2", "e1"), d.records))
	var st story
	st.read(t, eventsOf(r.send(context.Background(), ask{prompt: d.prompt, stream: true, key: "k"})), nil)
	st.whole(t, d.prompt, d.length)
	eventually(t, "outcome in the table", func() bool { return d.store.holds(`"state":"finished"`) == 1 })
	must.Eq(t, 1, d.store.holds(`"attempt":18`))
	must.Eq(t, 1, d.store.holds(`"instance":"e2"`))
}

// An entry was frozen, another goes on with its keyed stream, and it wakes with its caller still connected. The caller must
// be told to ask again with its key, and get no end mark. Its next request at the same entry must be led to the record of
// the other, which holds the stream, and not to what is left of it here.
func TestSupersededEntryGivesWay(t *testing.T) {
	e := startEngine(t, nil)
	store, records := newMemoryStore(), newMemoryRecords()
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), withKeys(store.claims("e1"), records))
	a := ask{prompt: "superseded [len=2000]", stream: true, key: "k"}
	var st story
	var put uint32
	st.read(t, eventsOf(r.send(context.Background(), a)), func(n int) {
		if n != 20 {
			return
		}
		records.mu.Lock()
		records.recs["k"].Attempt += 17 // of the other entry
		put = records.recs["k"].Attempt
		records.mu.Unlock()
		r.server.StopSuperseded(r.server.table.running(nil)[0].id)
	})
	must.False(t, st.done)
	must.NotNil(t, st.err)
	must.Eq(t, result.TakenOver, st.err.Code)
	eventually(t, "idle", func() bool { _, n := r.server.Counts(); return n == 0 })
	must.Eq(t, put, records.recs["k"].Attempt, must.Sprint("its record stands over the other's"))
	a.last = st.lastID
	must.Eq(t, result.AlreadyRunning, readError(t, r.send(context.Background(), a)).Code)
}

// Generations of the service are idempotent, the store is down, and its entry dies. No claim holds it, so that another entry goes
// on with it at once from the record.
func TestIdempotentStreamGoesOnWithoutTheStore(t *testing.T) {
	e := startEngine(t, nil)
	text := siteText("", true, []string{e.Addr()}, nil)
	records, way := newMemoryRecords(), newMemoryStore().gate()
	way.shut()
	first := newRig(t, text, withKeys(way.claims("e1"), records))
	second := newRig(t, text, withKeys(way.claims("e2"), records))
	for _, r := range []*rig{first, second} {
		snap := snapshot(t, text, 2)
		snap.Services["planner-llm"].Idempotent = true
		r.server.Apply(snap)
	}
	a := ask{prompt: "idempotent [len=80]", stream: true, key: "k"}
	var st story
	readSome(t, first, a, &st, 20)
	for _, g := range first.server.table.running(nil) {
		first.server.record(g, first.server.now(), true)
	}
	die(t, first, way, records)
	a.last = st.lastID
	st.read(t, eventsOf(second.send(context.Background(), a)), nil)
	st.whole(t, a.prompt, 80)
}
