package entry

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
)

// Subject is who a request belongs to and what it asks for.
type Subject struct {
	Service     string
	Workspace   string
	Class       string
	Fingerprint uint64 // of the content; equal for resends under other keys
}

// Limiter holds workspaces and classes to their rates and counts.
type Limiter interface {
	// Acquire admits a request or refuses it at once. release is called when the request has ended.
	Acquire(ctx context.Context, s Subject, p *settings.Policy) (release func(), err *result.Error)
}

// Claim is the right to run one keyed request, held in the platform's table. *claim.Claim implements it.
type Claim interface {
	// FirstAttempt is the number to begin with: lower ones may have been used by earlier requests under the key.
	FirstAttempt() uint32
	// Sent must return nil before anything leaves for a target. A refusal ends the claim.
	Sent(ctx context.Context, target string, attempt uint32) *result.Error
	// Resent is Sent after an attempt that may have run. AlreadyRunning ends the claim; after StoreDown only Finish is left.
	Resent(ctx context.Context, target string, attempt uint32) *result.Error
	// Finish keeps the outcome for resends. It doesn't wait for the table.
	Finish(sum claim.Summary)
	// Release gives the key free; only on proof that no target ran the request.
	Release()
}

// Claims makes keyed requests that are not idempotent run at most once, over all entries and their deaths.
type Claims interface {
	// Begin returns the claim to run, or the outcome of an earlier run, or a refusal.
	Begin(ctx context.Context, req claim.Request) (Claim, *claim.Summary, *result.Error)
	// TakeOver moves the claim of a generation to this entry, which goes on with it from its record. used is the
	// highest attempt number that may have been used so far. Results as with Begin; one of several entries gets the claim.
	TakeOver(ctx context.Context, req claim.Request, used uint32) (Claim, *claim.Summary, *result.Error)
}

// TableClaims makes a claim.Table a Claims.
type TableClaims struct{ *claim.Table }

// Begin implements Claims.
func (t TableClaims) Begin(ctx context.Context, req claim.Request) (Claim, *claim.Summary, *result.Error) {
	c, sum, err := t.Table.Begin(ctx, req)
	if c == nil {
		return nil, sum, err
	}
	return c, nil, nil
}

// TakeOver implements Claims.
func (t TableClaims) TakeOver(ctx context.Context, req claim.Request, used uint32) (Claim, *claim.Summary, *result.Error) {
	c, sum, err := t.Table.TakeOver(ctx, req, used)
	if c == nil {
		return nil, sum, err
	}
	return c, nil, nil
}

// Record is what another entry needs to go on with a generation whose entry died.
type Record struct {
	Generation   ids.Generation
	Subject      Subject
	Key          string
	Attempt      uint32
	Target       string
	Path         string
	Request      []byte       // body as accepted
	Tokens       []string     // delivered so far, from index 0
	Finished     bool         // it ended and won't go on; without FinishedWhy it failed
	FinishReason string       // finish reason of the end mark
	Owner        claim.Holder // who put it; zero: this entry
	Released     bool         // its caller left for too long and it was stopped: any entry may go on with it
}

// Records keeps Records with peers, by workspace and key.
type Records interface {
	// Put stores the whole of rec, or only the tokens from index from on when the peer has the rest. It doesn't block.
	Put(rec *Record, from int)
	// Get finds the record of a key. The holder must be known dead or cut off, else it refuses with AlreadyRunning.
	Get(ctx context.Context, workspace, key string) (*Record, *result.Error)
}

// noLimits, and the types below, are the defaults of Options.
type noLimits struct{}

func (noLimits) Acquire(context.Context, Subject, *settings.Policy) (func(), *result.Error) {
	return func() {}, nil
}

// noStore refuses every claim: without the table a keyed non-idempotent request can't be held to one run.
type noStore struct{}

const storeRetryAfter = 5 * time.Second

func (noStore) Begin(context.Context, claim.Request) (Claim, *claim.Summary, *result.Error) {
	err := result.New(result.StoreDown, "this entry has no table")
	err.RetryAfter = storeRetryAfter
	return nil, nil, err
}

func (n noStore) TakeOver(ctx context.Context, req claim.Request, _ uint32) (Claim, *claim.Summary, *result.Error) {
	return n.Begin(ctx, req)
}

type noRecords struct{}

func (noRecords) Put(*Record, int) {}

func (noRecords) Get(context.Context, string, string) (*Record, *result.Error) {
	return nil, result.New(result.UnknownStream, "%s", callerapi.HeaderLastEvent)
}
