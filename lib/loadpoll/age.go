package loadpoll

import "time"

// ageTracker determines the age of a target's reports from their sequence numbers. A target whose reporting hangs repeats its
// last report with an unchanged age; if that age were used, its figures would count as fresh forever and requests would be
// placed by them. A report with an unchanged sequence number is at least as old as the time since it was first received.
type ageTracker struct {
	incarnation uint64
	seq         uint64
	takenAt     time.Time // time at which the report with seq was taken
}

// update returns the age of a report received at now. The age that a target without sequence numbers reports is used unchanged.
func (a *ageTracker) update(now time.Time, incarnation, seq uint64, reported time.Duration) time.Duration {
	if seq != 0 && seq == a.seq && incarnation == a.incarnation {
		return max(reported, now.Sub(a.takenAt))
	}
	*a = ageTracker{incarnation: incarnation, seq: seq, takenAt: now.Add(-reported)}
	return reported
}

// reset sets the time of the last report to now. A target that was unreachable and answers again is available even if its
// reporting hangs; with the time from before its absence, it would get no requests for as long as the reporting hangs.
func (a *ageTracker) reset(now time.Time) { a.takenAt = now }
