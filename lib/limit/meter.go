package limit

import (
	"math"
	"time"
)

// meter measures the demand for one key at one client, over windows of a minimum length.
type meter struct {
	windowStart                         time.Time
	arrivals, admitted, released, unmet int     // in the current window
	peak                                int     // maximum requests in progress in the current window
	lastPeak, lastUnmet                 int     // of the previous window
	arrivalRate, admitRate, releaseRate float64 // per second, smoothed
}

// rateTimeConstant is the time constant of the rates' exponential smoothing.
const rateTimeConstant = time.Second

// headroomDivisor: the demand exceeds the peak by 1/headroomDivisor, so that one more request need not wait for the holder.
const headroomDivisor = 4

func (m *meter) admit(inUse int) {
	m.arrivals++
	m.admitted++
	m.peak = max(m.peak, inUse)
}

// roll closes the current window when it is at least window long.
func (m *meter) roll(now time.Time, window time.Duration, inUse int) {
	dt := now.Sub(m.windowStart)
	if dt < window {
		return
	}
	alpha := 1 - math.Exp(-dt.Seconds()/rateTimeConstant.Seconds())
	m.arrivalRate = smooth(m.arrivalRate, alpha, m.arrivals, dt)
	m.admitRate = smooth(m.admitRate, alpha, m.admitted, dt)
	m.releaseRate = smooth(m.releaseRate, alpha, m.released, dt)
	m.lastPeak, m.lastUnmet = m.peak, m.unmet
	m.arrivals, m.admitted, m.released, m.unmet = 0, 0, 0, 0
	m.peak = inUse
	m.windowStart = now
}

// minRate is the rate, per second, below which a rate is treated as zero.
const minRate = 0.05

func smooth(rate, alpha float64, n int, dt time.Duration) float64 {
	rate += alpha * (float64(n)/dt.Seconds() - rate)
	if rate < minRate && n == 0 {
		return 0
	}
	return rate
}

// recentlyRejected is the number of recently rejected requests.
func (m *meter) recentlyRejected() int { return max(m.unmet, m.lastUnmet) }

// slotsWanted is the estimated peak concurrency without a limit, plus headroom while requests arrive.
func (m *meter) slotsWanted(inUse int) int {
	n := max(m.peak, m.lastPeak, inUse) + m.recentlyRejected()
	if n == 0 {
		return 0
	}
	return n + max(1, n/headroomDivisor)
}

func (m *meter) idle() bool {
	return m.arrivalRate == 0 && m.arrivals == 0 && m.recentlyRejected() == 0
}
