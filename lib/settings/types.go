// Package settings parses, validates, resolves and compares the YAML tree of settings: site > service > workspace > class.
//
// Each node overrides only what differs from its parent. A Snapshot is immutable; programs replace it as a whole.
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
	FencingIgnored  = "ignored"  // targets obey any order; the control process waits until former lease holders have stopped
)

// Target is a back end of a service.
type Target struct {
	Name          string
	Addr          string // IP:port
	FailureDomain string
	Instance      string // machine that runs it
	Software      string // version of the target's software; a stream continues only at the version that began it
	KVTokens      int    // key-value cache in tokens; 0: taken from load reports
	MaxBatch      int    // concurrent sequences; 0: taken from load reports
	IdleWatts     float64
	SeqWatts      float64 // additional power of each active sequence
	Draining      bool    // drained by settings: no new work
}

// Route maps callers' paths to a service.
type Route struct {
	Prefix     string   // path prefix, "/" at the start
	Methods    []string // empty: any
	Idempotent bool     // default false, for calls not known to be idempotent
}

// Service is a resolved service.
type Service struct {
	Name    string
	Kind    string
	Models  []string // model names that callers may request (KindModel)
	Routes  []Route  // KindPlain
	Fencing string
	// Idempotent allows keyed generations of model engines to run more than once (default false). They then need no claim
	// in the platform's table, and can be resumed through another entry while the table is unavailable.
	Idempotent bool
	Resumes    bool // engines resume streams from a token index
	Targets    []Target
	Model      string // required model, version and adapters of its engines; empty: not managed
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
	RatePerSecond    float64 // accepted requests per second over all entries; 0: no limit
	MaxTokens        int     // maximum output of a generation; 0: no limit
	Deadline         time.Duration
	MaxPreemptions   int
	MemoryRisk       float64
	MaxAttempts      int
	RetryBudget      float64 // retries as a fraction of first attempts
	StallFloor       time.Duration
	MaxBody          int
	MaxSilence       time.Duration // without data from the target, for plain calls without a deadline
	SlowReaderBuffer int           // tokens buffered for a caller that reads slowly
	SlowReaderWait   time.Duration
}

// Workspace is a customer with hashed keys.
type Workspace struct {
	Name      string
	KeyHashes [][32]byte // SHA-256 of bearer tokens
	Services  []string   // services it may use; empty: all
	Classes   []string   // classes its requests may name; the first is its default
	Parent    string     // workspace whose overrides under services it inherits; empty: none
}

// Site holds the values of the whole site.
type Site struct {
	Name              string
	FailureDomains    []string
	PowerCapWatts     float64 // 0: no cap
	PowerGuardWatts   float64
	HeartbeatInterval time.Duration
	ShardTargets      int // maximum number of targets of one owner
	StoreWritesPerSec float64
	StoreReadsPerSec  float64
	ProgressInterval  time.Duration // of progress reports from entry to owner
	TickInterval      time.Duration // scheduler tick
}
