package gate

import (
	"log/slog"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/logline"
)

// stallLeast is how late a sweep must be for the process to have stood still.
const stallLeast clock.Millis = 500

// selfCheck is what a process notices of itself.
type selfCheck struct {
	stalls *clock.PauseDetector
	// dropped is how many lines of the log were lost when that was last told.
	dropped uint64
}

func newSelfCheck(now clock.Millis) *selfCheck {
	return &selfCheck{stalls: clock.NewPauseDetector(sweepPeriod+stallLeast, now), dropped: logline.Dropped()}
}

// look tells how long the process did not run, be it frozen or starved, and how many lines
// of the log were lost. It is called every sweepPeriod.
func (s *selfCheck) look(now clock.Millis, log *slog.Logger) {
	if gap := s.stalls.Tick(now); gap > 0 {
		log.Warn("stalled", "late_ms", gap-sweepPeriod)
	}
	if n := logline.Dropped(); n > s.dropped {
		log.Warn("lines_dropped", "lines", n-s.dropped)
		s.dropped = n
	}
}
