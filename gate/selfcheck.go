package gate

import (
	"log/slog"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/logline"
)

// minStall is how late a sweep must be for the process to count as stalled.
const minStall clock.Millis = 500

// selfCheck detects stalls of the process and lost log lines.
type selfCheck struct {
	stalls *clock.PauseDetector
	// dropped is the number of lost log lines that were reported.
	dropped uint64
}

func newSelfCheck(now clock.Millis) *selfCheck {
	return &selfCheck{stalls: clock.NewPauseDetector(sweepPeriod+minStall, now), dropped: logline.Dropped()}
}

// check logs how long the process did not run, frozen or starved, and how many log lines
// were lost. It is called every sweepPeriod.
func (s *selfCheck) check(now clock.Millis, log *slog.Logger) {
	if gap := s.stalls.Tick(now); gap > 0 {
		log.Warn("stalled", "late_ms", gap-sweepPeriod)
	}
	if n := logline.Dropped(); n > s.dropped {
		log.Warn("lines_dropped", "lines", n-s.dropped)
		s.dropped = n
	}
}
