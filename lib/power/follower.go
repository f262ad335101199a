package power

import "time"

// Follower applies the power shares of one part. It is not safe for concurrent use.
type Follower struct {
	cfg       Config
	part      string
	epoch     uint64
	start     time.Time
	fallback  float64
	share     Share
	until     time.Time // end of share
	ackFence  uint64
	ackSeq    uint64
	lastStamp int64
}

// NewFollower returns a Follower at its fallback. epoch is the process's incarnation and grows with each restart.
func NewFollower(now time.Time, cfg Config, part string, epoch uint64, fallbackWatts float64) *Follower {
	return &Follower{cfg: cfg, part: part, epoch: epoch, start: now, fallback: fallbackWatts}
}

// SetFallback applies a fallback from new settings.
func (f *Follower) SetFallback(watts float64) { f.fallback = watts }

// Apply applies a share. It returns false for a share that is late, for another process, or of an older fence.
func (f *Follower) Apply(now time.Time, s Share) bool {
	if s.Part != f.part || s.Echo.Epoch != f.epoch || !s.newer(f.share.Fence, f.share.Seq) {
		return false
	}
	until := f.start.Add(time.Duration(s.Echo.Nanos) + f.cfg.TTL)
	f.share = s
	f.until = until
	return now.Before(until)
}

// Fallback returns the power that the part may draw without a share.
func (f *Follower) Fallback() float64 { return f.fallback }

// Limit returns the power that the part may draw now. It reverts to the fallback Drain before the share ends, because the
// draw falls only as sequences end or are held back.
func (f *Follower) Limit(now time.Time) float64 {
	if f.share.Fence == 0 || !now.Before(f.until.Add(-f.cfg.Drain)) {
		return f.fallback
	}
	return f.share.Watts
}

// ValidFor returns how long Limit stays unchanged without a new share; 0 at the fallback.
func (f *Follower) ValidFor(now time.Time) time.Duration {
	if f.share.Fence == 0 {
		return 0
	}
	return max(0, f.until.Add(-f.cfg.Drain).Sub(now))
}

// Report returns the part's demand and draw for the allocator. It acknowledges a share only once the draw is below it, as
// the allocator may then give the difference to others.
func (f *Follower) Report(now time.Time, wantedWatts, drawnWatts float64) Report {
	if drawnWatts <= f.Limit(now) {
		f.ackFence, f.ackSeq = f.share.Fence, f.share.Seq
	}
	f.lastStamp = max(f.lastStamp+1, int64(now.Sub(f.start))+1)
	return Report{
		Part: f.part, Stamp: Stamp{Epoch: f.epoch, Nanos: f.lastStamp},
		WantedWatts: wantedWatts, DrawnWatts: drawnWatts, AckFence: f.ackFence, AckSeq: f.ackSeq,
	}
}
