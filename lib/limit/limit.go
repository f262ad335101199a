// Package limit keeps limits of a workspace and class over all instances: requests in progress and accepted requests
// a second.
//
// For each (workspace, class) one instance, chosen by rendezvous hash, is the holder: it keeps what is not lent and
// lends shares that follow demand. A share expires at its client before it expires at its holder, so an instance that
// is cut off falls to its floor before its share is lent again. A new holder first waits out the longest share of the
// old one. A holder lends only while a majority of the members regard it as holder, so that two views of who is a
// member can't make two holders lend the same limit.
//
// A Node is pure: the time is passed in, messages are returned. Nothing here stores anything. A Service runs a Node in
// real time.
//
// Cost: an instance's messages grow with its keys in use, whatever the number of instances, and with the number of
// instances for the support of holders, which is the square of them over a site. Figures are in BenchmarkLimitTraffic's
// commits. Hundreds of instances need a longer TTL and SupportTTL, or support by a few members for each key.
package limit

import "time"

// Key names one limit.
type Key struct {
	Workspace string
	Class     string
}

// Limit is what settings allow over all instances.
type Limit struct {
	Concurrency   int     // requests in progress; 0: no limit
	RatePerSecond float64 // accepted requests a second; 0: no limit
}

// LimitFunc resolves a key. It is called often and must be quick.
type LimitFunc func(Key) Limit

// Config holds the timing, which must be the same at all instances of a site.
type Config struct {
	Interval      time.Duration // between messages of a client to a holder
	TTL           time.Duration // life of a share
	SupportTTL    time.Duration // life of a member's support of a holder
	HolderTimeout time.Duration // how long a request waits for a holder that may have more to lend
	ClockSkew     float64       // bound on the difference in rate of two monotonic clocks
	OrphanTimeout time.Duration // how long requests of a silent instance count as in progress
	FloorFraction float64       // part of each limit that is split evenly, for use without a holder
	MaxInstances  int           // instances that split it; no more than so many may run
}

// DefaultConfig suits sites of up to 16 instances. Its floor is small, for what floors take from a limit can be used by
// nobody while fewer than MaxInstances run: with a quarter, 8 instances could use 56 of 64.
var DefaultConfig = Config{
	Interval: 200 * time.Millisecond, TTL: 1500 * time.Millisecond, SupportTTL: time.Second,
	HolderTimeout: 50 * time.Millisecond, ClockSkew: 0.02, OrphanTimeout: 10 * time.Second, FloorFraction: 0.1, MaxInstances: 16,
}

// SingleInstanceConfig suits a single instance without peers: the whole limit is its floor, so that it needs no holder.
func SingleInstanceConfig() Config {
	cfg := DefaultConfig
	cfg.FloorFraction, cfg.MaxInstances = 1, 1
	return cfg
}

// lent is how long a holder counts a share, which is longer than its client does by the clock skew.
func (c Config) lent() time.Duration {
	return time.Duration(float64(c.TTL) * (1 + c.ClockSkew))
}

// HandoverDelay is how long a new holder waits before it lends: the old one may count on support for SupportTTL and then
// lend one last share.
func (c Config) HandoverDelay() time.Duration {
	return time.Duration(float64(c.SupportTTL+c.TTL) * (1 + c.ClockSkew) * (1 + c.ClockSkew))
}

// floorSlots is the part of a concurrency limit that each instance has without a holder.
func (c Config) floorSlots(l Limit) int {
	if c.MaxInstances <= 0 {
		return 0
	}
	return int(float64(l.Concurrency) * c.FloorFraction / float64(c.MaxInstances))
}

// lendableSlots is what a holder may lend.
func (c Config) lendableSlots(l Limit) int {
	return l.Concurrency - c.floorSlots(l)*max(0, c.MaxInstances)
}

// floorRate is the part of a rate that each instance has without a holder.
func (c Config) floorRate(l Limit) float64 {
	if c.MaxInstances <= 0 {
		return 0
	}
	return l.RatePerSecond * c.FloorFraction / float64(c.MaxInstances)
}

// lendableRate is the rate at which a holder lends.
func (c Config) lendableRate(l Limit) float64 {
	return l.RatePerSecond - c.floorRate(l)*float64(max(0, c.MaxInstances))
}

// Stamp is a time on the clock of one process. It only returns to its sender, as an echo.
type Stamp struct {
	Epoch uint64 // incarnation of the process: grows when it is replaced
	Nanos int64  // since the process started; 0 in an echo: none yet
}

// Up goes from a client to a holder. Even without demands it tells that the sender supports the receiver as holder.
type Up struct {
	Stamp   Stamp
	Echo    Stamp    // last Down.Stamp that came from the receiver
	Views   []uint64 // digests of the member views that the sender held within WaitOut, the newest first
	Full    bool     // Demands names every key of the receiver that the sender uses
	Demands []Demand
}

// Demand is what one client asks of a key.
type Demand struct {
	Key    Key
	InUse  int     // requests in progress above the floor
	Slots  int     // requests in progress that it wants to be able to have, above the floor
	Rate   float64 // arrivals a second that it sees
	Tokens int     // admissions that it wants beyond those in hand
	Ack    uint64  // Seq of the last share it applied
}

// Down answers an Up.
type Down struct {
	Stamp    Stamp
	Echo     Stamp // Stamp of the Up
	WantFull bool  // the next Up is to name every key
	Shares   []Share
}

// Share lends a part of a limit. Slots replaces the earlier share; Tokens adds to it. Both end TTL after Down.Echo on
// the client's clock.
type Share struct {
	Key    Key
	Seq    uint64
	Slots  int
	Tokens int
}
