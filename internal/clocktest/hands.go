// Package clocktest provides a time source of a clock for tests, which can simulate a
// suspension of the instance or a change of the wall time.
package clocktest

import (
	"sync"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// Source follows the machine's clocks, apart from simulated suspensions and steps.
type Source struct {
	start time.Time

	mu sync.Mutex
	// suspended is missing from the steady time, step is the sum of the steps of the
	// wall time.
	suspended, step time.Duration
	noBootTime      bool
	bootTimeReads   int
}

var _ clock.Source = (*Source)(nil)

// New returns a source without suspensions or steps.
func New() *Source { return &Source{start: time.Now()} }

// NewWithoutBootTime returns a source of an instance that does not provide the time since boot.
func NewWithoutBootTime() *Source { return &Source{start: time.Now(), noBootTime: true} }

// Suspend simulates that the instance was suspended for d: the wall time and the time since
// boot include d, the steady time and the timers do not.
func (s *Source) Suspend(d time.Duration) { s.SuspendAndStep(d, 0) }

// StepWallTime moves the wall time by d.
func (s *Source) StepWallTime(d time.Duration) { s.SuspendAndStep(0, d) }

// SuspendAndStep does both at once.
func (s *Source) SuspendAndStep(suspended, step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended += suspended
	s.step += step
}

// BootTimeReads returns how often the time since boot was read.
func (s *Source) BootTimeReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootTimeReads
}

// Read implements clock.Source.
func (s *Source) Read() (steady, wall time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady = time.Since(s.start)
	return steady, steady + s.suspended + s.step
}

// SinceBoot implements clock.Source.
func (s *Source) SinceBoot() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootTimeReads++
	return time.Since(s.start) + s.suspended, !s.noBootTime
}
