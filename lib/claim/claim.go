// Package claim lets a keyed request that must not run twice run at most once, over all entries and their deaths.
//
// A claim is one record in the platform's table. Begin inserts it as started; Sent marks it before anything leaves
// for a target; Finish keeps the outcome. Each step is a compare-and-set on the record's revision, so of all who
// believe that they hold a claim only one can take the step that allows the send. That alone carries "at most once".
// What membership says of other holders decides only between two safe answers:
//
//	record     holder lives        holder is gone
//	started    AlreadyRunning      taken over: it was never sent, and its holder's next step fails
//	sent       AlreadyRunning      ClaimOrphan, unless the target proves that it did not run and never will
//	finished   the outcome is told again
//	released   taken over
//
// Who has a record of what was delivered goes on with a generation instead, and moves its claim by TakeOver.
//
// The same key with other content is KeyReused in every state. When the store does not answer, Begin and Sent refuse
// with StoreDown, not run: nothing is sent without the record.
//
// Finished and released claims are kept for Retention, unfinished ones for OrphanRetention (see Collect). A key sent
// again after that runs again.
package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

// Defaults of Config.
const (
	DefaultTimeout = 2 * time.Second
	DefaultMaxBody = 8 << 10
	// DefaultMaxUnsettled claims hold a few megabytes.
	DefaultMaxUnsettled = 1024
	// busyRetryAfter is told to the sender of a key that is in progress.
	busyRetryAfter = 2 * time.Second
	// rewriteWait passes before a write with an unknown outcome is made again.
	rewriteWait = 100 * time.Millisecond
	// takeovers bounds how often Begin judges a record that others keep changing.
	takeovers = 4
)

// errTaken ends a claim whose record another holder changed.
var errTaken = errors.New("claim: another holder has taken it over")

// Store is the part of the platform's client that claims use.
type Store interface {
	GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	// Era returns the highest era of the table that an answer has told.
	Era() uint64
}

// PriorSend names what a holder that is gone may have sent.
type PriorSend struct {
	Generation string
	Target     string
	Attempt    uint32
}

// Config sets up a Table.
type Config struct {
	Holder Holder
	// HolderGone reports that a holder's process has ended. A wrong answer is safe; see the package comment.
	HolderGone func(Holder) bool
	// ProveNotRun reports that the target proves that it did not run the send, and that it will refuse it from now on.
	// nil: no target can.
	ProveNotRun func(context.Context, PriorSend) bool
	Timeout     time.Duration // of Begin and Sent: a caller is refused rather than held; default DefaultTimeout
	MaxBody     int           // longest answer kept, bytes; default DefaultMaxBody
	// MaxUnsettled bounds the claims never sent that wait to be released; default DefaultMaxUnsettled.
	MaxUnsettled int
}

// Table holds this process's claims.
type Table struct {
	cfg    Config
	store  Store
	mu     sync.Mutex
	claims map[string]*Claim // by key in the platform's table; in progress, or not yet settled there
	ending int               // outcomes on their way to the table

	kept    map[string]kept // records to write again, by key in the platform's table
	era     uint64          // of the table, when a claim was last begun
	settled time.Time       // none is begun until then
}

// New returns an empty Table.
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
	return &Table{cfg: cfg, store: store, claims: map[string]*Claim{}, kept: map[string]kept{}}
}

// Request is what a caller sent.
type Request struct {
	Workspace   string
	Key         string
	Fingerprint string
	Generation  string
	Owner       Holder // for TakeOver: whose record is gone on with, and known to have ended; zero: this process's
}

// Claim is a right to run one request. Its methods are for one goroutine, in the order Sent, then Finish or Release.
type Claim struct {
	table *Table
	key   string
	rec   record
	rev   uint64
	done  bool // under table.mu: rec's outcome is known, and told to resends
}

// FirstAttempt is the lowest attempt number that was certainly not used under this key.
func (c *Claim) FirstAttempt() uint32 { return c.rec.Attempt + 1 }

// Begin claims a key. Exactly one of its results is set: the claim to run, the outcome of an earlier run, or the
// refusal.
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
	if sum, err, other := t.enter(c); other {
		return nil, sum, err
	}
	if t.settles(time.Now()) {
		c.leave()
		return nil, nil, settling()
	}
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Timeout)
	defer cancel()
	sum, err := c.insert(ctx)
	if sum != nil || err != nil {
		return nil, sum, err
	}
	if t.settles(time.Now()) {
		// The first answer of a new era was the one to this claim.
		c.abandon(true)
		return nil, nil, settling()
	}
	return c, nil, nil
}

// enter makes c this process's only claim of its key; it reports true when another is there.
func (t *Table) enter(c *Claim) (*Summary, *result.Error, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other, ok := t.claims[c.key]
	if !ok {
		t.claims[c.key] = c
		return nil, nil, false
	}
	switch {
	case other.rec.Fingerprint != c.rec.Fingerprint:
		return nil, reused(), true
	case other.done && other.rec.State == Finished:
		return other.rec.Summary, nil, true
	}
	return nil, busy("in progress at this entry"), true
}

