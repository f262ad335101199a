// Package claim makes sure that a keyed request runs at most once, across all entries and their failures.
//
// A claim is one record in the platform's table. Begin inserts it as started; MarkSent marks it before anything is sent to a
// target; Finish stores the outcome. Each step is a compare-and-set on the record's revision, so of all entries that assume they hold
// a claim only one can take the step that permits the send. This alone guarantees "at most once". What membership reports about
// other holders only decides between two safe answers:
//
//	record     holder alive        holder has ended
//	started    AlreadyRunning      taken over: it was never sent, and its holder's next step fails
//	sent       AlreadyRunning      ClaimOrphan, unless the target proves that it did not run and never will
//	finished   the outcome is returned again
//	released   taken over
//
// An entry that has a record of what was delivered continues the generation instead, and moves its claim by TakeOver.
//
// The same key with other content is KeyReused in every state. When the store does not answer, Begin and MarkSent refuse with
// StoreDown, which guarantees that the request did not run: nothing is sent without the record.
//
// Finished and released claims are kept for Retention, unfinished ones for OrphanRetention (see Collect). A key sent again after that
// runs again.
package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

// Defaults of Config.
const (
	DefaultTimeout = 2 * time.Second
	DefaultMaxBody = 8 << 10
	// DefaultMaxUnsettled bounds the memory of unsettled claims to a few megabytes.
	DefaultMaxUnsettled = 1024
	// busyRetryAfter is the Retry-After for a key that is in progress.
	busyRetryAfter = 2 * time.Second
	// rewriteDelay is the delay before a write with an unknown outcome is repeated.
	rewriteDelay = 100 * time.Millisecond
	// maxTakeoverTries bounds how often Begin and TakeOver evaluate a record that others keep changing.
	maxTakeoverTries = 4
)

// errTakenOver means that another holder changed the claim's record.
var errTakenOver = errors.New("claim: taken over by another holder")

// Store is the part of the platform's client that claims use.
type Store interface {
	GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	// Era returns the highest era of the table seen in any answer.
	Era() uint64
}

// PriorSend identifies what a holder that has ended may have sent.
type PriorSend struct {
	Generation string
	Target     string
	Attempt    uint32
}

// Config configures a Table.
type Config struct {
	Holder Holder
	// HolderGone reports whether a holder's process has ended. A wrong answer is safe; see the package comment.
	HolderGone func(Holder) bool
	// ProveNotRun reports whether the target proves that it did not run the send, and will reject it from now on. nil: no target
	// can prove it.
	ProveNotRun func(context.Context, PriorSend) bool
	Timeout     time.Duration // of Begin and MarkSent, so that callers are refused rather than delayed; default DefaultTimeout
	MaxBody     int           // longest answer kept, in bytes; default DefaultMaxBody
	// MaxUnsettled bounds the claims never sent that are waiting to be released; default DefaultMaxUnsettled.
	MaxUnsettled int
}

// Table manages this process's claims.
type Table struct {
	cfg       Config
	store     Store
	mu        sync.Mutex
	claims    map[string]*Claim // by key in the platform's table; in progress, or not yet settled in that table
	unwritten int               // outcomes not yet written to the table

	retained      map[string]retainedRecord // records to rewrite after a restore, by key in the platform's table
	era           uint64                    // last known era of the table
	settlingUntil time.Time                 // no claim is begun before this time
}

// New returns a Table without claims.
func New(store Store, cfg Config) *Table {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.MaxUnsettled == 0 {
		cfg.MaxUnsettled = DefaultMaxUnsettled
	}
	return &Table{cfg: cfg, store: store, claims: map[string]*Claim{}, retained: map[string]retainedRecord{}}
}

// Request identifies a caller's keyed request.
type Request struct {
	Workspace   string
	Key         string
	Fingerprint string
	Generation  string
	Owner       Holder // for TakeOver: the holder whose record is continued, known to have ended; zero: this process
}

