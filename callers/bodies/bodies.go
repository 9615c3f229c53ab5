// Package bodies reads the bodies of callers' requests within a budget of memory for all of them.
//
// A body is charged as it arrives and until its request ends. What does not fit makes bodies give
// way that are still incomplete: first the one that has held the most memory for the longest time.
package bodies

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/whole"
)

const (
	// budgetShare is the budget as a share of the machine's memory.
	budgetShare = 0.25
	// DefaultMemory is assumed if the machine's memory is unknown, in bytes.
	DefaultMemory = 1 << 30
	// logPeriod is the time between two log lines about bodies without room.
	logPeriod clock.Millis = 1000
)

// ErrNoRoom means that a body does not fit into the budget.
var ErrNoRoom = errors.New("no memory is left for bodies")

// Config sets up an Account.
type Config struct {
	// Memory is the memory of the machine in bytes, 0 if it is unknown.
	Memory int64
	Clock  *clock.Clock
	Log    *slog.Logger
}

// Account is the memory that the bodies of a process's callers take. It is safe for concurrent
// use.
type Account struct {
	budget int64
	clk    *clock.Clock
	log    *slog.Logger
	held   *metrics.Gauge

	mu sync.Mutex
	// freed is signaled when memory is released or a body gives way.
	freed sync.Cond
	// used is the sum of charged over all bodies, and yielding that over those that give way and
	// have not been released yet.
	used, yielding int64
	// incomplete holds the bodies that are being read and do not give way.
	incomplete map[*Body]struct{}
	// refused counts the bodies without room since the last log line, at loggedAt.
	refused  int
	loggedAt clock.Millis

	// assembling is held while the blocks of a body are joined, so that only one body at a time
	// takes twice its size.
	assembling sync.Mutex
}

// NewAccount returns the account of a process.
func NewAccount(cfg Config) *Account {
	memory := cfg.Memory
	if memory <= 0 {
		memory = DefaultMemory
	}
	a := &Account{
		budget: int64(float64(memory) * budgetShare), clk: cfg.Clock, log: cfg.Log, incomplete: map[*Body]struct{}{}, loggedAt: -logPeriod,
		held: metrics.GetOrCreateGauge("weldfall_request_bodies_bytes", nil),
	}
	a.freed.L = &a.mu
	metrics.GetOrCreateGauge("weldfall_memory_bytes", nil).Set(float64(cfg.Memory))
	metrics.GetOrCreateGauge("weldfall_request_bodies_budget_bytes", nil).Set(float64(a.budget))
	return a
}

// Body is the body of a request. Its methods must not be called concurrently.
type Body struct {
	account *Account
	// interrupt ends a pending read of the body.
	interrupt func()
	// reserved is the part of charged beyond the body itself.
	reserved int64

	// These are guarded by account.mu. charged is the memory that the body takes, since the given
	// time. yields is true once the body has to give way.
	charged int64
	since   clock.Millis
	yields  bool
}

// Body returns a body of which nothing was read yet. interrupt must end a pending read of it and
// must not wait. Release must be called at the end of the request.
func (a *Account) Body(interrupt func()) *Body { return &Body{account: a, interrupt: interrupt} }

// Read reads the body of the given length, or of unknown length if it is negative, from r. It fails
// with whole.ErrTooLarge if the body exceeds the limit, without reading it if the length is known,
// and with ErrNoRoom if it has to give way.
func (b *Body) Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes exceed the limit of %d", whole.ErrTooLarge, length, limit)
	}
	b.begin()
	var l blockList
	err := b.readBlocks(&l, r, length, limit)
	if b.end() && !errors.Is(err, whole.ErrTooLarge) {
		err = ErrNoRoom
	}
	if err != nil {
		// The blocks are free before others may take their place.
		l.free()
		b.Release()
		return nil, err
	}
	body := b.assemble(&l)
	l.free()
	b.recharge(int64(cap(body)))
	return body, nil
}

// assemble joins the blocks of the body.
func (b *Body) assemble(l *blockList) []byte {
	b.account.assembling.Lock()
	defer b.account.assembling.Unlock()
	return l.join()
}

