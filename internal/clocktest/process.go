package clocktest

import (
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// SuspensionsEnv names a file with the milliseconds for which a process of a test counts
// as suspended so far.
const SuspensionsEnv = "WELDFALL_TEST_SUSPENSIONS"

// ResumeSignal is the signal on which such a process reads the file. One that does not know of
// it is not ended by it.
const ResumeSignal = syscall.SIGWINCH

// SimulateSuspensions makes the clocks of this process leave out what the file of SuspensionsEnv
// says, if that is set, as the steady clock of an instance does that was suspended.
// Stopped for as long by a signal the process has been indeed, but its timers went on.
func SimulateSuspensions() {
	path := os.Getenv(SuspensionsEnv)
	if path == "" {
		return
	}
	h := &fileHands{start: time.Now(), path: path}
	h.read()
	h.before = h.out.Load()
	resumed := make(chan os.Signal, 1)
	signal.Notify(resumed, ResumeSignal)
	go func() {
		for range resumed {
			h.read()
		}
	}()
	clock.SetSystemSource(func() clock.Source { return h })
}

// fileHands are the machine's hands of which the steady one lags.
type fileHands struct {
	start time.Time
	path  string
	// before is what was left out before the process began, as it is of a steady time
	// that is counted from the boot, and out is with what was since, in nanoseconds.
	before int64
	out    atomic.Int64
}

// read takes what the file says. Without one nothing is left out.
func (h *fileHands) read() {
	text, err := os.ReadFile(h.path)
	if err != nil {
		return
	}
	if ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
		h.out.Store(ms * int64(time.Millisecond))
	}
}

// Read implements clock.Source.
func (h *fileHands) Read() (steady, day time.Duration) {
	now := time.Now()
	return now.Sub(h.start) - time.Duration(h.out.Load()-h.before), time.Duration(now.UnixNano())
}

// SinceBoot implements clock.Source.
func (h *fileHands) SinceBoot() (time.Duration, bool) { return time.Since(h.start), true }
