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
	Acquire(s Subject, p *settings.Policy) (release func(), err *result.Error)
}

// Retries holds the retry budgets of workspaces.
type Retries interface {
	// First counts a first attempt, which earns a fraction of a retry.
	First(s Subject, p *settings.Policy)
	// Retry spends one retry and reports whether there was one.
	Retry(s Subject, p *settings.Policy) bool
}

// Breaker stops sending to a target whose link or process fails.
type Breaker interface {
	Allow(target string) bool
	Done(target string, ok bool)
}

// Stalls bounds how long an attempt may give no token.
type Stalls interface {
	// FirstToken bounds the wait for an attempt's first token, the engine's own queue included.
	FirstToken(target string, p *settings.Policy) time.Duration
	// NextToken bounds the wait between tokens.
	NextToken(target string, p *settings.Policy) time.Duration
	// Observe tells a time between tokens that was seen.
	Observe(target string, d time.Duration)
}

// Poison knows content that kills the targets that run it.
type Poison interface {
	// Check refuses content that is barred.
	Check(s Subject) *result.Error
	// Died counts the death of a target while it ran the content.
	Died(s Subject, target string)
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

// Picker chooses the target of a plain call.
type Picker interface {
	// Pick returns a target's name, or "" when none is usable. done tells whether the call was answered.
	Pick(service string, avoid []string) (target string, done func(ok bool))
}

// noLimits, and the types below, are the defaults of Options.
type noLimits struct{}

func (noLimits) Acquire(Subject, *settings.Policy) (func(), *result.Error) { return func() {}, nil }

type freeRetries struct{}

func (freeRetries) First(Subject, *settings.Policy)      {}
func (freeRetries) Retry(Subject, *settings.Policy) bool { return true }

type closedBreaker struct{}

func (closedBreaker) Allow(string) bool { return true }
func (closedBreaker) Done(string, bool) {}

// fixedStalls bounds the wait between tokens by a multiple of the stall floor.
type fixedStalls struct{}

const (
	stallFactor      = 2
	firstTokenFactor = 10
	defaultStall     = 2 * time.Second
)

func stallFloor(p *settings.Policy) time.Duration {
	if p.StallFloor > 0 {
		return p.StallFloor
	}
	return defaultStall
}

func (fixedStalls) FirstToken(_ string, p *settings.Policy) time.Duration {
	return max(firstTokenFactor*stallFloor(p), p.MaxWait)
}

func (fixedStalls) NextToken(_ string, p *settings.Policy) time.Duration {
	return stallFactor * stallFloor(p)
}

func (fixedStalls) Observe(string, time.Duration) {}

type noPoison struct{}

func (noPoison) Check(Subject) *result.Error { return nil }
func (noPoison) Died(Subject, string)        {}

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
