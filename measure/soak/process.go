package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/platform/standin"
)

// gate is one process.
type gate struct {
	cfg          Config
	settingsFile string
	callers      string
	peers        string
	store        *proxy.Link
	logs         *os.File
	number       int
	rec          *record

	// restarting makes overlapping restarts one after the other.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present process has ended.
	exited chan struct{}
	starts int
	closed bool
	// suspended is for how long the gate was suspended in all, guarded by restarting.
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
	var addrs []string
	for range 3 {
		a, err := unusedAddr()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, a)
	}
	g := &gate{cfg: cfg, settingsFile: filepath.Join(cfg.Dir, fmt.Sprintf("gate-%d.toml", i)), callers: addrs[0], peers: addrs[2], store: l, number: i, rec: rec}
	boot.Number, boot.Seeds, boot.Store = i, seeds, l.Addr()
	boot.Callers, boot.Readiness, boot.Peers = addrs[0], addrs[1], addrs[2]
	if err := os.WriteFile(g.settingsFile, []byte(standin.SettingsText(boot)), 0o600); err != nil {
		return nil, err
	}
	// One of a run before counts for nothing.
	_ = os.Remove(g.suspensionFile())
	g.logs, err = os.Create(strings.TrimSuffix(g.settingsFile, ".toml") + ".log")
	return g, err
}

// Ports of gates lie below those that the system hands out to connections that
// are opened: one of these could take a gate's port while it is restarted.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort is the port to be tried next; runs of other processes most likely
// begin elsewhere.
var nextPort = struct {
	sync.Mutex
	n int
}{n: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddr returns an address that nobody listens on and that is given to no
// other gate.
func unusedAddr() (string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	var err error
	for range lastPort - firstPort {
		if nextPort.n++; nextPort.n > lastPort {
			nextPort.n = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.n)
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d: %w", firstPort, lastPort, err)
}

// begin starts the process and does not wait until it listens.
func (g *gate) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	cmd := exec.Command(g.cfg.Binary, "gate", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), append(g.cfg.Env, platform.SettingsFileEnv+"="+g.settingsFile, clocktest.SuspensionsEnv+"="+g.suspensionFile())...)
	cmd.Stdout, cmd.Stderr = g.logs, g.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start gate: %w", err)
	}
	done := make(chan struct{})
	g.cmd, g.exited = cmd, done
	g.starts++
	go func() {
		defer close(done)
		// The rest of how it ended is in its log.
		if err := cmd.Wait(); err != nil {
			fmt.Fprintf(g.logs, "soak: gate-%d ended: %v\n", g.number, err)
		}
	}()
	return nil
}

// signal sends a signal to the present process.
func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		// A process that has ended needs no signal.
		_ = g.cmd.Process.Signal(s)
	}
}

// restart ends the process by a signal and starts it again, unless its turn
// comes later than by: restarts wait for one another, and a gate that returns
// at the end of the run says nothing of recovery.
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
	// The next trouble or the judgement shows a gate that did not start.
	_ = g.start()
}

// reload has the process read its settings again. One that has not told yet that it
// started does not catch signals, and would end by this one.
func (g *gate) reload() {
	g.mu.Lock()
	starts := g.starts
	g.mu.Unlock()
	// A log that cannot be read shows no start.
	told, _ := os.ReadFile(g.logs.Name())
	if bytes.Count(told, []byte("msg=started ")) == starts {
		g.signal(syscall.SIGHUP)
	}
}

// restartLimit is when a process is killed that was told to stop. The grace is
// its own to keep, so a second is added.
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
	// The log has been written by the process.
	_ = g.logs.Close()
}
