package resume

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/owner"
)

const (
	// recordTimeout bounds how long a first event waits for its record. Events that arrive later than 120 ms count as late.
	recordTimeout = 80 * time.Millisecond
	// substituteAfter is the silence of a holder after which another peer gets the record, too.
	substituteAfter = 30 * time.Millisecond
	// sendTimeout bounds the attempts to send a record to one peer.
	sendTimeout = 400 * time.Millisecond
	// silentFor is how long a peer that has not acknowledged a record gets no others, if there are enough peers.
	silentFor = 2 * time.Second
	// queryTimeout bounds the search for a record among peers, and storeTimeout that in the store.
	queryTimeout = 160 * time.Millisecond
	storeTimeout = 600 * time.Millisecond
	// keeperTimeout bounds the wait for one keeper: one that has stopped may still be listed.
	keeperTimeout = 150 * time.Millisecond
)

var (
	recorded        = metrics.NewCounter(`anvilwick_resume_records_total{holders="2"}`)
	recordedOnce    = metrics.NewCounter(`anvilwick_resume_records_total{holders="1"}`)
	recordedNowhere = metrics.NewCounter(`anvilwick_resume_records_total{holders="0"}`)
	storedLate      = metrics.NewCounter(`anvilwick_resume_stored_late_total`)
	recordTime      = metrics.NewHistogram(`anvilwick_resume_record_seconds`)
	foundHere       = metrics.NewCounter(`anvilwick_resume_found_total{where="here"}`)
	foundAtPeer     = metrics.NewCounter(`anvilwick_resume_found_total{where="peer"}`)
	foundInStore    = metrics.NewCounter(`anvilwick_resume_found_total{where="store"}`)
	notFound        = metrics.NewCounter(`anvilwick_resume_found_total{where="nowhere"}`)
)

// Query requests the record of a stream.
type Query struct {
	Key     uint64
	Service string
	Store   bool // also in the store, by the instance that receives it
}

// Found is the answer to a Query.
type Found struct {
	Software uint64 // that began the stream; 0: unknown
	Settled  bool   // without Software: the store was read, so that another query is in vain
}

// Transport exchanges records with peers.
type Transport interface {
	// SendRecords has a peer hold records, or with store write them to the store. It reports whether the peer has acknowledged them.
	SendRecords(ctx context.Context, to owner.Instance, entries []Entry, store bool) bool
	// FindRecord queries a peer for a record; ok is false without an answer.
	FindRecord(ctx context.Context, to owner.Instance, q Query) (f Found, ok bool)
}

// Recorder records streams at peers and finds their records. It is safe for concurrent use.
type Recorder struct {
	self      owner.Instance
	transport Transport
	keeper    *Keeper
	table     *Table
	ranking   atomic.Pointer[ranking]
	keepers   atomic.Pointer[[]owner.Instance]

	mu     sync.Mutex
	silent map[string]time.Time // when a peer last failed to acknowledge
	outbox []Entry              // on their way to the store
	wake   chan struct{}
}

// NewRecorder returns the Recorder of an instance, which knows no peers yet.
func NewRecorder(self owner.Instance, transport Transport, keeper *Keeper) *Recorder {
	r := &Recorder{
		self: self, transport: transport, keeper: keeper, table: NewTable(), silent: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
	r.SetInstances(nil)
	return r
}

// keepersPerDomain is the number of candidates in each failure domain for writing records to the store.
const keepersPerDomain = 3

// SetInstances replaces the known instances.
func (r *Recorder) SetInstances(list []owner.Instance) {
	r.ranking.Store(newRanking(r.self.Name, list))
	keepers := owner.NewCandidates(list).Top(r.self.Domain, keeperKey, keepersPerDomain)
	if len(keepers) == 0 {
		keepers = []owner.Instance{r.self}
	}
	r.keepers.Store(&keepers)
}

// Record records a stream at peers. It returns once two hold the record, or after recordTimeout; further attempts follow in the background.
// With store the record is also written to the store, in the background.
func (r *Recorder) Record(e Entry, store bool) {
	start := time.Now()
	e.Stored = store
	r.table.Put(start, e)
	if store {
		r.table.MarkUnstored(r.enqueue([]Entry{e}))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.replicate(e)
	}()
	t := time.NewTimer(recordTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	recordTime.Update(time.Since(start).Seconds())
}

// replicate sends a record to peers until two hold it. A peer that is silent for a moment is substituted by the next in rank.
func (r *Recorder) replicate(e Entry) {
	peers := r.awakeFirst(r.ranking.Load().top(e.Key, queriedPeers))
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	acks := make(chan bool, len(peers))
	next, pending, held := 0, 0, 0
	send := func() {
		if next == len(peers) {
			return
		}
		to := peers[next]
		next++
		pending++
		go func() {
			ok := r.transport.SendRecords(ctx, to, []Entry{e}, false)
			r.noteSilence(to.Name, ok || ctx.Err() == context.Canceled)
			acks <- ok
		}()
	}
	for range copies {
		send()
	}
	t := time.NewTicker(substituteAfter)
	defer t.Stop()
	for held < copies && pending > 0 {
		select {
		case ok := <-acks:
			pending--
			if ok {
				held++
			} else {
				send()
			}
		case <-t.C:
			send()
		}
	}
	[]*metrics.Counter{recordedNowhere, recordedOnce, recorded}[min(held, copies)].Inc()
}

// noteSilence records whether a peer has acknowledged a record.
func (r *Recorder) noteSilence(peer string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silent, peer)
		return
	}
	r.silent[peer] = time.Now()
}

