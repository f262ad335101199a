package loadpoll

import "time"

// dating tells how old a target's reports are by their sequence numbers. A target whose reporting hangs goes on telling the
// age that it told last: believed, its figures would be taken as new for ever, and work placed by them. A number that
// stands still can't be newer than when it was first seen.
type dating struct {
	incarnation uint64
	seq         uint64
	taken       time.Time // of the figures under seq
}

// age returns how old figures are that came now. A target that does not number its reports is believed.
func (d *dating) age(now time.Time, incarnation, seq uint64, told time.Duration) time.Duration {
	if seq != 0 && seq == d.seq && incarnation == d.incarnation {
		return max(told, now.Sub(d.taken))
	}
	*d = dating{incarnation: incarnation, seq: seq, taken: now.Add(-told)}
	return told
}

// restart dates the next report by now: a target that was gone and answers again is there, though its figures hang.
// Dated before its absence, they would keep it out for as long as they hang.
func (d *dating) restart(now time.Time) { d.taken = now }
