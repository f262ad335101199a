package power

import "time"

// Reading is one measurement of the site's draw.
type Reading struct {
	Watts float64
	Age   time.Duration // how old it was when received
}

// meter computes the usable part of the cap from readings.
type meter struct {
	cfg              Config
	last             Reading
	measured         time.Time // when last was measured, on the local clock; zero: no reading yet
	changed          time.Time // when the value last changed
	modelledAtChange float64   // modelled draw when the value last changed
	excess           float64   // measured draw beyond the modelled one
	samples          []modelled
	partial          bool // not all parts are modelled, so readings don't show an excess
}

// modelled is the sum of the draws reported by followers at one time.
type modelled struct {
	at    time.Time
	watts float64
}

func (m *meter) addModelled(now time.Time, watts float64) {
	m.samples = append(m.samples, modelled{now, watts})
	drop := 0
	for drop < len(m.samples)-1 && now.Sub(m.samples[drop+1].at) > 2*m.cfg.MaxAge {
		drop++
	}
	m.samples = m.samples[drop:]
}

func (m *meter) modelledNow() float64 {
	if len(m.samples) == 0 {
		return 0
	}
	return m.samples[len(m.samples)-1].watts
}

// excessDecay is the fraction of a decrease of the excess that is applied with each reading.
const excessDecay = 0.1

// addReading adds a reading. One that is older than the last, or than MaxAge, is dropped.
//
// Model samples that old are no longer kept. Without them the whole reading would count as excess and hold the site at its
// fallbacks until the excess has decayed.
func (m *meter) addReading(now time.Time, r Reading) {
	measured := now.Add(-max(0, r.Age))
	if measured.Before(m.measured) || r.Age > m.cfg.MaxAge {
		return
	}
	if m.measured.IsZero() || r.Watts != m.last.Watts {
		m.changed = now
		m.modelledAtChange = m.modelledNow()
	}
	m.last, m.measured = r, measured
	if m.partial {
		return
	}
	excess := max(0, r.Watts-m.modelledAround(measured))
	if excess < m.excess {
		excess = m.excess + excessDecay*(excess-m.excess)
	}
	m.excess = excess
}

// modelledAround returns the largest modelled draw near a time, because reports lag as readings do.
func (m *meter) modelledAround(at time.Time) float64 {
	peak := 0.0
	for i, p := range m.samples {
		inForce := i+1 == len(m.samples) || m.samples[i+1].at.After(at.Add(-m.cfg.Drain))
		if inForce && !p.at.After(at.Add(m.cfg.Drain)) {
			peak = max(peak, p.watts)
		}
	}
	return peak
}

// frozen reports whether the sensor repeats one value although the draw must have changed.
//
// Failure: a sensor repeats a low value with a fresh timestamp, and budgets grow on it until the site's breaker trips. The
// modelled draw follows the work, so a value that stays constant while the model changes is not trustworthy.
func (m *meter) frozen(now time.Time) bool {
	change := m.modelledNow() - m.modelledAtChange
	return now.Sub(m.changed) >= m.cfg.FrozenAfter && max(change, -change) >= m.cfg.FrozenWatts
}

// guard returns the band kept free below the cap. It grows with the age of the reading by the possible rise of the draw.
func (m *meter) guard(now time.Time) float64 {
	age := now.Sub(m.measured)
	if m.measured.IsZero() || age > m.cfg.MaxAge || m.frozen(now) {
		return m.cfg.MaxGuardWatts
	}
	return min(m.cfg.GuardWatts+m.cfg.SlewWatts*age.Seconds(), m.cfg.MaxGuardWatts)
}

// usable returns the power that all parts together may draw.
func (m *meter) usable(now time.Time) float64 {
	return max(0, m.cfg.CapWatts-m.guard(now)-m.excess)
}
