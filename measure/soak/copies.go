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
	// copiedBefore bounds how old the copy is that the store comes back from, awayFor how
	// long it is away, and rewrittenAfter when operators and engines write again what it
	// lacks: some two seconds at most. Together they are longer than the bound for revoked
	// keys.
	maxCopyAge       = 3 * time.Second
	maxStoreDowntime = 600 * time.Millisecond
	maxRewriteDelay  = 2300 * time.Millisecond
)

// copyingKinds is drawn from in a copying play: eras and suspensions come in series, beside
// signals and cuts.
var copyingKinds = slices.Concat(mixedKinds, []Kind{RestoreStore, RestoreStore, Suspend, Suspend, Suspend, Suspend, PublishConfig, DrainEngine, AddEngine, RestartEngines})

// comeBack has the store come back from a copy, and all that live write again. One of two
// copies has a key that is taken away right after it was made, and a gate starts before
// that is written again, mostly later than a revoked key may be accepted.
func (w *deployment) restoreStore(s Step) {
	w.restoring.Lock()
	defer w.restoring.Unlock()
	if time.Now().After(w.quietFrom) {
		// Keys would be in doubt until too late.
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
		w.list(i, w.rec.state(e.ID()))
	}
}

// publishAgain writes the latest version of the config again.
func (w *deployment) rewriteConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfig()
}

// suspend stands for the suspension of an instance: its process is stopped, and its steady
// clock leaves that out. As a restart it does not come later than by.
func (g *gate) suspend(d time.Duration, by time.Time) {
	g.restarting.Lock()
	defer g.restarting.Unlock()
	if time.Now().After(by) {
		return
	}
	g.signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.suspended += d
	// A file that cannot be written makes it a pause.
	_ = os.WriteFile(g.suspensionFile(), []byte(strconv.FormatInt(g.suspended.Milliseconds(), 10)), 0o600)
	g.signal(clocktest.ResumeSignal)
	g.signal(syscall.SIGCONT)
}

// suspensions is the file with what the gate was suspended for.
func (g *gate) suspensionFile() string {
	return strings.TrimSuffix(g.settingsFile, ".toml") + ".suspended"
}
