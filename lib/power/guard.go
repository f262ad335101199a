package power

import "time"

// Reading is one measurement of the site's draw.
type Reading struct {
	Watts float64
	Age   time.Duration // how old it was when received
}

// meter turns readings into the part of the cap that may be used.
type meter struct {
	cfg     Config
	last    Reading
	taken   time.Time // when last was true, on our clock; zero: none yet
	changed time.Time // when the value last changed
	atValue float64   // modelled draw when the value last changed
	excess  float64   // measured draw beyond the modelled one
	peaks   []modelled
	partial bool // not all parts are modelled: a reading says nothing about an excess
}

// modelled is the draw that followers reported at one time.
type modelled struct {
	at    time.Time
	watts float64
}

func (m *meter) model(now time.Time, watts float64) {
	m.peaks = append(m.peaks, modelled{now, watts})
	old := 0
	for old < len(m.peaks)-1 && now.Sub(m.peaks[old+1].at) > 2*m.cfg.MaxAge {
		old++
	}
	m.peaks = m.peaks[old:]
}

func (m *meter) modelledNow() float64 {
	if len(m.peaks) == 0 {
		return 0
	}
	return m.peaks[len(m.peaks)-1].watts
}

// excessDecay is the part of a shrinking excess that is given back with each reading.
const excessDecay = 0.1

// read takes in a reading. One that is older than the last, or than MaxAge, is dropped.
//
// The draw that was modelled so long ago is no longer kept: against it, all of an old reading would count as excess,
// and the site would be held at its fallbacks for as long as the excess takes to decay.
func (m *meter) read(now time.Time, r Reading) {
	taken := now.Add(-max(0, r.Age))
	if taken.Before(m.taken) || r.Age > m.cfg.MaxAge {
		return
	}
	if m.taken.IsZero() || r.Watts != m.last.Watts {
		m.changed = now
		m.atValue = m.modelledNow()
	}
	m.last, m.taken = r, taken
	if m.partial {
		return
	}
	excess := max(0, r.Watts-m.modelledAround(taken))
	if excess < m.excess {
		excess = m.excess + excessDecay*(excess-m.excess)
	}
	m.excess = excess
}

// modelledAround is the largest modelled draw near a time, for reports lag as readings do.
func (m *meter) modelledAround(at time.Time) float64 {
	top := 0.0
	for i, p := range m.peaks {
		inForce := i+1 == len(m.peaks) || m.peaks[i+1].at.After(at.Add(-m.cfg.Drain))
		if inForce && !p.at.After(at.Add(m.cfg.Drain)) {
			top = max(top, p.watts)
		}
	}
	return top
}

// frozen reports whether the sensor repeats one value while the draw must have moved.
//
// Failure: a sensor repeats a low value with a fresh date; budgets grow on it until the breaker of the site trips. The
// modelled draw moves with the work, so a value that stays when the model has moved says nothing.
func (m *meter) frozen(now time.Time) bool {
	moved := m.modelledNow() - m.atValue
	return now.Sub(m.changed) >= m.cfg.FrozenAfter && max(moved, -moved) >= m.cfg.FrozenWatts
}

// guard is the band kept free under the cap: it grows with the age of the reading by what the draw may have risen.
func (m *meter) guard(now time.Time) float64 {
	age := now.Sub(m.taken)
	if m.taken.IsZero() || age > m.cfg.MaxAge || m.frozen(now) {
		return m.cfg.MaxGuardWatts
	}
	return min(m.cfg.GuardWatts+m.cfg.SlewWatts*age.Seconds(), m.cfg.MaxGuardWatts)
}

// usable is what all parts may draw together.
func (m *meter) usable(now time.Time) float64 {
	return max(0, m.cfg.CapWatts-m.guard(now)-m.excess)
}
