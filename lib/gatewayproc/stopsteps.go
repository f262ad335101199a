package gatewayproc

import (
	"time"

	"golang.org/x/sys/unix"

	"anvilwick.example/anvilwick/lib/stopping"
)

const (
	// outOfRotation is how long after SIGTERM the balancer may still send new connections: it checks once a second and
	// takes an instance out of rotation after two failed checks.
	outOfRotation = 2500 * time.Millisecond
	// abortMargin is how long before the kill open responses are aborted, at most one abortShare-th of the grace period. Aborted calls are answered
	// after it, on a busy machine, too; the records and the log are written last.
	abortMargin = 700 * time.Millisecond
	abortShare  = 6
	// Parts of the abort margin before the kill: when connections of callers are closed that still wait, with nothing to read or a reader that is
	// slow; when they are closed after an abort that came late; when the records have been handed over; and when the log is no longer awaited.
	closePart, lastClosePart, recordsPart, logPart = 2, 6, 12, 16
)

// stopSteps are the times of a planned stop's steps.
type stopSteps struct {
	stopping.Schedule
	closeAt   time.Time // connections of callers are closed that still wait
	lastClose time.Time // the same if the process stood still until after the abort was due
	recordsBy time.Time // the end of the hand-over of records
	logBy     time.Time // the end of writing the log, which nobody may read
}

// planStop returns the steps of a stop that began at start on a machine that has been suspended for a time since: the platform's kill does not wait for
// that, and the steady clock does not count it.
func planStop(start time.Time, asleep, grace time.Duration) stopSteps {
	start = start.Add(-asleep)
	end := start.Add(grace)
	abort := min(abortMargin, grace/abortShare)
	return stopSteps{
		Schedule:  stopping.Schedule{InRotation: start.Add(min(outOfRotation, grace/2)), By: end.Add(-abort)},
		closeAt:   end.Add(-abort / closePart),
		lastClose: end.Add(-abort / lastClosePart),
		recordsBy: end.Add(-abort / recordsPart),
		logBy:     end.Add(-abort / logPart),
	}
}

// closeAfter returns when connections are closed after an abort. Where that came late, aborted calls still get the time to be answered, as far as
// there is any.
func (s stopSteps) closeAfter(aborted time.Time) time.Time {
	late := aborted.Add(s.closeAt.Sub(s.By))
	if late.After(s.lastClose) {
		late = s.lastClose
	}
	if late.Before(s.closeAt) {
		return s.closeAt
	}
	return late
}

// suspended returns for how long the machine has been suspended since its boot.
func suspended() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// minSuspension is the shortest suspension that counts. Two readings of the clocks differ by less even if there was none.
const minSuspension = 100 * time.Millisecond
