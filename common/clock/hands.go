package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemHands are the clocks of the machine.
type systemHands struct{ start time.Time }

// Read implements Source.
func (h systemHands) Read() (steady, day time.Duration) {
	now := time.Now()
	return now.Sub(h.start), time.Duration(now.UnixNano())
}

// SinceBoot implements Source.
func (systemHands) SinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