// readBlocks reads the body into blocks.
func (b *Body) readBlocks(l *blockList, r io.Reader, length, limit int64) error {
	for length < 0 || l.size < length {
		if l.full() {
			n := l.nextSize(length)
			if err := b.charge(int64(n)); err != nil {
				return err
			}
			l.add(n)
		}
		err := l.fill(r)
		switch {
		case l.size > limit:
			return fmt.Errorf("%w: more than %d bytes", whole.ErrTooLarge, limit)
		case errors.Is(err, io.EOF) && (length < 0 || l.size == length):
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// Reserve sets what else the request takes because of its body, such as encoded copies of it, in
// bytes. The body must have been read. It fails with ErrNoRoom if that does not fit, and takes
// nothing else then.
func (b *Body) Reserve(n int64) error {
	if n > b.reserved {
		if err := b.charge(n - b.reserved); err != nil {
			return err
		}
	} else {
		b.recharge(b.charged - b.reserved + n)
	}
	b.reserved = n
	return nil
}

// Release takes the body off the account.
func (b *Body) Release() {
	b.reserved = 0
	b.recharge(0)
}

// begin makes the body one that may have to give way.
func (b *Body) begin() {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	b.since = a.clk.Now()
	a.incomplete[b] = struct{}{}
}

// end makes the body one that does not give way any more. It reports whether it has to already.
func (b *Body) end() (yields bool) {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.incomplete, b)
	return b.yields
}

// charge adds n bytes to what the body takes. It waits until others have given way for it, and fails
// with ErrNoRoom if the body itself has to, or if none is left that may.
func (b *Body) charge(n int64) error {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for !b.yields && !a.fits(b, n, a.used) {
		a.makeRoom(b, n)
		switch {
		case b.yields:
		case !a.fits(b, n, a.used-a.yielding):
			a.recordRefused()
			return ErrNoRoom
		default:
			a.freed.Wait()
		}
	}
	if b.yields {
		return ErrNoRoom
	}
	b.charged += n
	a.used += n
	a.held.Set(float64(a.used))
	return nil
}

// recharge sets what the body takes, which may be less than before.
func (b *Body) recharge(n int64) {
	// Nothing else changes it.
	if b.charged == n {
		return
	}
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.yields {
		a.yielding += n - b.charged
	}
	a.used += n - b.charged
	b.charged = n
	a.held.Set(float64(a.used))
	a.freed.Broadcast()
}

// fits reports whether n more bytes of a body fit into the budget if all bodies take used bytes. A
// body that is the only one fits whatever its size. a.mu must be held.
func (a *Account) fits(b *Body, n, used int64) bool { return used+n <= a.budget || used == b.charged }

// makeRoom makes bodies give way until n more bytes of a body fit once they are released, until the
// body itself gives way, or until none is left that may. a.mu must be held.
func (a *Account) makeRoom(b *Body, n int64) {
	for !b.yields && !a.fits(b, n, a.used-a.yielding) && len(a.incomplete) > 0 {
		other := a.costliest()
		delete(a.incomplete, other)
		other.yields = true
		a.yielding += other.charged
		other.interrupt()
		a.recordRefused()
	}
	// Those that wait themselves may have to give way.
	a.freed.Broadcast()
}

// costliest returns the incomplete body that has taken the most memory for the longest time. a.mu
// must be held, and there must be one.
func (a *Account) costliest() *Body {
	now := a.clk.Now()
	var found *Body
	var most int64
	for b := range a.incomplete {
		if cost := b.charged * int64(now-b.since+1); found == nil || cost > most {
			found, most = b, cost
		}
	}
	return found
}

var refusedTotal = metrics.NewCounter("weldfall_request_bodies_refused_total")

// recordRefused counts and logs a body without room. a.mu must be held.
func (a *Account) recordRefused() {
	refusedTotal.Inc()
	a.refused++
	if now := a.clk.Now(); now-a.loggedAt >= logPeriod {
		a.log.Warn("bodies_refused", "bodies", a.refused, "held", a.used, "budget", a.budget, "incomplete", len(a.incomplete))
		a.refused, a.loggedAt = 0, now
	}
}
