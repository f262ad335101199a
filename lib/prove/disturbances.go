package prove

import (
	"strings"
	"time"
)

// slack is how long after a fault its traces may still be seen by a client.
const slack = 500 * time.Millisecond

// cutsCallers matches faults that end or silence callers' connections to an entry. A planned stop does not.
func cutsCallers(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return kind != faultStop && (subject == entry || subject == "callers of "+entry)
	}
}

// stops matches a planned stop of an entry: it refuses new connections and cuts none.
func stops(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool { return kind == faultStop && subject == entry }
}

// delaysNews matches faults that keep news of the platform from an entry.
func delaysNews(entry string) func(subject, kind string) bool {
	return func(subject, _ string) bool {
		return subject == "platform" || strings.HasSuffix(subject, entry)
	}
}

// keepsDrains matches faults that keep an operator's drain from an entry: it is frozen, or its control process is dead,
// frozen or cut off. An entry that was killed or stopped must be told of drains before it serves again.
func keepsDrains(entry string) func(subject, kind string) bool {
	return func(subject, kind string) bool {
		return subject == entry && kind == faultFreeze || strings.HasSuffix(subject, "control of "+entry)
	}
}
