package replay

import "time"

// atOnce is the longest time from a request until its refusal that counts as at once: the messages to the owner and back, and some
// forwarding.
const atOnce = 30 * time.Millisecond

// roomWithin is the longest time until a retried stream is placed that counts as having found room: the share of its objective that any new
// stream may wait.
const roomWithin = 0.6

// Refusals counts the first refusals of streams, and what their callers' retries find.
type Refusals struct {
	AtOnce     int           // decided when the request arrived
	Waited     int           // decided after a wait
	Delay      time.Duration // sum of the times from the requests until the refusals
	RetryDelay time.Duration // sum of the retry times given
	Returned   int           // retries that came early enough before the end for a new stream's wait
	RoomAtOnce int           // retries that were placed at once
	RoomInTime int           // retries that were placed within the wait of a new stream
}

// add adds the counts of another simulation.
func (r *Refusals) add(o Refusals) {
	r.AtOnce += o.AtOnce
	r.Waited += o.Waited
	r.Delay += o.Delay
	r.RetryDelay += o.RetryDelay
	r.Returned += o.Returned
	r.RoomAtOnce += o.RoomAtOnce
	r.RoomInTime += o.RoomInTime
}

// countRefusal counts the first refusal of a stream.
func (s *site) countRefusal(r *stream, after time.Duration) {
	c := &s.tally.Refusals
	waited := s.now - r.arrived
	c.Delay += waited
	c.RetryDelay += after
	if waited <= atOnce {
		c.AtOnce++
		return
	}
	c.Waited++
}

// newStreamWait returns how long the stream could wait if it were new.
func (r *stream) newStreamWait() time.Duration {
	return time.Duration(roomWithin * float64(r.objective()))
}

// isCountedRetry reports whether the stream is a retry that came early enough to be counted.
func (s *site) isCountedRetry(r *stream) bool {
	return r.retried && r.arrived+r.newStreamWait() <= s.pattern.Duration
}

// countRetry counts the arrival of a stream, if it is a retry.
func (s *site) countRetry(r *stream) {
	if s.isCountedRetry(r) {
		s.tally.Refusals.Returned++
	}
}

// countPlaced counts the placement of a stream, if it is a retry.
func (s *site) countPlaced(r *stream) {
	if !s.isCountedRetry(r) {
		return
	}
	c := &s.tally.Refusals
	waited := s.now - r.arrived
	if waited <= atOnce {
		c.RoomAtOnce++
	}
	if waited <= r.newStreamWait() {
		c.RoomInTime++
	}
}

// served returns the fraction of streams whose first event came, without those whose callers would return after the end.
func (t Tally) served() float64 {
	return ratio(t.InTime+t.Late, t.Streams-t.Retried+t.Refusals.Returned)
}

// refusalTime returns the mean time from a request until its first refusal, in seconds.
func (t Tally) refusalTime() float64 {
	return t.Refusals.Delay.Seconds() / float64(max(1, t.Retried))
}

// retryTime returns the mean retry time given, in seconds.
func (t Tally) retryTime() float64 {
	return t.Refusals.RetryDelay.Seconds() / float64(max(1, t.Retried))
}

// roomShare returns the fraction of retries that found room.
func (t Tally) roomShare() float64 { return ratio(t.Refusals.RoomInTime, t.Refusals.Returned) }
