package mesh

import (
	"math/rand/v2"
	"time"
)

// backoff limits how often one peer is dialed. Half of each delay is random: peers that lost the same instance at the same moment would
// otherwise dial its successor in step.
type backoff struct {
	min, max time.Duration
	failures int
	until    time.Time
}

// ready reports whether dialing is allowed at now.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.until) }

func (b *backoff) failed(now time.Time) {
	wait := b.wait()
	b.failures++
	b.until = now.Add(wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1)))
}

func (b *backoff) succeeded() {
	b.failures = 0
	b.until = time.Time{}
}

// wait returns the current delay, which doubles with each failure from min to max.
func (b *backoff) wait() time.Duration {
	w := b.min
	for range b.failures {
		w *= 2
		if w >= b.max {
			return b.max
		}
	}
	return w
}
