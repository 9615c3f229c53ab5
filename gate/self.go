package gate

import (
	"log/slog"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/logline"
)

// minStall is how late a sweep must be for the process to have stood still.
const minStall clock.Millis = 500

// selfCheck is what a process notices of itself.
type selfCheck struct {
	stalls *clock.PauseDetector
	// dropped is how many lines of the log were lost when that was last told.
	dropped uint64
}

func newSelfCheck(now clock.Millis) *selfCheck {
	return &selfCheck{stalls: clock.NewPauseDetector(sweepPeriod+minStall, now), dropped: logline.Dropped()}
}

// check tells how long the process did not run, be it frozen or starved, and how many lines
// of the log were lost. It is called every sweepPeriod.
func (s *selfCheck) check(now clock.Millis, log *slog.Logger) {
	if gap := s.stalls.Tick(now); gap > 0 {
		log.Warn("stalled", "late_ms", gap-sweepPeriod)
	}
	if n := logline.Dropped(); n > s.dropped {
		log.Warn("lines_dropped", "lines", n-s.dropped)
		s.dropped = n
	}
}
