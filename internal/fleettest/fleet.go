// Package fleettest starts a fleet as real processes for tests, behind
// proxies that inject faults. The test binary serves as the weldfall binary.
package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/weldfall/weldfall/commands"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/internal/clocktest"
	"github.com/weldfall/weldfall/internal/heldconns"
	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/settings"
	"github.com/weldfall/weldfall/standin/engine"
)

// MainEnv makes a test binary act as the weldfall binary.
const MainEnv = "WELDFALL_TEST_MAIN"

// Main is for TestMain. It runs the command line in the processes that Start starts, and the
// tests otherwise.
func Main(m *testing.M) {
	if os.Getenv(MainEnv) != "" {
		if err := heldconns.LimitDescriptors(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		clocktest.SimulateSuspensions()
		proxy.DialLinks()
		os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func pause(d clock.Millis) { clock.Sleep(context.Background(), d) }

// Spec is the configuration of a fleet. The partners "planning" and "vigia" have the
// workspaces ws0 and ws1.
type Spec struct {
	Engines, Services, Entries int
	// EngineArgs, ServiceArgs and PlatformArgs are additional arguments of the stand-ins.
	EngineArgs, ServiceArgs []string
	PlatformArgs            []string
	// Direct omits the proxies, for measurements of cost.
	Direct bool
	// EntryFile is TOML that is appended to the settings files of entries.
	EntryFile string
	// Fleet is TOML that is appended to the fleet's config.
	Fleet string
}

// Process is a process of the fleet.
type Process struct {
	Name string
	// Addr is the address of a stand-in, or the proxied peer address of any other process.
	Addr string
	// AdminAddr serves the admin pages. CallerAddr is for callers and set for entries only.
	AdminAddr, CallerAddr string

	t    testing.TB
	cmd  *exec.Cmd
	log  logFile
	done chan struct{}
	inst member.Instance
}

// Fleet has the processes of one test.
type Fleet struct {
	Net      *Network
	Platform *Process
	// Engines and Services are stand-ins. EngineDaemons and ServiceDaemons are their
	// daemons, in the same order.
	Engines, Services             []*Process
	EngineDaemons, ServiceDaemons []*Process
	Entries                       []*Process

	t    testing.TB
	dir  string
	spec Spec
	clk  *clock.Clock
}

// logFile is the output of a process. The process writes to the file itself: through a pipe,
// a line could arrive after a response that was sent later.
type logFile struct {
	t    testing.TB
	path string
}

func (l logFile) String() string {
	b, err := os.ReadFile(l.path)
	if err != nil {
		l.t.Error(err)
	}
	return string(b)
}

// Halls are the data halls of the processes, assigned round robin.
var Halls = []string{"hall-a", "hall-b", "hall-c"}

// Start starts a fleet and waits until all processes are ready.
func Start(t testing.TB, spec Spec) *Fleet {
	t.Helper()
	f := &Fleet{t: t, Net: newNetwork(), dir: t.TempDir(), spec: spec, clk: clock.System()}
	t.Cleanup(f.Net.close)
	f.Platform = f.standin("platform", append([]string{"standin", "platform"}, spec.PlatformArgs...)...)
	f.PutConfig(settings.FleetPath, "[models]\n\"draft-1\" = \"drafting\"\n"+spec.Fleet)
	for _, p := range []string{"planning", "vigia"} {
		f.PutConfig(p, "")
		for _, ws := range []string{"ws0", "ws1"} {
			f.PutConfig(p+"/"+ws, fmt.Sprintf("[access]\nkey_sha256 = [%q]\n", settings.HashKey(Key(p, ws))))
			f.PutConfig(p+"/"+ws+"/desk", "[routing]\npool = \"desk\"\n[once]\nrepeatable = false\n")
		}
	}
	for i := range spec.Engines {
		e := f.StartEngine(i)
		f.Engines = append(f.Engines, e)
		f.EngineDaemons = append(f.EngineDaemons, f.StartDaemon(e, "drafting", i))
	}
	for i := range spec.Services {
		s := f.standin(fmt.Sprintf("desk-%d", i), append([]string{"standin", "service", "--id", fmt.Sprintf("desk-%d", i)}, spec.ServiceArgs...)...)
		f.Services = append(f.Services, s)
		f.ServiceDaemons = append(f.ServiceDaemons, f.StartDaemon(s, "desk", i))
	}
	for i := range spec.Entries {
		f.Entries = append(f.Entries, f.StartEntry(i))
	}
	f.WaitReady()
	return f
}

// Key returns the bearer key of a workspace.
func Key(partner, workspace string) string { return partner + "." + workspace + ".secret" }

// StartEngine starts the stand-in of engine i at a new address.
func (f *Fleet) StartEngine(i int) *Process {
	id := fmt.Sprintf("engine-%d", i)
	return f.standin(id, append([]string{"standin", "engine", "--id", id}, f.spec.EngineArgs...)...)
}

// StartEngineAt starts the stand-in of engine i at the given address.
func (f *Fleet) StartEngineAt(i int, addr string) *Process {
	id := fmt.Sprintf("engine-%d", i)
	return f.standin(id, append([]string{"standin", "engine", "--id", id, "--listen", addr}, f.spec.EngineArgs...)...)
}

// StartServiceAt starts the stand-in of instance i of the service at the given address.
func (f *Fleet) StartServiceAt(i int, addr string) *Process {
	id := fmt.Sprintf("desk-%d", i)
	return f.standin(id, append([]string{"standin", "service", "--id", id, "--listen", addr}, f.spec.ServiceArgs...)...)
}

func (f *Fleet) standin(name string, args ...string) *Process {
	p := f.start(name, args...)
	f.Eventually("address of "+name, func() bool { return strings.Contains(p.log.String(), "\n") })
	p.Addr, _, _ = strings.Cut(p.log.String(), "\n")
	return p
}

// start starts the test binary as weldfall with the given arguments.
func (f *Fleet) start(name string, args ...string) *Process {
	f.t.Helper()
	self, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	log, err := os.CreateTemp(f.dir, name+"-*.log")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p := &Process{Name: name, t: f.t, cmd: exec.Command(self, args...), log: logFile{t: f.t, path: log.Name()}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), MainEnv+"=1", "GOMAXPROCS=2")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.Net.locked(func() { f.Net.pids[p.cmd.Process.Pid] = name })
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	f.t.Cleanup(func() {
		p.Kill()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, tail(p.log.String(), 4000))
		}
	})
	return p
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// StartDaemon starts the daemon of a target and lists it on the platform.
func (f *Fleet) StartDaemon(target *Process, pool string, i int) *Process {
	name := target.Name + "-daemon"
	engineAddr := f.proxyAddr(target.Name, target.Addr)
	toml := fmt.Sprintf("pool = %q\n[[engines]]\nid = %q\naddr = %q\nslots = 16\n", pool, target.Name, engineAddr)
	p := f.startProcess("daemon", name, Halls[i%len(Halls)], toml)
	p.inst = member.Instance{
		ID: name, Role: member.Daemon, Addr: p.Addr, Hall: Halls[i%len(Halls)], Pool: pool,
		Engines: []member.EngineInfo{{ID: target.Name, Slots: 16}}, State: member.Live,
	}
	f.ListInstance(p, member.Live)
	return p
}

// StartEntry starts entry i and lists it on the platform.
func (f *Fleet) StartEntry(i int) *Process {
	name := fmt.Sprintf("entry-%d", i)
	p := f.startProcess("entry", name, Halls[i%len(Halls)], "listen = \"127.0.0.1:0\"\n"+f.spec.EntryFile)
	p.inst = member.Instance{ID: name, Role: member.Entry, Addr: p.Addr, Hall: Halls[i%len(Halls)], State: member.Live}
	f.ListInstance(p, member.Live)
	return p
}

// StartEntryWithoutPeers starts entry i with an empty bootstrap list.
func (f *Fleet) StartEntryWithoutPeers(i int) *Process {
	g := *f
	g.EngineDaemons, g.ServiceDaemons, g.Entries = nil, nil, nil
	return g.StartEntry(i)
}

var startedRE = regexp.MustCompile(`msg=started .*`)

func (f *Fleet) startProcess(role, name, hall, toml string) *Process {
	file := filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf("id = %q\nhall = %q\npeers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\nplatform = \"http://%s\"\nbootstrap = [%s]\nlog_level = \"info\"\n%s", name, hall, f.Platform.Addr, f.bootstrap(), toml)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := f.start(name, role, "--settings", file)
	f.Eventually("start of "+name, func() bool { return startedRE.MatchString(p.log.String()) })
	line := startedRE.FindString(p.log.String())
	p.AdminAddr, p.CallerAddr = field(line, "admin"), field(line, "listen")
	p.Addr = f.proxyAddr(name, field(line, "peers"))
	return p
}

// proxyAddr returns the address of a new proxy to addr of a process, or addr if Spec.Direct.
func (f *Fleet) proxyAddr(name, addr string) string {
	if f.spec.Direct {
		return addr
	}
	return f.Net.listen(f.t, name, addr)
}

// bootstrap returns the addresses of up to three running processes as a TOML list.
func (f *Fleet) bootstrap() string {
	var addrs []string
	for _, p := range f.Processes() {
		if !p.Exited() {
			addrs = append(addrs, strconv.Quote(p.Addr))
		}
	}
	return strings.Join(addrs[:min(len(addrs), 3)], ",")
}

func field(line, key string) string {
	for part := range strings.FieldsSeq(line) {
		if v, ok := strings.CutPrefix(part, key+"="); ok {
			return v
		}
	}
	return ""
}

// ListInstance adds a process to the platform's instance list with the given state.
func (f *Fleet) ListInstance(p *Process, s member.State) {
	inst := p.inst
	inst.State = s
	value, err := json.Marshal(inst)
	if err != nil {
		f.t.Fatal(err)
	}
	f.admin(http.MethodPut, "/admin/instances/"+p.Name, string(value))
}

// UnlistInstance removes a process from the platform's instance list.
func (f *Fleet) UnlistInstance(p *Process) {
	f.admin(http.MethodDelete, "/admin/instances/"+p.Name, "")
}

// PutConfig publishes the config of a path and returns its revision.
func (f *Fleet) PutConfig(path, text string) int64 {
	var rev int64
	_, _ = fmt.Sscan(f.admin(http.MethodPut, "/admin/config/"+path, text), &rev)
	return rev
}

// PlatformValue returns the platform's value of a key, "" if there is none.
func (f *Fleet) PlatformValue(topic, key string) string {
	var b struct {
		Items []struct{ Key, Value string } `json:"items"`
	}
	if err := json.Unmarshal([]byte(f.admin(http.MethodGet, "/v1/"+topic, "")), &b); err != nil {
		f.t.Fatal(err)
	}
	for _, it := range b.Items {
		if it.Key == key {
			return it.Value
		}
	}
	return ""
}

// SetPlatformMode switches the platform to a fault, or with "ok" back to normal.
func (f *Fleet) SetPlatformMode(mode string) { f.admin(http.MethodPost, "/admin/mode?mode="+mode, "") }

// PlatformCalls returns the number of reads of the platform so far.
func (f *Fleet) PlatformCalls() int {
	n := 0
	_, _ = fmt.Sscan(f.admin(http.MethodGet, "/admin/calls", ""), &n)
	return n
}

func (f *Fleet) admin(method, path, body string) string {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+f.Platform.Addr+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		f.t.Fatalf("%s %s: got status %d, want 200", method, path, res.StatusCode)
	}
	return string(b)
}

