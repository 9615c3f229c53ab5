// Package clocktest has hands of a clock that tests move apart, as a suspension or a set
// time of day does.
package clocktest

import (
	"sync"
	"time"

	"github.com/weldfall/weldfall/common/clock"
)

// Hands go with the machine's, apart from what a test moves.
type Hands struct {
	start time.Time

	mu sync.Mutex
	// suspended is what the steady time leaves out, set what the time of day was set by.
	suspended, set time.Duration
	// noBoot is true for an instance that does not tell the time since its boot.
	noBoot bool
	boots  int
}

var _ clock.Source = (*Hands)(nil)

// New returns hands that nothing has moved.
func New() *Hands { return &Hands{start: time.Now()} }

// WithoutBoot returns hands of an instance that does not tell the time since its boot.
func WithoutBoot() *Hands { return &Hands{start: time.Now(), noBoot: true} }

// Suspend makes the instance have been suspended for d: all but the steady time, and the
// timers, went on.
func (h *Hands) Suspend(d time.Duration) { h.Move(d, 0) }

// Set moves the time of day by d.
func (h *Hands) Set(d time.Duration) { h.Move(0, d) }

// Move does both at the same moment.
func (h *Hands) Move(suspended, set time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspended += suspended
	h.set += set
}

// Boots returns how often the time since the boot was read.
func (h *Hands) Boots() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boots
}

// Read implements clock.Source.
func (h *Hands) Read() (steady, day time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	steady = time.Since(h.start)
	return steady, steady + h.suspended + h.set
}

// SinceBoot implements clock.Source.
func (h *Hands) SinceBoot() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	return time.Since(h.start) + h.suspended, !h.noBoot
}
