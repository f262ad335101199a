package prove

import (
	"strings"
	"time"
)

// faultSlack is how long after the end of a fault clients may still see its effects.
const faultSlack = 500 * time.Millisecond

// cutsConnections matches faults that end or stall callers' connections to an entry. A planned stop does neither.
func cutsConnections(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return kind != faultStop && (subject == entry || subject == "callers of "+entry)
	}
}

// stopsEntry matches a planned stop of an entry, which refuses new connections and cuts none.
func stopsEntry(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool { return kind == faultStop && subject == entry }
}

// delaysSettings matches faults that keep updates from the platform from reaching an entry.
func delaysSettings(entry string) func(subject, kind string) bool {
	return func(subject, _ string) bool {
		return subject == "platform" || strings.HasSuffix(subject, entry)
	}
}

// delaysDrains matches faults that keep an operator's drain from reaching an entry: the entry is frozen, or its control
// process is dead, frozen or cut off. An entry that was killed or stopped must learn of drains before it serves again.
func delaysDrains(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return subject == entry && kind == faultFreeze || strings.HasSuffix(subject, "control of "+entry)
	}
}
