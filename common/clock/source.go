package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemSource reads the clocks of the machine.
type systemSource struct{ start time.Time }

// Read implements Source.
func (s systemSource) Read() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(s.start), time.Duration(now.UnixNano())
}

// SinceBoot implements Source.
func (systemSource) SinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
