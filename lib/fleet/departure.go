package fleet

// Departure is why a target counts as leaving.
type Departure uint8

// The causes.
const (
	NotLeaving Departure = iota
	Announced            // by the target itself, in its entry, a response or a report
	Delisted             // its entry was removed while the list could be read
	Missing              // its entry did not return after an outage of the list
)

// String returns the name used in logs.
func (d Departure) String() string {
	return [...]string{"none", "announced", "delisted", "missing"}[d]
}

// DepartureOf returns why a target counts as leaving.
func (f *Fleet) DepartureOf(id string) Departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		return t.departure
	}
	return NotLeaving
}
