package capacity

import (
	"time"

	"golang.org/x/sys/unix"
)

// cpuOf returns the user and system time that a process has spent, from its processor clock.
func cpuOf(pid int) (time.Duration, error) {
	// CPU clocks of other processes are numbered so by the kernel (clock_getcpuclockid); 2 selects the scheduler's clock.
	clock := int32(^pid<<3 | 2)
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
