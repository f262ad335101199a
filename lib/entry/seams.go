package entry

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/callerapi"
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

// Claim is the durable record of a keyed request.
type Claim interface {
	// Finish records the outcome, so that a resend is answered truthfully.
	Finish(ctx context.Context, code result.Code)
	// Withdraw removes the claim of a request that is proved not run.
	Withdraw(ctx context.Context)
}

// Claims makes keyed non-idempotent requests run at most once, over all entries.
type Claims interface {
	Claim(ctx context.Context, s Subject, key string) (Claim, *result.Error)
}

// Record is what another entry needs to go on with a generation whose entry died.
type Record struct {
	Generation  ids.Generation
	Subject     Subject
	Key         string
	Attempt     uint32
	Target      string
	Path        string
	Request     []byte   // body as accepted
	Tokens      []string // delivered so far, from index 0
	Finished    bool
	FinishedWhy string // finish reason of the end mark
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

func (noStore) Claim(context.Context, Subject, string) (Claim, *result.Error) {
	err := result.New(result.StoreDown, "this entry has no table")
	err.RetryAfter = storeRetryAfter
	return nil, err
}

type noRecords struct{}

func (noRecords) Put(*Record, int) {}

func (noRecords) Get(context.Context, string, string) (*Record, *result.Error) {
	return nil, result.New(result.UnknownStream, "%s", callerapi.HeaderLastEvent)
}