// eventuallyTimeout limits each wait of a test. Only a failing test reaches it.
const eventuallyTimeout clock.Millis = 40_000

// Eventually waits until ok returns true. It fails the test after 40 s.
func (f *Fleet) Eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := f.clk.Now() + eventuallyTimeout; f.clk.Now() < end; pause(10) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("%s: got no result in %d ms", what, eventuallyTimeout)
}

// Processes returns all daemons and entries.
func (f *Fleet) Processes() []*Process {
	var all []*Process
	all = append(all, f.EngineDaemons...)
	all = append(all, f.ServiceDaemons...)
	return append(all, f.Entries...)
}

// WaitReady waits until every process is ready and knows the engines of every daemon.
func (f *Fleet) WaitReady() {
	f.t.Helper()
	want := len(f.EngineDaemons) + len(f.ServiceDaemons)
	for _, p := range f.Processes() {
		f.Eventually(p.Name+" ready", func() bool {
			return p.Ready() && p.engineCount() >= want
		})
	}
}

func (p *Process) engineCount() int {
	var engines []struct{}
	if json.Unmarshal([]byte(p.Page("/engines")), &engines) != nil {
		return 0
	}
	return len(engines)
}

// Ready reports whether the readiness check of the process succeeds.
func (p *Process) Ready() bool {
	res, err := http.Get("http://" + p.AdminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Page returns an admin page of the process, "" if the request fails.
func (p *Process) Page(path string) string {
	res, err := http.Get("http://" + p.AdminAddr + path)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}

// MetricSum returns the sum of the metrics whose name starts with prefix.
func (p *Process) MetricSum(prefix string) float64 {
	total := 0.0
	for line := range strings.SplitSeq(p.Page("/metrics"), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if strings.HasPrefix(name, prefix) && ok {
			var v float64
			_, _ = fmt.Sscan(value, &v)
			total += v
		}
	}
	return total
}

// EffectiveSetting returns the effective value of a setting in the process, nil if unknown.
func (p *Process) EffectiveSetting(path, key string) any {
	var page struct {
		Settings []settings.Source `json:"settings"`
	}
	if json.Unmarshal([]byte(p.Page("/settings?path="+path+"&key="+key)), &page) != nil || len(page.Settings) != 1 {
		return nil
	}
	return page.Settings[0].Value
}

// StartedRuns returns the requests that a stand-in has started, even if it was killed later:
// stand-ins log each request at its start.
func (f *Fleet) StartedRuns(p *Process) []engine.Run {
	f.t.Helper()
	var runs []engine.Run
	for line := range strings.SplitSeq(p.log.String(), "\n") {
		if fields, ok := strings.CutPrefix(line, "run "); ok {
			runs = append(runs, engine.Run{Attempt: field(fields, "attempt"), Key: field(fields, "key"), CallerKey: field(fields, "caller_key")})
		}
	}
	return runs
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// CPUMicros returns the processor time of the process in microseconds.
func (p *Process) CPUMicros() float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	var user, system float64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return (user + system) * 1e6 / ticksPerSecond
}

// MemoryBytes returns the resident memory of the process.
func (p *Process) MemoryBytes() float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	var size, resident float64
	_, _ = fmt.Sscan(string(statm), &size, &resident)
	return resident * float64(os.Getpagesize())
}

// OpenDescriptors returns the number of descriptors that the process has open.
func (p *Process) OpenDescriptors() int {
	p.t.Helper()
	n, err := heldconns.OpenDescriptors(p.cmd.Process.Pid)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PeakMemory returns the most memory in bytes that the process has held so far.
func (p *Process) PeakMemory() int64 {
	p.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	m := peakMemory.FindSubmatch(b)
	if m == nil {
		p.t.Fatalf("got no VmHWM of %s", p.Name)
	}
	kib, err := strconv.ParseInt(string(m[1]), 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kib << 10
}

var peakMemory = regexp.MustCompile(`(?m)^VmHWM:\s+([0-9]+) kB$`)

// Log returns the output of the process.
func (p *Process) Log() string { return p.log.String() }

// Pid returns the ID of the process in the operating system.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process until Thaw.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
