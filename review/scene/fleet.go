package main

import (
	"bufio"
	"fmt"
	"io"
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

// fleet is a small deployment: the platform's store, engines and gates, with every process but
// the store's in one of its own.
type fleet struct {
	// program is the program of the deploy file, self this program.
	program, self, dir string
	record             *record
	store              *standin.Store
	storeAddr          string

	mu       sync.Mutex
	gates    []*gate
	children map[int]*exec.Cmd
	// onLine is called with each line of an engine. It may be nil.
	onLine func(e *engineProc, line string)
	boots  int
}

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func newFleet(program, self, dir string, rec *record) (*fleet, error) {
	f := &fleet{program: program, self: self, dir: dir, record: rec, store: standin.NewStore(500), children: map[int]*exec.Cmd{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, f.store) }()
	return f, nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	cmds := f.children
	f.children = map[int]*exec.Cmd{}
	f.mu.Unlock()
	for _, c := range cmds {
		_ = c.Process.Kill()
	}
}

func (f *fleet) spawn(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.children[cmd.Process.Pid] = cmd
	f.mu.Unlock()
	return nil
}

func (f *fleet) forget(pid int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.children, pid)
}

// engineProc is an engine in a process of its own.
type engineProc struct {
	id, service, addr string
	cmd               *exec.Cmd
}

// startEngine starts an engine, "" for a free address, and lists it once it accepts connections.
func (f *fleet) startEngine(service, addr string, slots int) (*engineProc, error) {
	if addr == "" {
		var err error
		if addr, err = freeAddr("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	f.boots++
	e := &engineProc{id: fmt.Sprintf("i-%04d%s", f.boots, service), service: service, addr: addr}
	e.cmd = exec.Command(f.self, "engine", addr, e.id, fmt.Sprint(slots))
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := f.spawn(e.cmd); err != nil {
		return nil, err
	}
	go f.readLines(e, out)
	if err := awaitListener(addr); err != nil {
		return nil, err
	}
	f.list(e, "ready")
	return e, nil
}

func (f *fleet) readLines(e *engineProc, out io.Reader) {
	for s := bufio.NewScanner(out); s.Scan(); {
		f.record.add("%s", s.Text())
		if f.onLine != nil {
			f.onLine(e, s.Text())
		}
	}
	_ = e.cmd.Wait()
	f.forget(e.cmd.Process.Pid)
}

// list writes the entry of an engine.
func (f *fleet) list(e *engineProc, state string) {
	f.record.add("store lists %s of %s at %s as %s", e.id, e.service, e.addr, state)
	f.store.Put("servers/"+e.id, standin.EntryAt(e.service, e.addr, state))
}

// unlist removes the entry of an engine, as the platform does after three heartbeats of silence.
func (f *fleet) unlist(e *engineProc) {
	f.record.add("store removes %s", e.id)
	f.store.Remove("servers/" + e.id)
}

// gate is a process of the deploy file's role.
type gate struct {
	name, ip, http, readiness string
	cmd                       *exec.Cmd
	logs                      *os.File

	mu     sync.Mutex
	misses int
	in     bool
}

const settings = `node = %q
role = "gate"
class = "edge"
serves = ["edge", "ctrl"]
ip = %q
zone = "hall-a"
region = "r"
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
hall-a = "r"
[listen]
http = %q
readiness = %q
control = %q
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
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
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startGates starts n gates, each on a loopback address of its own: the port for figures is the
// same for all.
func (f *fleet) startGates(n int) error {
	ips := make([]string, n)
	control := make([]string, n)
	for i := range n {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, 1+i)
		var err error
		if control[i], err = freeAddr(ips[i]); err != nil {
			return err
		}
	}
	seeds := `"` + strings.Join(control[:min(3, n)], `", "`) + `"`
	for i := range n {
		g := &gate{name: fmt.Sprintf("edge-%d", i+1), ip: ips[i]}
		var err error
		if g.http, err = freeAddr(g.ip); err != nil {
			return err
		}
		if g.readiness, err = freeAddr(g.ip); err != nil {
			return err
		}
		path := filepath.Join(f.dir, g.name+".toml")
		text := fmt.Sprintf(settings, g.name, g.ip, seeds, g.http, g.readiness, control[i], f.storeAddr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		if g.logs, err = os.Create(filepath.Join(f.dir, g.name+".log")); err != nil {
			return err
		}
		words := strings.Fields(f.program)
		g.cmd = exec.Command(words[0], words[1:]...)
		g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "WELDFALL_NODE_FILE=" + path, "WELDFALL_HALL_MEGABYTE_MS=", "WELDFALL_HALL_MIN_ADVANTAGE_MS="}
		g.cmd.Stdout, g.cmd.Stderr = g.logs, g.logs
		if err := f.spawn(g.cmd); err != nil {
			return err
		}
		f.gates = append(f.gates, g)
	}
	for _, g := range f.gates {
		go f.watchReadiness(g)
	}
	return nil
}

// signal sends a signal to a gate.
func (f *fleet) signal(g *gate, s syscall.Signal) {
	f.record.add("signal %v to %s", s, g.name)
	_ = g.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = g.cmd.Wait()
		f.forget(g.cmd.Process.Pid)
	}
}

// watchReadiness asks a gate every second whether it is ready. Two misses take it out.
func (f *fleet) watchReadiness(g *gate) {
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		res, err := c.Get("http://" + g.readiness + "/-/readyz")
		ready := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		g.mu.Lock()
		before := g.in
		if ready {
			g.in, g.misses = true, 0
		} else if g.misses++; g.misses >= 2 {
			g.in = false
		}
		if g.in != before {
			f.record.add("balancer has %s in: %v", g.name, g.in)
		}
		g.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// awaitReady waits until all gates are in.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if len(f.in()) == len(f.gates) {
			return nil
		}
	}
	return fmt.Errorf("the gates are not ready")
}

// in returns the gates that the balancer uses.
func (f *fleet) in() []*gate {
	var out []*gate
	for _, g := range f.gates {
		g.mu.Lock()
		if g.in {
			out = append(out, g)
		}
		g.mu.Unlock()
	}
	return out
}

func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func awaitListener(addr string) error {
	for range 400 {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			return c.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("nothing listens at %s", addr)
}
