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

// Bounds of one heartbeat.
const (
	maxChanged = 16 // members in one heartbeat
	maxDigests = 64 // shard digests in one heartbeat
)

// Multiples of the interval.
const (
	suspectIntervals = 4 // silence before a neighbour is suspect
	deadIntervals    = 4 // suspicion before it counts as dead, time for a refutation to come round
	pauseIntervals   = 3 // a longer gap between own ticks means that this process was paused
	urgentDivisor    = 5 // news that can't wait goes out after a fifth of an interval
)

// Config of a Table. Zero fields but Self take the defaults.
type Config struct {
	Self         Member        // Instance, Incarnation, FailureDomain, MeshAddr
	Interval     time.Duration // between rounds of heartbeats
	SuspectAfter time.Duration // default 4 intervals
	DeadAfter    time.Duration // after suspicion; default 4 intervals
	ForgetAfter  time.Duration // a dead member that the instance list no longer has is dropped after it
	FullMesh     int           // up to so many members, each sends to all
	Neighbours   int           // over it, to so many
	MaxMembers   int
	Seed         uint64 // of the choice of dead members to try again
}

// at returns the config with another interval, and the times that follow from it.
func (c Config) at(interval time.Duration) Config {
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
