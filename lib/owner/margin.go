package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/admit"
)

const (
	// maxWatched bounds the refused streams of a shard that are watched.
	maxWatched = 64
	// marginWrong and marginRight are the factors on the margin after a wrong and a right refusal. In equilibrium three in a hundred are
	// wrong.
	marginWrong = 0.8
	marginRight = 1.007
	// marginMin bounds the margin: a forecast that is so often wrong refuses nothing at once.
	marginMin = 0.05
)

// margin counts how often room came for a refused stream before its wait would have ended, and adapts the forecast times that refusals are
// based on. The zero value has no margin.
type margin struct {
	factor       float64 // on forecast times; 0: 1
	watched      []watchedRefusal
	right, wrong uint64
}

// watchedRefusal is a stream that was refused early, until its wait would have ended.
type watchedRefusal struct {
	until  time.Time
	order  time.Time
	tokens int
}

// applyTo reduces a forecast time by the margin.
func (m *margin) applyTo(d time.Duration) time.Duration {
	if m.factor == 0 {
		return d
	}
	return time.Duration(m.factor * float64(d))
}

// watch remembers a stream that is refused early.
func (m *margin) watch(now, order time.Time, s *admit.Stream) {
	m.expire(now)
	if len(m.watched) < maxWatched {
		m.watched = append(m.watched, watchedRefusal{
			until: s.WaitDeadline(), order: order, tokens: s.Need.Peak.Held + s.Need.Peak.Remaining,
		})
	}
}

// roomLeft records that an engine has room for a number of tokens beside all that waits.
func (m *margin) roomLeft(now time.Time, tokens int) {
	m.expire(now)
	m.remove(func(w *watchedRefusal) bool { return w.tokens <= tokens })
}

// granted records that a stream that would have been behind the watched ones was placed.
func (m *margin) granted(now, order time.Time, s *admit.Stream) {
	m.expire(now)
	m.remove(func(w *watchedRefusal) bool {
		return w.order.Before(order) && w.tokens <= s.Need.Peak.Held+s.Need.Peak.Remaining
	})
}

// remove drops the watched streams for which room came.
func (m *margin) remove(hadRoom func(*watchedRefusal) bool) {
	kept := m.watched[:0]
	for i := range m.watched {
		if hadRoom(&m.watched[i]) {
			m.wrong++
			m.scale(marginWrong)
			continue
		}
		kept = append(kept, m.watched[i])
	}
	m.watched = kept
}

// expire drops the watched streams whose wait would be over.
func (m *margin) expire(now time.Time) {
	kept := m.watched[:0]
	for _, w := range m.watched {
		if now.Before(w.until) {
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