// Claim is the right to run one request. Its methods are for one goroutine, in the order MarkSent, then Finish or Release.
type Claim struct {
	table *Table
	key   string
	rec   record
	rev   uint64
	done  bool // guarded by table.mu: rec's outcome is known, and returned to resends
}

// FirstAttempt is the lowest attempt number that is certainly unused under this key.
func (c *Claim) FirstAttempt() uint32 { return c.rec.Attempt + 1 }

// Begin claims a key. Exactly one of its results is set: the claim to run, the outcome of an earlier run, or the refusal.
func (t *Table) Begin(ctx context.Context, req Request) (*Claim, *Summary, *result.Error) {
	c := &Claim{
		table: t,
		key:   tableKey(req.Workspace, req.Key),
		rec: record{
			State:       Started,
			ID:          ids.New().String(),
			Fingerprint: req.Fingerprint,
			Holder:      t.cfg.Holder,
			Generation:  req.Generation,
		},
	}
	if sum, err, other := t.register(c); other {
		return nil, sum, err
	}
	if t.isSettling(time.Now()) {
		c.unregister()
		return nil, nil, settlingRefusal()
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	sum, err := c.insert(ctx)
	if sum != nil || err != nil {
		return nil, sum, err
	}
	if t.isSettling(time.Now()) {
		// The answer to this claim was the first one in a new era.
		c.abandon(true)
		return nil, nil, settlingRefusal()
	}
	return c, nil, nil
}

// register registers c as this process's only claim of its key. It returns true when there is another one.
func (t *Table) register(c *Claim) (*Summary, *result.Error, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other, ok := t.claims[c.key]
	if !ok {
		t.claims[c.key] = c
		return nil, nil, false
	}
	switch {
	case other.rec.Fingerprint != c.rec.Fingerprint:
		return nil, keyReused(), true
	case other.done && other.rec.State == Finished:
		return other.rec.Summary, nil, true
	}
	return nil, alreadyRunning("in progress at this entry"), true
}

// unregister removes a claim that has nothing to settle.
func (c *Claim) unregister() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.done = true
	delete(c.table.claims, c.key)
}

// insert writes the first record, or evaluates the existing one.
func (c *Claim) insert(ctx context.Context) (*Summary, *result.Error) {
	for range maxTakeoverTries {
		found, err := c.write(ctx)
		if err != nil && !errors.Is(err, errTakenOver) {
			c.abandon(platform.IsUnknown(err))
			return nil, storeDown(err)
		}
		if err == nil {
			return nil, nil
		}
		sum, refusal := c.resolveExisting(ctx, found)
		if sum != nil || refusal != nil {
			c.unregister()
			return sum, refusal
		}
	}
	c.unregister()
	return nil, alreadyRunning("others claim the same key")
}

// resolveExisting decides on the existing record of an earlier request with the same key. If neither result is set, c may take the claim
// over, and has the record's revision.
func (c *Claim) resolveExisting(ctx context.Context, found platformapi.Item) (*Summary, *result.Error) {
	old, err := decode(found)
	switch {
	case err != nil && found.Rev != 0:
		return nil, result.Wrap(result.ClaimOrphan, err, "the claim can't be read")
	case found.Rev != 0 && old.Fingerprint != c.rec.Fingerprint:
		return nil, keyReused()
	case old.State == Finished && old.Summary == nil:
		return nil, result.New(result.ClaimOrphan, "the claim is finished and says no outcome")
	case old.State == Finished:
		return old.Summary, nil
	}
	if refusal := c.checkTakeable(ctx, old, found.Rev); refusal != nil {
		return nil, refusal
	}
	c.rev, c.rec.Attempt = found.Rev, old.Attempt
	return nil, nil
}

