// Package clocktest has hands of a clock that tests move apart, as a suspension or a set
// time of day does.
package clocktest

import (
	"sync"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// Source go with the machine's, apart from what a test moves.
type Source struct {
	start time.Time

	mu sync.Mutex
	// suspended is what the steady time leaves out, set what the time of day was set by.
	suspended, set time.Duration
	// noBoot is true for an instance that does not tell the time since its boot.
	noBoot bool
	boots  int
}

var _ clock.Source = (*Source)(nil)

// New returns hands that nothing has moved.
func New() *Source { return &Source{start: time.Now()} }

// NewWithoutBootTime returns hands of an instance that does not tell the time since its boot.
func NewWithoutBootTime() *Source { return &Source{start: time.Now(), noBoot: true} }

// Suspend makes the instance have been suspended for d: all but the steady time, and the
// timers, went on.
func (h *Source) Suspend(d time.Duration) { h.SuspendAndStep(d, 0) }

// StepWallTime moves the time of day by d.
func (h *Source) StepWallTime(d time.Duration) { h.SuspendAndStep(0, d) }

// SuspendAndStep does both at the same moment.
func (h *Source) SuspendAndStep(suspended, set time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspended += suspended
	h.set += set
}

// BootTimeReads returns how often the time since the boot was read.
func (h *Source) BootTimeReads() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boots
}

// Read implements clock.Source.
func (h *Source) Read() (steady, day time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	steady = time.Since(h.start)
	return steady, steady + h.suspended + h.set
}

// SinceBoot implements clock.Source.
func (h *Source) SinceBoot() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	return time.Since(h.start) + h.suspended, !h.noBoot
}
