// Package sched decides which generation runs on which model engine, which waits, and which is moved.
//
// An Owner holds the soft state of one shard: up to about 32 targets of one service. It is pure: no I/O, no
// goroutines, no clock of its own. Callers pass the time; the same code runs in the entry, in randomised tests and
// in the bench. Losing an Owner loses speed only: promises to callers are kept by the entries.
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

// Request asks for a place to run one generation, or to run its rest.
type Request struct {
	Gen          ids.Generation
	Workspace    string
	Class        string
	Attempt      uint32 // attempt that a grant starts
	PromptTokens int
	MaxTokens    int      // 0: unbounded
	Emitted      int      // tokens already delivered by earlier attempts
	Preemptions  int      // how often it was already moved or preempted
	Prefixes     []uint64 // hashes of growing prompt prefixes, shortest first, as engineapi.PrefixHashes gives them
	Deadline     Time     // 0: none
	Avoid        []string // targets that failed it
	Fingerprint  uint64
	RunningOn    string // set when a new owner is told of a generation already running
	KnownTokens  int    // total output length when told in advance (oracle runs only); 0: unknown
}

// EndReason tells how an attempt ended.
type EndReason uint8

// Values of EndReason; numbers match meshpb.EndReason.
const (
	EndCompleted     EndReason = iota + 1
	EndCancelled               // the caller went away
	EndTargetDied              // the connection broke or the target was replaced
	EndTargetRefused           // proved not run
	EndStalled                 // no token within the stall bound
	EndPreempted               // the engine gave its memory to another sequence
	EndMoved                   // a Preempt action was carried out
)

// Report is a target's own view, Age old when it was received.
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

// TargetSpec is a target as settings give it.
type TargetSpec struct {
	Name          string
	FailureDomain string
	Instance      string // machine that carries the target
	KVTotal       int    // 0: learn from reports
	MaxBatch      int    // 0: learn from reports
	IdleWatts     float64
	SeqWatts      float64 // added for each active sequence
	Resumes       bool
}

// ActionKind is what an Action asks of the entry that submitted the generation.
type ActionKind uint8

// Values of ActionKind.
const (
	ActGrant   ActionKind = iota + 1 // start Attempt on Target
	ActPreempt                       // cancel Attempt; submit the rest again
	ActRefuse                        // answer the caller now with Code and RetryAfter
)

// Action is one decision.
type Action struct {
	Kind       ActionKind
	Gen        ids.Generation
	Attempt    uint32
	Target     string
	Priority   int
	Code       result.Code
	RetryAfter time.Duration
}

// NoPreemptions as ClassPolicy.MaxPreemptions says that a generation is never moved; zero leaves it to Options.
const NoPreemptions = -1

// ClassPolicy is the part of settings that the scheduler reads for one workspace and class.
type ClassPolicy struct {
	Priority       int           // higher is served first
	Urgent         bool          // short work that has headroom kept for it
	Weight         float64       // share within a class, relative to other workspaces
	MaxWait        time.Duration // bound on queue wait; over it the request is refused
	QueueBound     int           // queued requests of this workspace and class
	MaxPreemptions int           // after so many moves a generation is no victim again; NoPreemptions: it is none at all
	MemoryRisk     float64       // accepted chance that an engine runs out over the horizon
}

// PolicyFunc resolves the policy of a workspace and class; it must be pure between calls of SetPolicy.
type PolicyFunc func(workspace, class string) ClassPolicy

// Policy counts tokens of a generation over all its attempts: the tokens of Progress and End include Request.Emitted.
//
// Policy is what the entry, the tests and the bench drive. anvilwick's own implementation is Owner; the bench has
// baselines behind the same interface.
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
	// Tick appends its decisions to acts and returns it. It does not keep acts.
	Tick(now Time, acts []Action) []Action
}
