package membudget

import vm "github.com/VictoriaMetrics/metrics"

// Pressure is a step of memory use relative to the limit. A process that is killed for its memory writes nothing more, so that its
// last lines have to say how near it was.
type Pressure uint8

// Steps of Pressure.
const (
	PressureNone     Pressure = iota
	PressureElevated          // small buffers are about to be refused
	PressureHigh              // more is used than the budget grants
	PressureCritical          // a few requests from the kill
)

// pressureShares are the parts of the limit from which the steps after PressureNone apply.
var pressureShares = [...]float64{0.6, 0.75, 0.9}

// pressureMargin is the part of the limit by which use must fall below a step before it is left, so that use around a step is
// reported once.
const pressureMargin = 0.05

var pressureNames = [...]string{"none", "elevated", "high", "critical"}

// String returns the name used in logs.
func (p Pressure) String() string { return pressureNames[p] }

// next returns the step for a use of limit bytes, after p.
func (p Pressure) next(used, limit int64) Pressure {
	share := float64(used) / float64(limit)
	for int(p) < len(pressureShares) && share >= pressureShares[p] {
		p++
	}
	for p > PressureNone && share < pressureShares[p-1]-pressureMargin {
		p--
	}
	return p
}

// OnPressure sets a function that is called when a measurement shows another step, without the budget's lock. It must be set before the
// budget is used.
func (b *Budget) OnPressure(f func(p Pressure, used, limit int64)) {
	if b != nil {
		b.onPressure = f
	}
}

// Export registers gauges of the bytes in use and of the limit.
func (b *Budget) Export() {
	if b == nil {
		return
	}
	vm.GetOrCreateGauge(`anvilwick_memory_used_bytes`, func() float64 { return float64(b.memory.InUse()) })
	vm.GetOrCreateGauge(`anvilwick_memory_limit_bytes`, func() float64 { return float64(b.limit) })
}

// measure measures the memory in use and reports a changed step. b.mu must be held.
func (b *Budget) measure() {
	b.measured, b.mapped, b.added = b.memory.InUse(), b.memory.Mapped(), 0
	before := b.pressure
	b.pressure = before.next(b.measured, b.limit)
	if b.pressure != before && b.onPressure != nil {
		go b.onPressure(b.pressure, b.measured, b.limit)
	}
}