// awakeFirst orders peers so that silent ones come last.
func (r *Recorder) awakeFirst(peers []owner.Instance) []owner.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var awake, silent []owner.Instance
	for _, p := range peers {
		if time.Since(r.silent[p.Name]) < silentFor {
			silent = append(silent, p)
		} else {
			awake = append(awake, p)
		}
	}
	return append(awake, silent...)
}

// Receive holds records of a peer, or with store writes them to the store.
func (r *Recorder) Receive(entries []Entry, store bool) {
	now := time.Now()
	for _, e := range entries {
		e.Stored = e.Stored || store
		r.table.Put(now, e)
	}
	if store {
		r.keeper.Add(r.table.Queue(entries)) // several instances may hold a record
	}
}

// Answer answers a peer's query.
func (r *Recorder) Answer(ctx context.Context, q Query) Found {
	if e, ok := r.table.Get(time.Now(), q.Key); ok {
		return Found{Software: e.Software, Settled: true}
	}
	if !q.Store {
		return Found{}
	}
	return r.keeper.Find(ctx, q)
}

// Find returns which version began a stream.
func (r *Recorder) Find(ctx context.Context, key uint64, service string) Found {
	q := Query{Key: key, Service: service}
	if e, ok := r.table.Get(time.Now(), key); ok {
		foundHere.Inc()
		return Found{Software: e.Software, Settled: true}
	}
	f, ok, answered := r.queryPeers(ctx, q)
	if ok {
		foundAtPeer.Inc()
		return f
	}
	f = r.queryKeepers(ctx, q)
	if f.Software != 0 && !answered {
		f = r.confirm(ctx, q, f)
	}
	if f.Software != 0 {
		foundInStore.Inc()
	} else {
		notFound.Inc()
	}
	return f
}

// confirm checks what was found in the store while a peer that may hold the record has not answered.
func (r *Recorder) confirm(ctx context.Context, q Query, f Found) Found {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.keeper.Confirm(ctx, q, f.Software)
}

// queryPeers queries the peers that may hold a record; ok is false if none does. answered reports whether all of them have said so.
func (r *Recorder) queryPeers(ctx context.Context, q Query) (f Found, ok, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peers := r.ranking.Load().top(q.Key, queriedPeers)
	type answer struct {
		Found
		ok bool
	}
	answers := make(chan answer, len(peers))
	for _, to := range peers {
		go func() {
			f, ok := r.transport.FindRecord(ctx, to, q)
			answers <- answer{f, ok}
		}()
	}
	answered = true
	for range peers {
		a := <-answers
		if a.Software != 0 || a.Settled {
			return a.Found, true, true
		}
		answered = answered && a.ok
	}
	return Found{}, false, answered
}

// queryKeepers queries the instances of the own failure domain that read the store, in turn until one answers.
func (r *Recorder) queryKeepers(ctx context.Context, q Query) Found {
	q.Store = true
	for _, to := range r.awakeFirst(*r.keepers.Load()) {
		if to.Name == r.self.Name {
			break
		}
		queryCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
		f, ok := r.transport.FindRecord(queryCtx, to, q)
		cancel()
		r.noteSilence(to.Name, ok || ctx.Err() != nil)
		if ok {
			return f
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.keeper.Find(ctx, q)
}