// checkTakeable returns nil when the earlier request was never sent, or is proven not to have run.
func (c *Claim) checkTakeable(ctx context.Context, old record, rev uint64) *result.Error {
	cfg := c.table.cfg
	if rev == 0 || old.State == Released {
		return nil
	}
	if old.Holder != cfg.Holder && !cfg.HolderGone(old.Holder) {
		return alreadyRunning("in progress at " + old.Holder.Instance)
	}
	if old.State == Started {
		return nil
	}
	send := PriorSend{Generation: old.Generation, Target: old.Target, Attempt: old.Attempt}
	if !old.Resumed && cfg.ProveNotRun != nil && cfg.ProveNotRun(ctx, send) {
		return nil
	}
	return result.New(result.ClaimOrphan, "sent to %s by %s, which is gone", old.Target, old.Holder.Instance)
}

// Finish stores the outcome. It does not wait for the table: resends at this entry get the outcome at once, and resends at others once
// it is written. The write is repeated through an outage.
func (c *Claim) Finish(sum Summary) {
	if len(sum.Body) > c.table.cfg.MaxBody {
		sum.Body, sum.Kept = nil, false
	}
	c.end(Finished, &sum)
}

// Release frees the key. Call it only with proof that no target ran the request, or will run it.
func (c *Claim) Release() { c.end(Released, nil) }

// abandon gives up a claim that was never sent. If its record may exist in the table, it is released there.
//
// During an outage, which may last hours, each probe of the store can leave such claims behind; beyond MaxUnsettled they are dropped.
// Resends at other entries then get AlreadyRunning until this process ends.
func (c *Claim) abandon(mayExist bool) {
	if !mayExist || c.table.unwrittenOutcomes() >= c.table.cfg.MaxUnsettled {
		c.unregister()
		return
	}
	c.end(Released, nil)
}

// write replaces the record at revision c.rev by c's record. errTakenOver comes with the item found instead.
//
// An unknown outcome is resolved by writing again: if the first write took effect, the second one finds c's own record.
func (c *Claim) write(ctx context.Context) (platformapi.Item, error) {
	value := c.rec.encode()
	txn := platformapi.Txn{
		Conds: []platformapi.Cond{{Key: c.key, Rev: c.rev}},
		Puts:  []platformapi.Put{{Key: c.key, Value: value}},
	}
	res, err := c.writeOnce(ctx, &txn)
	first := err
	for err != nil && platform.IsUnknown(first) && ctxtime.SleepJittered(ctx, rewriteDelay) {
		res, err = c.writeOnce(ctx, &txn)
	}
	switch {
	case err != nil:
		return platformapi.Item{}, first // a later try's "not committed" does not tell the outcome of the first
	case res.Committed:
		c.rev = res.Rev
		c.table.retain(c, value)
		return platformapi.Item{}, nil
	case len(res.Failed) == 0:
		return platformapi.Item{}, errors.New("claim: transaction not committed, and no failed condition returned")
	case string(res.Failed[0].Value) == string(value):
		c.rev = res.Failed[0].Rev
		c.table.retain(c, value)
		return platformapi.Item{}, nil
	}
	return res.Failed[0], errTakenOver
}

// writeOnce sends the transaction, and again with the revision found if the table was restored from a backup since.
func (c *Claim) writeOnce(ctx context.Context, txn *platformapi.Txn) (platformapi.TxnResult, error) {
	res, err := c.table.store.GroupTxn(ctx, *txn)
	if c.overtakenByRestore(res, err) {
		return c.writeAfterRestore(ctx, txn)
	}
	return res, err
}

func alreadyRunning(detail string) *result.Error {
	return &result.Error{Code: result.AlreadyRunning, Detail: detail, RetryAfter: busyRetryAfter}
}

func keyReused() *result.Error {
	return result.New(result.KeyReused, "the key was used with other content")
}

func storeDown(err error) *result.Error {
	out := result.Wrap(result.StoreDown, err, "claim")
	out.RetryAfter = max(platform.RetryAfter(err), time.Second)
	return out
}
