// Package lab starts the gate of the deploy file as separate processes on loopback, with
// stand-ins for the platform's store and its engines, and records what was sent, answered
// and run. It serves the review cases that are scripts.
package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Host and Key are those of the published config.
const (
	Host = "desk.example"
	Key  = "k-review"
)

// Lab is one run of a case.
type Lab struct {
	// Store is the stand-in of the platform's store, at StoreAddr.
	Store     *standin.Store
	StoreAddr string
	Trouble   bool

	dir     string
	began   time.Time
	storeMu sync.Mutex
	heads   *http.Server

	mu     sync.Mutex
	record *os.File
	gates  []*Gate
	fronts []*Front
}

// New returns a lab whose record is written to the file at recordPath. The environment
// variable TROUBLE=0 makes it a run without the disruption.
func New(recordPath string) (*Lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &Lab{Store: standin.NewStore(500), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.StoreAddr = ln.Addr().String()
	l.heads = &http.Server{Handler: l.Store}
	go func() { _ = l.heads.Serve(ln) }()
	l.Recordf("start trouble=%t", l.Trouble)
	return l, nil
}

// Recordf writes a line to the record, with the seconds since the start of the run.
func (l *Lab) Recordf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A record that cannot be written fails the run when it is closed.
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that the lab started, and the record.
func (l *Lab) Close() error {
	for _, g := range l.gates {
		g.kill()
	}
	_ = l.heads.Close()
	for _, f := range l.fronts {
		_ = f.srv.Close()
	}
	if err := os.RemoveAll(l.dir); err != nil {
		return err
	}
	return l.record.Close()
}

// Publish writes an item of the store and returns when the store confirmed it.
func (l *Lab) Publish(key string, value any) time.Time {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.Store.Put(key, value)
	return time.Now()
}

// Withdraw removes an item of the store.
func (l *Lab) Withdraw(key string) time.Time {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.Store.Remove(key)
	return time.Now()
}

// Entry returns an engine's entry in the store.
func Entry(service, addr, state string) map[string]any {
	return map[string]any{
		"service": service, "address": addr, "zone": "hall-a", "version": "v1", "capacity": 64, "state": state, "warmupLeftMs": 0, "seq": 1,
	}
}

// Route returns a route of the config.
func Route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "pathPrefix": prefix, "type": kind, "service": service, "attempts": attempts,
		"timeoutMs": 4000, "goalMs": 300, "gapGoalMs": 300, "priority": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// Config returns a config with one tenant.
func Config(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "maxConns": 500, "healthPath": "/healthz"})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "desk", "apiKeys": []string{Key}, "priority": 2}},
	}
}

// Bounds are figures of a settings file. Zero values select those of the small sites.
type Bounds struct {
	ContactMs, DrainMs, ConfigMs, RevokeMs, GraceS int
	// LenientRevoke turns strictRevoke off.
	LenientRevoke bool
	// LinkMbps is the machine's link in Mbit/s.
	LinkMbps int
}

// Gate is a gate process.
type Gate struct {
	Name, IP, Addr, Ready, Control string

	l        *Lab
	settings string
	store    string
	seeds    []string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

// Plan reserves the addresses of a gate that is started later.
func (l *Lab) Plan(name, ip string) (*Gate, error) {
	g := &Gate{Name: name, IP: ip, l: l, settings: filepath.Join(l.dir, name+".toml"), store: l.StoreAddr}
	for _, to := range []*string{&g.Addr, &g.Ready, &g.Control} {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		*to = ln.Addr().String()
	}
	return g, nil
}

// SetStore makes the gate reach the store at another address, as through a proxy.
func (g *Gate) SetStore(addr string) { g.store = addr }

// SetSeeds sets the addresses of the peers that the gate contacts first.
func (g *Gate) SetSeeds(seeds []string) { g.seeds = seeds }

// WriteSettings writes the settings file.
func (g *Gate) WriteSettings(b Bounds) error {
	seeds, err := json.Marshal(g.seeds)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(settingsFile, g.Name, g.IP, seeds, g.Addr, g.Ready, g.Control, cmp.Or(b.LinkMbps, 1000), cmp.Or(b.ContactMs, 3000), cmp.Or(b.DrainMs, 2000), cmp.Or(b.GraceS, 8),
		cmp.Or(b.ConfigMs, 2000), !b.LenientRevoke, cmp.Or(b.RevokeMs, 5000), g.store)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

const settingsFile = `node = %q
role = "gate"
class = "edge"
serves = ["edge","ctrl"]
ip = %q
zone = "hall-a"
region = "area-a"
portRange = [7340,7355]
seeds = %s
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
hall-a = "area-a"
[listen]
http = %q
readiness = %q
control = %q
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = %d.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = %d
ackMs = 4000
catchUpS = 4
drainMs = %d
graceS = %d
lossSlackMs = 200
configMs = %d
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = %t
revokeMs = %d
retryRatio = 0.2
retryWindowS = 10
retryExtra = 58
recoverS = 12
passMs = 120
retryAfterS = 10
capFactor = 2
[platform]
address = %q
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
`

// Start starts the gate with the command of the deploy file.
func (g *Gate) Start(b Bounds) error {
	if err := g.WriteSettings(b); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(g.l.dir, g.Name+".log"))
	if err != nil {
		return err
	}
	g.log = log
	g.cmd = exec.Command("target/weldfall", "gate")
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WELDFALL_NODE_FILE=" + g.settings, "WELDFALL_HALL_MEGABYTE_MS=", "WELDFALL_HALL_MIN_ADVANTAGE_MS="}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func() {
		defer close(g.done)
		// The exit code is in the process's state.
		_ = g.cmd.Wait()
	}()
	g.l.mu.Lock()
	g.l.gates = append(g.l.gates, g)
	g.l.mu.Unlock()
	g.l.Recordf("%s started, callers at %s", g.Name, g.Addr)
	return nil
}

// Signal sends a signal to the process.
func (g *Gate) Signal(s syscall.Signal) error {
	g.l.Recordf("%s gets %s", g.Name, s)
	return g.cmd.Process.Signal(s)
}

// Alive reports whether the process runs.
func (g *Gate) Alive() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// Log returns what the process wrote so far.
func (g *Gate) Log() string {
	b, err := os.ReadFile(g.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// RecordLog copies the lines of the process's log that contain one of the words to the record.
func (g *Gate) RecordLog(words ...string) {
	for line := range strings.Lines(g.Log()) {
		for _, w := range words {
			if strings.Contains(line, w) {
				g.l.Recordf("log %s", strings.TrimSpace(line))
				break
			}
		}
	}
}

func (g *Gate) kill() {
	_ = g.cmd.Process.Kill()
	<-g.done
	_ = g.log.Close()
}

// AwaitReady waits until all gates say that they are ready, or returns false after the limit.
func (l *Lab) AwaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, g := range l.gates {
		for !g.IsReady() {
			if time.Now().After(deadline) {
				l.Recordf("%s is not ready", g.Name)
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.Recordf("%d gates are ready", len(l.gates))
	return true
}

// IsReady asks the gate whether it is ready.
func (g *Gate) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + g.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