// leave ends a claim that has nothing to settle.
func (c *Claim) leave() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.done = true
	delete(c.table.claims, c.key)
}

// insert writes the first record, or judges the one that stands there.
func (c *Claim) insert(ctx context.Context) (*Summary, *result.Error) {
	for range takeovers {
		found, err := c.write(ctx)
		if err != nil && !errors.Is(err, errTaken) {
			c.abandon(platform.IsUnknown(err))
			return nil, storeDown(err)
		}
		if err == nil {
			return nil, nil
		}
		sum, refusal := c.judge(ctx, found)
		if sum != nil || refusal != nil {
			c.leave()
			return sum, refusal
		}
	}
	c.leave()
	return nil, busy("others claim the same key")
}

// judge decides on the record of an earlier request with the same key. Neither result set: c may take it over, and
// carries its revision.
func (c *Claim) judge(ctx context.Context, found platformapi.Item) (*Summary, *result.Error) {
	old, err := decode(found)
	switch {
	case err != nil && found.Rev != 0:
		return nil, result.Wrap(result.ClaimOrphan, err, "the claim can't be read")
	case found.Rev != 0 && old.Fingerprint != c.rec.Fingerprint:
		return nil, reused()
	case old.State == Finished && old.Summary == nil:
		return nil, result.New(result.ClaimOrphan, "the claim is finished and says no outcome")
	case old.State == Finished:
		return old.Summary, nil
	}
	if refusal := c.mayTake(ctx, old, found.Rev); refusal != nil {
		return nil, refusal
	}
	c.rev, c.rec.Attempt = found.Rev, old.Attempt
	return nil, nil
}

// mayTake returns nil when the earlier request was never sent, or is proved not run.
func (c *Claim) mayTake(ctx context.Context, old record, rev uint64) *result.Error {
	cfg := c.table.cfg
	if rev == 0 || old.State == Released {
		return nil
	}
	if old.Holder != cfg.Holder && !cfg.HolderGone(old.Holder) {
		return busy("in progress at " + old.Holder.Instance)
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

// Finish keeps the outcome. It does not wait for the table: the outcome is told to resends at this entry at once, and
// at others once it is written, which goes on through an outage.
func (c *Claim) Finish(sum Summary) {
	if len(sum.Body) > c.table.cfg.MaxBody {
		sum.Body, sum.Kept = nil, false
	}
	c.end(Finished, &sum)
}

// Release gives the key free. Call it only on proof that no target ran the request, or will.
func (c *Claim) Release() { c.end(Released, nil) }

// abandon gives up a claim that was never sent. When it may stand in the table, it is released there.
//
// During an outage each probe of the store can leave such claims behind, for hours; past MaxUnsettled they are
// dropped. Resends at other entries then hear AlreadyRunning until this process ends.
func (c *Claim) abandon(mayStand bool) {
	if !mayStand || c.table.outcomes() >= c.table.cfg.MaxUnsettled {
		c.leave()
		return
	}
	c.end(Released, nil)
}

// write puts c's record over revision c.rev. errTaken comes with the item that stands in the way.
//
// An unknown outcome is settled by writing again: when the first write took effect, its own record is in the way.
func (c *Claim) write(ctx context.Context) (platformapi.Item, error) {
	value := c.rec.encode()
	txn := platformapi.Txn{
		Conds: []platformapi.Cond{{Key: c.key, Rev: c.rev}},
		Puts:  []platformapi.Put{{Key: c.key, Value: value}},
	}
	res, err := c.table.store.GroupTxn(ctx, txn)
	if c.crossed(res, err) {
		res, err = c.writeAcross(ctx, &txn, res, err)
	}
	first := err
	for err != nil && platform.IsUnknown(first) && pause(ctx, rewriteWait) {
		res, err = c.table.store.GroupTxn(ctx, txn)
	}
	switch {
	case err != nil:
		return platformapi.Item{}, first // a later try's "not committed" says nothing of the first
	case res.Committed:
		c.rev = res.Rev
		c.table.note(c, value)
		return platformapi.Item{}, nil
	case len(res.Failed) == 0:
		return platformapi.Item{}, errors.New("claim: refused without a reason")
	case string(res.Failed[0].Value) == string(value):
		c.rev = res.Failed[0].Rev
		c.table.note(c, value)
		return platformapi.Item{}, nil
	}
	return res.Failed[0], errTaken
}

func busy(detail string) *result.Error {
	return &result.Error{Code: result.AlreadyRunning, Detail: detail, RetryAfter: busyRetryAfter}
}

func reused() *result.Error {
	return result.New(result.KeyReused, "the key was used with other content")
}

func storeDown(err error) *result.Error {
	out := result.Wrap(result.StoreDown, err, "claim")
	out.RetryAfter = max(platform.RetryAfter(err), time.Second)
	return out
}
