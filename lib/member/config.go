package member

import "time"

// Defaults of Config.
const (
	DefaultInterval   = 500 * time.Millisecond
	DefaultFullMesh   = 16
	DefaultNeighbours = 8
	DefaultForget     = 10 * time.Minute
	DefaultMaxMembers = 4096
)

// Limits of one heartbeat.
const (
	maxChanged = 16 // members in one heartbeat
	maxDigests = 64 // shard digests in one heartbeat
)

// Multiples of the interval.
const (
	suspectIntervals = 4 // without contact, before a neighbour is suspect
	deadIntervals    = 4 // of suspicion before a member counts as dead, to leave time for a refutation to arrive
	pauseIntervals   = 3 // a longer gap between this process's ticks means that it was paused
	urgentDivisor    = 5 // urgent changes are sent after a fifth of an interval
)

// Config configures a Table. Zero fields except Self take the defaults.
type Config struct {
	Self         Member        // Instance, Incarnation, FailureDomain, MeshAddr
	Interval     time.Duration // between rounds of heartbeats
	SuspectAfter time.Duration // default 4 intervals
	DeadAfter    time.Duration // after suspicion; default 4 intervals
	ForgetAfter  time.Duration // after which a dead member missing from the instance list is removed
	FullMesh     int           // number of members up to which each sends to all
	Neighbours   int           // number of members that each sends to in larger sets
	MaxMembers   int
	Seed         uint64 // for choosing dead members to retry
}

// withInterval returns the config with another interval, and with the time-outs that follow from it.
func (c Config) withInterval(interval time.Duration) Config {
	c.Interval = interval
	c.SuspectAfter, c.DeadAfter = 0, 0
	return c.withDefaults()
}

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = DefaultInterval
	}
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = suspectIntervals * c.Interval
	}
	if c.DeadAfter <= 0 {
		c.DeadAfter = deadIntervals * c.Interval
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = DefaultForget
	}
	if c.FullMesh <= 0 {
		c.FullMesh = DefaultFullMesh
	}
	if c.Neighbours <= 0 {
		c.Neighbours = DefaultNeighbours
	}
	if c.MaxMembers <= 0 {
		c.MaxMembers = DefaultMaxMembers
	}
	return c
}
