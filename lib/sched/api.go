// Package sched decides on which model engine each generation runs, which generations wait, and which are moved.
//
// An Owner holds the soft state of one shard: up to about 32 targets of one service. It is deterministic and does no
// I/O: it starts no goroutines and reads no clock; callers pass the time. The same code therefore runs in the entry, in
// randomised tests and in the bench. Losing an Owner costs performance only: the entries keep all promises to callers.
package sched

import (
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// Time is nanoseconds on the caller's monotonic clock.
type Time int64

// Add returns t moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Request asks for a target to run one generation, or the rest of one that was interrupted.
type Request struct {
	Gen          ids.Generation
	Workspace    string
	Class        string
	Attempt      uint32 // attempt that a grant starts
	PromptTokens int
	MaxTokens    int      // 0: unbounded
	Emitted      int      // tokens already delivered by earlier attempts
	Preemptions  int      // how often it was moved or preempted before
	Prefixes     []uint64 // hashes of growing prompt prefixes, shortest first, as returned by engineapi.PrefixHashes
	Deadline     Time     // 0: none
	Avoid        []string // targets on which earlier attempts failed
	Fingerprint  uint64
	Software     string // with Emitted: version of the software that began it
	RunningOn    string // target, when a generation that already runs is reported to a new owner
	KnownTokens  int    // total output length when known in advance (oracle runs only); 0: unknown
}

// EndReason is the reason why an attempt ended.
type EndReason uint8

// Values of EndReason; numbers match meshpb.EndReason.
const (
	EndCompleted     EndReason = iota + 1
	EndCancelled               // the caller disconnected or cancelled
	EndTargetDied              // the connection broke or the target was replaced
	EndTargetRefused           // the target provably did not run it
	EndStalled                 // no token within the stall timeout
	EndPreempted               // the engine reclaimed its memory for another sequence
	EndMoved                   // a Preempt action was carried out
)

// Report is the state that a target reports about itself; it was Age old when received.
type Report struct {
	Target      string
	Age         time.Duration
	Running     int
	Waiting     int
	KVUsed      int
	KVTotal     int
	MaxBatch    int
	Watts       float64
	Leaving     bool
	Incarnation uint64
}

// TargetSpec is the configuration of a target.
type TargetSpec struct {
	Name          string
	FailureDomain string
	Instance      string // machine that carries the target
	KVTotal       int    // 0: taken from reports
	MaxBatch      int    // 0: taken from reports
	IdleWatts     float64
	SeqWatts      float64 // added for each active sequence
	Resumes       bool
	Software      string // version of its software; a generation continues only at the version that began it
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Values of ActionKind.
const (
	ActGrant   ActionKind = iota + 1 // start Attempt on Target
	ActPreempt                       // cancel Attempt and submit the rest again
	ActRefuse                        // answer the caller now with Code and RetryAfter
)

// Action is one decision, addressed to the entry that submitted the generation.
type Action struct {
	Kind       ActionKind
	Gen        ids.Generation
	Attempt    uint32
	Target     string
	Priority   int
	Code       result.Code
	RetryAfter time.Duration
}

// NoPreemptions as ClassPolicy.MaxPreemptions forbids preemption; zero takes the default of Options.
const NoPreemptions = -1

// ClassPolicy holds the scheduler's settings for one workspace and class.
type ClassPolicy struct {
	Priority       int           // higher is served first
	Urgent         bool          // short work for which headroom is kept free
	Weight         float64       // share within a class, relative to other workspaces
	MaxWait        time.Duration // limit on queue wait; a request that exceeds it is refused
	QueueBound     int           // limit on queued requests of this workspace and class
	MaxPreemptions int           // limit on moves of one generation; NoPreemptions: it is never moved
	MemoryRisk     float64       // accepted probability that an engine runs out of memory within the horizon
}

// PolicyFunc returns the policy of a workspace and class. It must be pure between calls of SetPolicy.
type PolicyFunc func(workspace, class string) ClassPolicy

// Policy is the scheduler's interface to the entry, the tests and the bench. Owner implements it; the bench has
// baselines behind the same interface.
//
// Token counts of a generation cover all its attempts: those of Progress and End include Request.Emitted.
type Policy interface {
	SetTargets(now Time, targets []TargetSpec)
	SetPolicy(f PolicyFunc)
	SetPower(now Time, watts float64, validUntil Time, fallbackWatts float64)
	Submit(now Time, r Request)
	Progress(now Time, g ids.Generation, attempt uint32, tokens int)
	End(now Time, g ids.Generation, attempt uint32, tokens int, reason EndReason)
	Report(now Time, r Report)
	CacheSnapshot(now Time, target string, prefixes []uint64)
	CacheStored(now Time, target string, prefix uint64, stored bool)
	TargetGone(now Time, target string)
	// Tick appends its decisions to acts and returns the result. It does not retain acts.
	Tick(now Time, acts []Action) []Action
}
