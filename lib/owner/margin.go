package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
)

const (
	// maxWatched bounds the refused streams of a shard that are watched.
	maxWatched = 64
	// marginWrong and marginRight are the factors on the margin after a wrong and a right refusal. In equilibrium five in a hundred are
	// wrong.
	marginWrong = 0.9
	marginRight = 1.0055
	// marginMin bounds the margin: a forecast that is so often wrong refuses nothing at once.
	marginMin = 0.05
)

// margin counts how often room came for a refused stream before its wait would have ended, and adapts the forecast times that refusals are
// based on. The zero value has no margin.
type margin struct {
	factor       float64        // on forecast times; 0: 1
	watched      []admit.Stream // refused early, until their waits would have ended
	checkedAt    time.Time
	right, wrong uint64
}

// applyTo reduces a forecast time by the margin.
func (m *margin) applyTo(d time.Duration) time.Duration {
	if m.factor == 0 {
		return d
	}
	return time.Duration(m.factor * float64(d))
}

// watch remembers a stream that is refused early.
func (m *margin) watch(now time.Time, s *admit.Stream) {
	m.expire(now)
	if len(m.watched) < maxWatched {
		m.watched = append(m.watched, *s)
	}
}

// check checks whether the smallest watched stream has room now. Others would have to share that room with it.
func (m *margin) check(now time.Time, hasRoom func(admit.Stream) bool) {
	m.expire(now)
	m.checkedAt = now
	if len(m.watched) == 0 {
		return
	}
	smallest := 0
	for i := range m.watched {
		if peakTokens(&m.watched[i]) < peakTokens(&m.watched[smallest]) {
			smallest = i
		}
	}
	if hasRoom(m.watched[smallest]) {
		m.remove(smallest)
	}
}

// peakTokens returns the memory that a stream takes at its end.
func peakTokens(s *admit.Stream) int { return s.Need.Peak.Held + s.Need.Peak.Remaining }

// checkDue reports whether streams are watched that were not checked lately.
func (m *margin) checkDue(now time.Time) bool {
	return len(m.watched) > 0 && now.Sub(m.checkedAt) >= forecastAge
}

// remove drops a watched stream for which room came.
func (m *margin) remove(i int) {
	m.watched = append(m.watched[:i], m.watched[i+1:]...)
	m.wrong++
	m.scale(marginWrong)
}

// expire drops the watched streams whose wait would be over.
func (m *margin) expire(now time.Time) {
	kept := m.watched[:0]
	for _, w := range m.watched {
		if now.Before(w.WaitDeadline()) {
			kept = append(kept, w)
			continue
		}
		m.right++
		m.scale(marginRight)
	}
	m.watched = kept
}

func (m *margin) scale(by float64) {
	if m.factor == 0 {
		m.factor = 1
	}
	m.factor = min(max(m.factor*by, marginMin), 1)
}
