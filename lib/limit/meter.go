package limit

import (
	"math"
	"time"
)

// meter measures the demand for one key at one client, over windows of at least a given length.
type meter struct {
	rolled                              time.Time
	arrivals, admitted, released, unmet int // in this window
	peak                                int // of requests in progress, in this window
	lastPeak, lastUnmet                 int
	arrivalRate, admitRate, releaseRate float64 // a second, smoothed
}

// smoothing is the time constant of the rates.
const smoothing = time.Second

// headroomShare: one part in so many is wanted beyond the peak, so that a request more needs no asking.
const headroomShare = 4

func (m *meter) admit(inUse int) {
	m.arrivals++
	m.admitted++
	m.peak = max(m.peak, inUse)
}

// roll closes the window when it is long enough.
func (m *meter) roll(now time.Time, window time.Duration, inUse int) {
	dt := now.Sub(m.rolled)
	if dt < window {
		return
	}
	alpha := 1 - math.Exp(-dt.Seconds()/smoothing.Seconds())
	m.arrivalRate = smooth(m.arrivalRate, alpha, m.arrivals, dt)
	m.admitRate = smooth(m.admitRate, alpha, m.admitted, dt)
	m.releaseRate = smooth(m.releaseRate, alpha, m.released, dt)
	m.lastPeak, m.lastUnmet = m.peak, m.unmet
	m.arrivals, m.admitted, m.released, m.unmet = 0, 0, 0, 0
	m.peak = inUse
	m.rolled = now
}

// negligible is a rate that counts as none.
const negligible = 0.05

func smooth(rate, alpha float64, n int, dt time.Duration) float64 {
	rate += alpha * (float64(n)/dt.Seconds() - rate)
	if rate < negligible && n == 0 {
		return 0
	}
	return rate
}

// waiting is how many were turned away lately.
func (m *meter) waiting() int { return max(m.unmet, m.lastUnmet) }

// slotsWanted is the peak that this client would have had without a limit, with headroom while work arrives.
func (m *meter) slotsWanted(inUse int) int {
	n := max(m.peak, m.lastPeak, inUse) + m.waiting()
	if n == 0 {
		return 0
	}
	return n + max(1, n/headroomShare)
}

func (m *meter) quiet() bool {
	return m.arrivalRate == 0 && m.arrivals == 0 && m.waiting() == 0
}
