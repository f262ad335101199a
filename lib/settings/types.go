// Package settings parses, checks, resolves and compares the YAML tree of settings: site > service > workspace > class.
//
// Each node overrides only what differs from its parent. A Snapshot is immutable; programs swap it whole.
package settings

import "time"

// Values of Service.Kind.
const (
	KindModel = "model" // generations on model engines
	KindPlain = "plain" // plain HTTP services
)

// Values of Service.Fencing.
const (
	FencingEnforced = "enforced" // targets refuse orders with an old fencing number
	FencingIgnored  = "ignored"  // targets obey any order; the control process waits old holders out
)

// Target is a back end of a service.
type Target struct {
	Name          string
	Addr          string // IP:port
	FailureDomain string
	Instance      string // machine that carries it
	KVTokens      int    // key-value memory in tokens; 0: learn from load reports
	MaxBatch      int    // sequences at once; 0: learn from load reports
	IdleWatts     float64
	SeqWatts      float64 // added for each active sequence
	Draining      bool    // operators' drain: no new work
}

// Route maps callers' paths to a service.
type Route struct {
	Prefix     string   // path prefix, "/" at the start
	Methods    []string // empty: any
	Idempotent bool     // default false: unsure means not idempotent
}

// Service is a resolved service.
type Service struct {
	Name    string
	Kind    string
	Models  []string // model names that callers may ask for (KindModel)
	Routes  []Route  // KindPlain
	Fencing string
	// Idempotent lets keyed generations of model engines run more than once (default false). They need no claim in the
	// platform's table then, and can be gone on with through another entry while it is down.
	Idempotent bool
	Resumes    bool // engines resume streams from a token index
	Targets    []Target
	Model      string // desired model, version, adapters of its engines; empty: not managed
	Version    string
	Adapters   []string
}

// Policy holds every inherited value, resolved for one service, workspace and class.
type Policy struct {
	Priority         int
	Urgent           bool
	Weight           float64
	MaxWait          time.Duration
	QueueBound       int
	Concurrency      int     // requests in progress over all entries; 0: no limit
	RatePerSecond    float64 // accepted requests a second over all entries; 0: no limit
	MaxTokens        int     // bound on output; 0: none
	Deadline         time.Duration
	MaxPreemptions   int
	MemoryRisk       float64
	MaxAttempts      int
	RetryBudget      float64 // retries as a fraction of first attempts
	StallFloor       time.Duration
	MaxBody          int
	MaxSilence       time.Duration // of the target of a plain call without a deadline
	SlowReaderBuffer int           // tokens kept for a caller that reads slowly
	SlowReaderWait   time.Duration
}

// Workspace is a customer with hashed keys.
type Workspace struct {
	Name      string
	KeyHashes [][32]byte // SHA-256 of bearer tokens
	Services  []string   // services it may use; empty: all
	Classes   []string   // classes it may name; the first is its default
	Parent    string     // workspace whose values under services it inherits; empty: none
}

// Site holds what belongs to the whole site.
type Site struct {
	Name              string
	FailureDomains    []string
	PowerCapWatts     float64 // 0: no cap
	PowerGuardWatts   float64
	HeartbeatInterval time.Duration
	ShardTargets      int // targets of one owner at most
	StoreWritesPerSec float64
	StoreReadsPerSec  float64
	ProgressInterval  time.Duration // entry to owner
	TickInterval      time.Duration // scheduler tick
}
