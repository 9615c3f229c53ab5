package soak

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/platform/standin"
)

const (
	// maxCopyAge limits the age of the copy that the store is restored from,
	// maxStoreDowntime how long the store is unavailable, and maxRewriteDelay, about two
	// seconds, when operators and engines write again what the copy lacks. Their sum
	// exceeds the bound for revoked keys.
	maxCopyAge       = 3 * time.Second
	maxStoreDowntime = 600 * time.Millisecond
	maxRewriteDelay  = 2300 * time.Millisecond
)

// copyingKinds are the steps of a copying play: restores and suspensions in series, along
// with signals and cut connections.
var copyingKinds = slices.Concat(mixedKinds, []Kind{RestoreStore, RestoreStore, Suspend, Suspend, Suspend, Suspend, PublishConfig, DrainEngine, AddEngine, RestartEngines})

// restoreStore restores the store from a copy, and all live writers write again. Every
// second copy has a key that is revoked right after it was made, and a gate starts before
// the revocation is written again, mostly later than a revoked key may be accepted.
func (w *deployment) restoreStore(s Step) {
	w.restoring.Lock()
	defer w.restoring.Unlock()
	if time.Now().After(w.quietFrom) {
		// The validity of keys would be unconfirmed for too long.
		return
	}
	revokes := s.Index%2 == 0
	before, after := s.Duration%maxCopyAge, s.Duration%maxRewriteDelay
	if revokes {
		before, after = (before+maxCopyAge)/2, (after+2*maxRewriteDelay)/3
	}
	c := w.store.Snapshot()
	if revokes {
		w.revoke()
	}
	time.Sleep(before)
	w.store.SetFault(standin.Busy)
	time.Sleep(before % maxStoreDowntime)
	w.store.Restore(c)
	w.store.SetFault(standin.None)
	if revokes {
		w.wg.Go(func() { w.gates[s.Index%len(w.gates)].restart(syscall.SIGKILL, w.quietFrom) })
	}
	time.Sleep(after)
	w.rewriteConfig()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range w.engines {
		w.publishEngine(i, w.rec.state(e.ID()))
	}
}

// rewriteConfig writes the latest version of the config again.
func (w *deployment) rewriteConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfig()
}

// suspend simulates the suspension of an instance: its process is stopped, and its steady
// clock does not count that time. Like restart, it does nothing after the time by.
func (g *gate) suspend(d time.Duration, by time.Time) {
	g.restarting.Lock()
	defer g.restarting.Unlock()
	if time.Now().After(by) {
		return
	}
	g.signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.suspended += d
	// If the file cannot be written, the suspension acts as a pause.
	_ = os.WriteFile(g.suspensionFile(), []byte(strconv.FormatInt(g.suspended.Milliseconds(), 10)), 0o600)
	g.signal(clocktest.ResumeSignal)
	g.signal(syscall.SIGCONT)
}

// suspensionFile returns the path of the file with the total time for which the gate was
// suspended.
func (g *gate) suspensionFile() string {
	return strings.TrimSuffix(g.settingsFile, ".toml") + ".suspended"
}
