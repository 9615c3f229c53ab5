// Package soak runs gates as processes of their own against the stand-ins of
// the platform, strikes them with troubles that are drawn from a seed, and
// judges by what callers and engines saw whether the promises held.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/weldfall/weldfall/platform"
	"github.com/weldfall/weldfall/platform/standin"
)

// Config is one run.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Gates is how many processes are run.
	Gates int
	// Binary and Env start weldfall.
	Binary string
	Env    []string
	// Dir is for settings files and logs.
	Dir string
	// Steps is the schedule, nil for the one that the seed draws.
	Steps []Step
}

// Report is what a run came to.
type Report struct {
	Config   Config
	Requests int
	Served   int
	// Broken has the promises that did not hold.
	Broken []string
}

// String returns the summary in one line.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d gates=%d steps=%d requests=%d served=%d broken=%d", r.Config.Seed, r.Config.Gates, len(r.Config.Steps), r.Requests, r.Served, len(r.Broken))
}

// Figures of the deployment that is run.
const (
	host         = "soak.example"
	workspace    = "ws-1"
	keyKept      = "key-kept"
	keyRevoked   = "key-revoked"
	revocation   = 4 * time.Second
	retryRatio   = 0.2
	retryExtra   = 320
	extraPerGate = retryExtra / 32
	streamEvents = 12
	eventPause   = 15 * time.Millisecond
	callers      = 3
)

// world is a deployment that runs.
type world struct {
	cfg   Config
	store *standin.Store
	rec   *record
	gates []*gate
	ctx   context.Context
	wg    sync.WaitGroup

	mu      sync.Mutex
	engines []*standin.Engine
	// services has the service of each engine, links the way to it.
	services []string
	links    []*link
	version  int
	revoked  bool
}

// Run plays one schedule and judges it.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Steps == nil {
		cfg.Steps = newSchedule(cfg.Seed, cfg.Length, cfg.Gates)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{cfg: cfg, store: standin.NewStore(3), ctx: ctx, rec: &record{left: map[string]time.Time{}, revoked: map[string]time.Time{}}}
	if err := w.start(); err != nil {
		return Report{}, err
	}
	defer w.stop()
	w.play()
	cancel()
	w.wg.Wait()
	w.rec.ended = time.Now()
	lives := 0
	for _, g := range w.gates {
		lives += g.lives
	}
	w.rec.judge(w.engines, lives)
	r := Report{Config: cfg, Requests: len(w.rec.asked), Broken: w.rec.broken}
	for _, a := range w.rec.asked {
		if a.status == http.StatusOK && a.whole {
			r.Served++
		}
	}
	return r, nil
}

func (w *world) start() error {
	storeAddr, err := w.serveStore()
	if err != nil {
		return err
	}
	for range firstEngines {
		for _, service := range []string{"llm", "api"} {
			if err := w.join(service); err != nil {
				return err
			}
		}
	}
	w.publish()
	var seeds []string
	for i := range w.cfg.Gates {
		g, err := newGate(w.cfg, i, storeAddr, seeds)
		if err != nil {
			return err
		}
		seeds = append(seeds, g.peers)
		w.gates = append(w.gates, g)
	}
	for i, g := range w.gates {
		if err := g.begin(); err != nil {
			return err
		}
		for c := range callers {
			w.wg.Go(func() { w.call(i, c) })
		}
	}
	return nil
}

func (w *world) serveStore() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

func (w *world) stop() {
	for _, g := range w.gates {
		g.end()
	}
	for _, e := range w.engines {
		e.Close()
	}
	for _, l := range w.links {
		l.close()
	}
}

// join starts an engine and lists it.
func (w *world) join(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, err := standin.NewEngine(fmt.Sprintf("i-%d", len(w.engines)), behave(""))
	if err != nil {
		return err
	}
	l, err := newLink(e.Addr())
	if err != nil {
		return err
	}
	w.engines, w.services, w.links = append(w.engines, e), append(w.services, service), append(w.links, l)
	w.list(len(w.engines)-1, "ready")
	return nil
}

// list publishes an engine's state. The caller holds mu.
func (w *world) list(i int, state string) {
	entry := w.engines[i].Entry(w.services[i], state)
	entry["address"] = w.links[i].addr()
	w.store.Put("servers/"+w.engines[i].ID(), entry)
}

