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

// Subject identifies the owner of a request and what it requests.
type Subject struct {
	Service     string
	Workspace   string
	Class       string
	Fingerprint uint64 // content fingerprint; equal for resends under other keys
}

// Limiter enforces the rate and concurrency limits of workspaces and classes.
type Limiter interface {
	// Acquire admits a request or refuses it immediately. release must be called when the request has ended.
	Acquire(ctx context.Context, s Subject, p *settings.Policy) (release func(), err *result.Error)
}

// Claim is the right to run one keyed request, recorded in the platform's table. *claim.Claim implements it.
type Claim interface {
	// FirstAttempt is the first attempt number to use: earlier requests under the key may have used lower ones.
	FirstAttempt() uint32
	// MarkSent must return nil before anything is sent to a target. An error ends the claim.
	MarkSent(ctx context.Context, target string, attempt uint32) *result.Error
	// MarkResent replaces Sent after an attempt that may have run. AlreadyRunning ends the claim; after StoreDown only Finish
	// may be called.
	MarkResent(ctx context.Context, target string, attempt uint32) *result.Error
	// Finish stores the outcome for resends. It doesn't wait for the table.
	Finish(sum claim.Summary)
	// Release frees the key. It requires proof that no target ran the request.
	Release()
}

// Claims makes keyed non-idempotent requests run at most once across all entries, including when entries die.
type Claims interface {
	// Begin returns a claim to run the request, the outcome of an earlier run, or a refusal.
	Begin(ctx context.Context, req claim.Request) (Claim, *claim.Summary, *result.Error)
	// TakeOver transfers the claim of a generation to this entry, which resumes it from its record. used is the highest
	// attempt number that may have been used so far. It returns the same results as Begin; only one of several competing
	// entries gets the claim.
	TakeOver(ctx context.Context, req claim.Request, used uint32) (Claim, *claim.Summary, *result.Error)
}

// TableClaims adapts a claim.Table to Claims.
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

// Record is what another entry needs to resume a generation whose entry died.
type Record struct {
	Generation   ids.Generation
	Subject      Subject
	Key          string
	Attempt      uint32
	Target       string
	Path         string
	Request      []byte       // body as accepted
	Tokens       []string     // delivered so far, from index 0
	Software     string       // version of the engine's software that made them
	Finished     bool         // it ended and won't be resumed; without FinishReason it failed
	FinishReason string       // finish reason from the finish frame
	Owner        claim.Holder // the entry that put it; zero: this entry
	Released     bool         // stopped because its caller stayed away too long: any entry may resume it
}

// Records replicates records to peers, by workspace and key.
type Records interface {
	// Put stores the whole of rec, or only the tokens starting at from if the peer has the earlier ones. It doesn't block.
	Put(rec *Record, from int)
	// Get returns the record of a key, or AlreadyRunning unless its holder is known to be dead or partitioned.
	Get(ctx context.Context, workspace, key string) (*Record, *result.Error)
}

// noLimits, noStore and noRecords are the defaults of Options.
type noLimits struct{}

func (noLimits) Acquire(context.Context, Subject, *settings.Policy) (func(), *result.Error) {
	return func() {}, nil
}

// noStore refuses every claim: without the table, at-most-once can't be guaranteed for keyed non-idempotent requests.
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
