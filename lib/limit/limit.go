// Package limit enforces the limits of a workspace and class over all instances: requests in progress and accepted requests
// per second.
//
// For each (workspace, class), rendezvous hashing chooses one instance as holder. The holder keeps what is not lent and lends
// shares that follow demand. A share expires at its client before it expires at its holder, so an instance that is cut off
// falls back to its floor before its share is lent to another. A new holder first waits until the longest share lent by the
// previous one has expired. A holder lends only while a majority of the members support it as holder, so that two views of
// the membership cannot lead two holders to lend the same limit.
//
// A Node is a pure state machine: time is passed in, messages are returned, nothing is stored. A Service runs a Node in real
// time.
//
// Cost: an instance's messages grow with the number of its keys in use, independently of the number of instances. Support
// messages grow with the number of instances, so with its square over a site. BenchmarkLimitTraffic's commits have figures.
// Hundreds of instances need a longer TTL and SupportTTL, or support by a few members for each key.
package limit

import "time"

// Key identifies one limit.
type Key struct {
	Workspace string
	Class     string
}

// Limit is the limit from the settings, over all instances.
type Limit struct {
	Concurrency   int     // requests in progress; 0: no limit
	RatePerSecond float64 // accepted requests per second; 0: no limit
}

// LimitFunc returns the limit of a key. It is called often and must be fast.
type LimitFunc func(Key) Limit

// Config holds the timing. It must be the same on all instances of a site.
type Config struct {
	Interval      time.Duration // between messages of a client to a holder
	TTL           time.Duration // lifetime of a share
	SupportTTL    time.Duration // lifetime of a member's support for a holder
	HolderTimeout time.Duration // how long a request waits for a holder that may have more to lend
	ClockSkew     float64       // bound on the relative rate difference of two monotonic clocks
	OrphanTimeout time.Duration // how long requests of a silent instance count as in progress
	FloorFraction float64       // part of each limit that is split evenly, for use without a holder
	MaxInstances  int           // number of instances that the floor is split among; no more may run
}

// DefaultConfig suits sites of up to 16 instances. Its floor is small because the part of a limit reserved for floors is
// unusable while fewer than MaxInstances run: with a fraction of a quarter, 8 instances could use 56 of 64.
var DefaultConfig = Config{
	Interval: 200 * time.Millisecond, TTL: 1500 * time.Millisecond, SupportTTL: time.Second,
	HolderTimeout: 50 * time.Millisecond, ClockSkew: 0.02, OrphanTimeout: 10 * time.Second, FloorFraction: 0.1, MaxInstances: 16,
}

// SingleInstanceConfig suits a single instance without peers: its floor is the whole limit, so it needs no holder.
func SingleInstanceConfig() Config {
	cfg := DefaultConfig
	cfg.FloorFraction, cfg.MaxInstances = 1, 1
	return cfg
}

// loanTTL is how long a holder counts a share: the client's TTL plus the clock skew.
func (c Config) loanTTL() time.Duration {
	return time.Duration(float64(c.TTL) * (1 + c.ClockSkew))
}

// HandoverDelay is how long a new holder waits before it lends: the previous holder may rely on support for SupportTTL and
// then lend one last share.
func (c Config) HandoverDelay() time.Duration {
	return time.Duration(float64(c.SupportTTL+c.TTL) * (1 + c.ClockSkew) * (1 + c.ClockSkew))
}

// floorSlots is the part of a concurrency limit that each instance may use without a holder.
func (c Config) floorSlots(l Limit) int {
	if c.MaxInstances <= 0 {
		return 0
	}
	return int(float64(l.Concurrency) * c.FloorFraction / float64(c.MaxInstances))
}

// lendableSlots is the part of a concurrency limit that a holder may lend.
func (c Config) lendableSlots(l Limit) int {
	return l.Concurrency - c.floorSlots(l)*max(0, c.MaxInstances)
}

// floorRate is the part of a rate limit that each instance may use without a holder.
func (c Config) floorRate(l Limit) float64 {
	if c.MaxInstances <= 0 {
		return 0
	}
	return l.RatePerSecond * c.FloorFraction / float64(c.MaxInstances)
}

// lendableRate is the part of a rate limit that a holder lends.
func (c Config) lendableRate(l Limit) float64 {
	return l.RatePerSecond - c.floorRate(l)*float64(max(0, c.MaxInstances))
}

// Stamp is a time on the clock of one process. Peers only echo it; it has no meaning outside its sender.
type Stamp struct {
	Epoch uint64 // incarnation of the process: increases when it is replaced
	Nanos int64  // since the process started; 0 in an echo: no stamp received yet
}

// Up is a message from a client to a holder. Even without demands it expresses the sender's support for the receiver as holder.
type Up struct {
	Stamp   Stamp
	Echo    Stamp    // last Down.Stamp received from this holder
	Views   []uint64 // digests of the member views that the sender had within HandoverDelay, newest first
	Full    bool     // Demands lists every key held by the receiver that the sender uses
	Demands []Demand
}

// Demand is one client's demand for a key.
type Demand struct {
	Key    Key
	InUse  int     // requests in progress above the floor
	Slots  int     // concurrency that it wants above the floor
	Rate   float64 // arrivals per second
	Tokens int     // admissions that it wants in addition to those it holds
	Ack    uint64  // Seq of the last share it applied
}

// Down answers an Up.
type Down struct {
	Stamp    Stamp
	Echo     Stamp // Stamp of the Up
	WantFull bool  // the next Up should list every key
	Shares   []Share
}

// Share lends a part of a limit. Slots replaces the earlier share; Tokens adds to it. Both expire TTL after Down.Echo on
// the client's clock.
type Share struct {
	Key    Key
	Seq    uint64
	Slots  int
	Tokens int
}