// publish writes the next version of the config.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	keys := []string{keyKept, keyRevoked}
	if w.revoked {
		keys = keys[:1]
	}
	routes := []map[string]any{
		{"pathPrefix": "/safe/", "type": "safe", "service": "api", "attempts": 2},
		{"pathPrefix": "/unsafe/", "type": "unsafe", "service": "api", "attempts": 1},
		{"pathPrefix": "/chat/", "type": "stream", "service": "llm", "attempts": 1, "sticky": true},
		{"pathPrefix": "/resume/", "type": "stream", "service": "llm", "attempts": 3, "sticky": true, "resumable": true},
	}
	for _, r := range routes {
		r["name"], r["host"], r["timeoutMs"], r["goalMs"] = "r"+r["pathPrefix"].(string), host, 3000, 300
	}
	w.store.Put("op/config", map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": "llm", "maxConns": 500}, {"name": "api", "maxConns": 500}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 20},
		"tenants":  []map[string]any{{"name": workspace, "apiKeys": keys}},
	})
}

// behave returns how an engine answers: well, or in the given way now and then.
func behave(way string) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		p := standin.Reply{Body: "for " + run.ID, Load: "1,0,8"}
		if strings.HasPrefix(run.URI, "/chat/") || strings.HasPrefix(run.URI, "/resume/") {
			p = standin.Reply{Events: streamEvents, Pause: eventPause, Load: "1,0,8"}
		}
		if way == "" || run.ID[len(run.ID)-1]%2 == 0 {
			return p
		}
		switch way {
		case "refuse":
			p.Refuse = true
		case "reset":
			p.Reset = true
		case "cut":
			p.CutAfter = 3
		case "extra":
			p.Extra = true
		case "older":
			p.ExtraFirst = true
		case "unframed":
			p.Unframed = true
		case "garbage":
			p.Garbage = true
		case "slow":
			p.Wait = 700 * time.Millisecond
		case "error":
			p = standin.Reply{Status: http.StatusInternalServerError, Body: "oops"}
		}
		return p
	}
}

// play carries out the schedule.
func (w *world) play() {
	begin := time.Now()
	for _, s := range w.cfg.Steps {
		time.Sleep(time.Until(begin.Add(s.At)))
		w.wg.Go(func() {
			w.strike(s)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.rec.disturbed = time.Now()
		})
	}
	time.Sleep(time.Until(begin.Add(w.cfg.Length)))
}

// strike begins a trouble, and ends it.
func (w *world) strike(s Step) {
	g := w.gates[s.Who%len(w.gates)]
	w.mu.Lock()
	i := s.Who % len(w.engines)
	e, l := w.engines[i], w.links[i]
	w.mu.Unlock()
	switch s.Kind {
	case Kill:
		g.restart(syscall.SIGKILL)
	case Stop:
		g.restart(syscall.SIGTERM)
	case Pause:
		g.signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		g.signal(syscall.SIGCONT)
	case Reload:
		g.signal(syscall.SIGHUP)
	case Store:
		w.store.SetFault(standin.Fault(s.How))
		time.Sleep(s.For)
		w.store.SetFault(standin.None)
	case Compact:
		w.store.Compact()
	case StoreLink:
		g.store.set(LinkFault(s.How))
		time.Sleep(s.For)
		g.store.set(Sound)
	case EngineLink:
		l.set(LinkFault(s.How))
		time.Sleep(s.For)
		l.set(Sound)
	case Engine:
		e.SetReply(behave(s.How))
		time.Sleep(s.For)
		e.SetReply(behave(""))
	case Leave:
		w.leave(i)
	case Join:
		// Without an engine more the run goes on.
		_ = w.join([]string{"llm", "api"}[s.Who%2])
	case Publish:
		w.publish()
	case Revoke:
		w.mu.Lock()
		w.revoked = true
		w.mu.Unlock()
		w.publish()
		w.rec.mu.Lock()
		defer w.rec.mu.Unlock()
		if _, again := w.rec.revoked[keyRevoked]; !again {
			w.rec.revoked[keyRevoked] = time.Now()
		}
	}
}

// leave publishes that an engine leaves, unless it is one of the first, which
// keep the services alive.
func (w *world) leave(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < firstEngines {
		return
	}
	w.list(i, "draining")
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	if _, again := w.rec.left[w.engines[i].ID()]; !again {
		w.rec.left[w.engines[i].ID()] = time.Now()
	}
}

