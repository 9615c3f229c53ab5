package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/ports"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/platform/standin"
)

// gate is one gate process.
type gate struct {
	cfg          Config
	settingsFile string
	callersAddr  string
	peersAddr    string
	// ports are those of its addresses, reserved until the end of the run.
	ports []*ports.Port
	store *proxy.Link
	// peerLinks is the variable of proxy.LinksEnv.
	peerLinks string
	logs      *os.File
	number    int
	rec       *record

	// restarting serializes restarts.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	starts int
	closed bool
	// suspended is the total time for which the gate was suspended, guarded by restarting.
	suspended time.Duration
}

func newGate(cfg Config, i int, store string, seeds []string, rec *record) (*gate, error) {
	l, err := proxy.New(store)
	if err != nil {
		return nil, err
	}
	boot := standin.Settings{Revocation: revocationBound, RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: retryWindow, Leaving: rec.drainBound}
	if cfg.Play == Growing {
		l.SetRate(slowLink)
		boot.LinkMbps, boot.Change = slowLink/bytesPerMegabit, changeBound
	}
	var reserved []*ports.Port
	var addrs []string
	for range 3 {
		p, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		reserved, addrs = append(reserved, p), append(addrs, p.Addr())
	}
	g := &gate{cfg: cfg, ports: reserved, settingsFile: filepath.Join(cfg.Dir, fmt.Sprintf("gate-%d.toml", i)), callersAddr: addrs[0], peersAddr: addrs[2], store: l, number: i, rec: rec}
	boot.Number, boot.Seeds, boot.Store = i, seeds, l.Addr()
	boot.Callers, boot.Readiness, boot.Peers = addrs[0], addrs[1], addrs[2]
	if err := os.WriteFile(g.settingsFile, []byte(standin.SettingsText(boot)), 0o600); err != nil {
		return nil, err
	}
	// A file of an earlier run does not count.
	_ = os.Remove(g.suspensionFile())
	g.logs, err = os.Create(strings.TrimSuffix(g.settingsFile, ".toml") + ".log")
	return g, err
}

// start starts the process and does not wait until it listens.
func (g *gate) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	cmd := exec.Command(g.cfg.Binary, "gate", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), append(g.cfg.Env, platform.SettingsFileEnv+"="+g.settingsFile, clocktest.SuspensionsEnv+"="+g.suspensionFile(), g.peerLinks)...)
	cmd.Stdout, cmd.Stderr = g.logs, g.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start gate: %w", err)
	}
	done := make(chan struct{})
	g.cmd, g.exited = cmd, done
	g.starts++
	go func() {
		defer close(done)
		// Further details of the exit are in the log of the process.
		if err := cmd.Wait(); err != nil {
			fmt.Fprintf(g.logs, "soak: gate-%d exited: %v\n", g.number, err)
		}
	}()
	return nil
}

// signal sends a signal to the current process.
func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		// A process that has exited needs no signal.
		_ = g.cmd.Process.Signal(s)
	}
}

// restart ends the process by a signal and starts it again. Restarts wait for each other;
// one that could only begin after the time by does nothing, since a gate that returns at
// the end of the run says nothing about recovery.
func (g *gate) restart(s syscall.Signal, by time.Time) {
	g.restarting.Lock()
	defer g.restarting.Unlock()
	if time.Now().After(by) {
		return
	}
	g.mu.Lock()
	done := g.exited
	g.mu.Unlock()
	at := time.Now()
	g.signal(s)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		killed := time.Now()
		g.signal(syscall.SIGKILL)
		<-done
		g.rec.addLateKill(disturbance{kind: Kill, gate: g.number, from: killed, until: time.Now()})
	}
	if s == syscall.SIGTERM {
		g.rec.addStop(plannedStop{gate: g.number, signaledAt: at, exitedAt: time.Now()})
	}
	// A gate that fails to start shows in the next step or in the checks.
	_ = g.start()
}

// reload makes the process read its settings again. A process that has not logged its start
// yet does not catch SIGHUP and would be terminated by it.
func (g *gate) reload() {
	g.mu.Lock()
	starts := g.starts
	g.mu.Unlock()
	// If the log cannot be read, the process counts as not started.
	log, _ := os.ReadFile(g.logs.Name())
	if bytes.Count(log, []byte("msg=started ")) == starts {
		g.signal(syscall.SIGHUP)
	}
}

// stopTimeout is when a process that was asked to stop is killed. The process must keep its
// grace period itself, so a second is added.
const stopTimeout = standin.Grace + time.Second

func (g *gate) close() {
	g.mu.Lock()
	g.closed = true
	done := g.exited
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	g.store.Close()
	for _, p := range g.ports {
		p.Release()
	}
	// The process has written its log.
	_ = g.logs.Close()
}
