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

// SuspensionsEnv names a file with the total simulated suspension of a test's process, in
// milliseconds.
const SuspensionsEnv = "WELDFALL_TEST_SUSPENSIONS"

// ResumeSignal makes such a process read the file. A process without a handler ignores it.
const ResumeSignal = syscall.SIGWINCH

// SimulateSuspensions makes the steady clock of this process leave out the time in the file of
// SuspensionsEnv, if that is set, as after a suspension of the instance. A test that stops the
// process by a signal for as long does suspend it, but its timers go on.
func SimulateSuspensions() {
	path := os.Getenv(SuspensionsEnv)
	if path == "" {
		return
	}
	s := &fileSource{start: time.Now(), path: path}
	s.read()
	s.initial = s.suspended.Load()
	resumed := make(chan os.Signal, 1)
	signal.Notify(resumed, ResumeSignal)
	go func() {
		for range resumed {
			s.read()
		}
	}()
	clock.SetSystemSource(func() clock.Source { return s })
}

// fileSource follows the machine's clocks, but its steady time leaves the suspensions out.
type fileSource struct {
	start time.Time
	path  string
	// initial is the total suspension at the start of the process and suspended the
	// current one, in nanoseconds. Only their difference is missing from the steady
	// time, which counts from the start of the process.
	initial   int64
	suspended atomic.Int64
}

// read updates the total suspension from the file. Without a valid file it changes nothing.
func (s *fileSource) read() {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return
	}
	if ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
		s.suspended.Store(ms * int64(time.Millisecond))
	}
}

// Read implements clock.Source.
func (s *fileSource) Read() (steady, wall time.Duration) {
	now := time.Now()
	return now.Sub(s.start) - time.Duration(s.suspended.Load()-s.initial), time.Duration(now.UnixNano())
}

// SinceBoot implements clock.Source.
func (s *fileSource) SinceBoot() (time.Duration, bool) { return time.Since(s.start), true }
