package capacity

import (
	"time"

	"golang.org/x/sys/unix"
)

// processCPU returns the user and system time that a process has used, from its processor clock.
func processCPU(pid int) (time.Duration, error) {
	// The kernel numbers the CPU clocks of other processes this way (clock_getcpuclockid); 2 selects the scheduler's clock.
	clock := int32(^pid<<3 | 2)
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