// call sends requests to a gate over kept connections until the run is over.
func (w *world) call(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(g*callers+c)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 8 * time.Second}
	defer client.CloseIdleConnections()
	paths := []string{"/safe/x", "/unsafe/x", "/chat/x", "/resume/x"}
	for n := 0; w.ctx.Err() == nil; n++ {
		a := asked{id: fmt.Sprintf("g%dc%dn%d", g, c, n), path: paths[rng.IntN(len(paths))], key: keyKept, sent: time.Now()}
		if rng.IntN(4) == 0 {
			a.key = keyRevoked
		}
		w.rec.add(w.ask(client, w.gates[g].callers, a))
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

func (w *world) ask(client *http.Client, addr string, a asked) asked {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+a.path, strings.NewReader("body of "+a.id))
	if err != nil {
		return a
	}
	// The client must not send a request twice on its own.
	req.GetBody = nil
	req.Host = host
	for k, v := range map[string]string{
		"Weldfall-Request-Id": a.id, "Weldfall-Deadline-Ms": "3000", "Authorization": "Bearer " + a.key,
		"Weldfall-Prefix-Hash": fmt.Sprintf("p%d:100,q%d:900,%s:10", len(a.id)%3, len(a.id)%7, a.id),
	} {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	a.status, a.body, a.whole, a.signature = res.StatusCode, string(body), err == nil, res.Header.Get("Weldfall-Engine-Signature")
	return a
}

// gate is one process.
type gate struct {
	cfg     Config
	boot    string
	callers string
	peers   string
	store   *link
	logs    *os.File

	// restarting makes overlapping restarts one after the other.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the present process has ended.
	done  chan struct{}
	lives int
	over  bool
}

const bootText = `node = "gate-%d"
zone = "hall-a"
ip = "127.0.0.1"
seeds = [%s]
[listen]
http = %q
readiness = %q
control = %q
[bounds]
graceS = 5
strictRevoke = true
revokeMs = %d
retryRatio = %g
retryExtra = %d
retryWindowS = 10
capFactor = 2
[platform]
address = %q
`

func newGate(cfg Config, i int, store string, seeds []string) (*gate, error) {
	l, err := newLink(store)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for range 3 {
		a, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, a)
	}
	g := &gate{cfg: cfg, boot: filepath.Join(cfg.Dir, fmt.Sprintf("gate-%d.toml", i)), callers: addrs[0], peers: addrs[2], store: l}
	quoted := make([]string, len(seeds))
	for j, s := range seeds {
		quoted[j] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(bootText, i, strings.Join(quoted, ","), addrs[0], addrs[1], addrs[2], revocation.Milliseconds(), retryRatio, retryExtra, l.addr())
	if err := os.WriteFile(g.boot, []byte(text), 0o600); err != nil {
		return nil, err
	}
	g.logs, err = os.Create(strings.TrimSuffix(g.boot, ".toml") + ".log")
	return g, err
}

// freeAddr returns an address that nobody listens on.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// begin starts the process and waits until it listens.
func (g *gate) begin() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return nil
	}
	cmd := exec.Command(g.cfg.Binary, "gate", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), append(g.cfg.Env, platform.BootFile+"="+g.boot)...)
	cmd.Stdout, cmd.Stderr = g.logs, g.logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start gate: %w", err)
	}
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	g.lives++
	go func() {
		defer close(done)
		// How it ended is in its log.
		_ = cmd.Wait()
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

// restart ends the process by a signal and starts it again.
func (g *gate) restart(s syscall.Signal) {
	g.restarting.Lock()
	defer g.restarting.Unlock()
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	g.signal(s)
	select {
	case <-done:
	case <-time.After(restartLimit):
		g.signal(syscall.SIGKILL)
		<-done
	}
	// The next trouble or the judgement shows a gate that did not start.
	_ = g.begin()
}

// restartLimit is the grace of a planned stop and a little more.
const restartLimit = 6 * time.Second

func (g *gate) end() {
	g.mu.Lock()
	g.over = true
	done := g.done
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	if done != nil {
		<-done
	}
	g.store.close()
	// The log has been written by the process.
	_ = g.logs.Close()
}
