// Package soak runs gates as separate processes against stand-ins of the platform, disturbs
// them by a schedule drawn from a seed, and checks by the observations of callers and
// engines whether the guarantees held.
package soak

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/weldfall/weldfall/internal/proxy"
	"github.com/weldfall/weldfall/platform/standin"
)

// Config describes a run.
type Config struct {
	Seed   uint64
	Length time.Duration
	// Play is the kind of schedule, "" for Even.
	Play Play
	// Gates is the number of processes.
	Gates int
	// Binary and Env are the program and the environment that start weldfall.
	Binary string
	Env    []string
	// Dir holds settings files and logs.
	Dir string
	// Steps is the schedule; if nil, it is drawn from the seed.
	Steps []Step
}

// Report is the result of a run.
type Report struct {
	Config   Config
	Requests int
	Served   int
	// Refused counts requests that stopping gates refused.
	Refused int
	// Excused counts responses that a planned stop was allowed to break.
	Excused int
	// Streams counts the streams of callers that resume them, and Resumed those resumed ones
	// that continued and that could.
	Streams int
	Resumed string
	// Violations are the guarantees that did not hold.
	Violations []string
}

// String returns a summary in one line.
func (r Report) String() string {
	text := fmt.Sprintf("seed=%d play=%s gates=%d steps=%d requests=%d served=%d refused_leaving=%d cut_excused=%d broken=%d",
		r.Config.Seed, r.Config.Play, r.Config.Gates, len(r.Config.Steps), r.Requests, r.Served, r.Refused, r.Excused, len(r.Violations))
	if r.Streams > 0 {
		text += fmt.Sprintf(" streams=%d resumed=%s", r.Streams, r.Resumed)
	}
	return text
}

// Parameters of the deployment.
const (
	host            = "soak.example"
	workspace       = "ws-1"
	keyValid        = "key-kept"
	keyRevoked      = "key-revoked"
	revocationBound = 4 * time.Second
	retryRatio      = 0.2
	retryExtra      = 96
	retryWindow     = 3 * time.Second
	extraPerGate    = retryExtra / 32
	// With more than manyGates gates, the gates share reads of the engine list if the bound
	// for draining engines leaves enough time: it is drainBoundManyGates there, and
	// drainBoundFewGates with fewer.
	manyGates           = 32
	drainBoundManyGates = 4 * time.Second
	drainBoundFewGates  = 2 * time.Second
	streamEvents        = 12
	eventPause          = 15 * time.Millisecond
	callers             = 3
	// requestTimeout is the deadline that callers send, and callerPatience the time after
	// which they give up.
	requestTimeout = 3 * time.Second
	callerPatience = 8 * time.Second
)

// drainBoundFor returns the bound for draining engines for a number of gates.
func drainBoundFor(gates int) time.Duration {
	if gates > manyGates {
		return drainBoundManyGates
	}
	return drainBoundFewGates
}

// deployment is a running set of processes, engines and a store.
type deployment struct {
	cfg   Config
	store *standin.Store
	rec   *record
	gates []*gate
	// peerLinks are the links over which gates call each other.
	peerLinks map[pair]*proxy.Link
	ctx       context.Context
	wg        sync.WaitGroup
	// quietFrom is the time from which no disturbance starts.
	quietFrom time.Time

	// restoring serializes restores of the store.
	restoring sync.Mutex

	mu      sync.Mutex
	engines []*standin.Engine
	// services has the service of each engine, links the proxy in front of it.
	services []string
	links    []*proxy.Link
	// versions has the software version of each engine in a releasing play, "" for one that
	// is out of service. releases counts the releases.
	versions []string
	releases int
	// outOfStep has the gates that are cut off, without those whose processes are stopped.
	outOfStep []int
	version   int
	revoked   bool
	// idle is the number of routes without requests.
	idle int
	// limits are the settings that a silent play changes.
	limits limits
}

// Run carries out one schedule and checks the guarantees. It fails if the processes cannot
// be started; violations are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Play == "" {
		cfg.Play = Even
	}
	if cfg.Steps == nil {
		cfg.Steps = newSchedule(cfg.Seed, cfg.Length, cfg.Play)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &deployment{cfg: cfg, store: standin.NewStore(3), ctx: ctx, rec: &record{drainBound: drainBoundFor(cfg.Gates), sound: cfg.Play == Silent, drainedAt: map[string]time.Time{}, restarted: map[string]bool{}, revokedAt: map[string]time.Time{}, publishedAt: map[int]time.Time{}}}
	if cfg.Play == Copying {
		w.store.SetEpoch(1)
	}
	if err := w.start(); err != nil {
		return Report{}, err
	}
	defer w.stop()
	w.runSteps()
	// Responses that continue from here say nothing about recovery.
	w.rec.ended = time.Now()
	cancel()
	w.wg.Wait()
	starts := 0
	for _, g := range w.gates {
		starts += g.starts
	}
	w.rec.judge(w.engines, w.services, starts)
	w.rec.judgeHeldBack(w.gates)
	r := Report{Config: cfg, Requests: len(w.rec.requests), Excused: w.rec.excused, Violations: w.rec.violations}
	r.Streams, r.Resumed = len(w.rec.streams), fmt.Sprintf("%d/%d", w.rec.resumed.good, w.rec.resumed.total)
	for _, a := range w.rec.requests {
		if a.status == http.StatusOK && a.complete {
			r.Served++
		}
		if a.refusedDraining() {
			r.Refused++
		}
	}
	return r, nil
}

func (w *deployment) start() error {
	storeAddr, err := w.serveStore()
	if err != nil {
		return err
	}
	for range w.cfg.Play.firstEngines() {
		for _, service := range []string{"llm", "api"} {
			if err := w.addEngine(service); err != nil {
				return err
			}
		}
	}
	w.publishConfig()
	var seeds []string
	for i := range w.cfg.Gates {
		g, err := newGate(w.cfg, i, storeAddr, seeds, w.rec)
		if err != nil {
			return err
		}
		seeds = append(seeds, g.peersAddr)
		w.gates = append(w.gates, g)
	}
	if err := w.linkGates(); err != nil {
		return err
	}
	for i, g := range w.gates {
		if err := g.start(); err != nil {
			return err
		}
		startCallers := func(n int, call func(g, c int), plays ...Play) {
			for c := range n {
				if slices.Contains(plays, w.cfg.Play) {
					w.wg.Go(func() { call(i, c) })
				}
			}
		}
		startCallers(callers, w.call, Plays...)
		startCallers(1, func(g, _ int) { w.callVersions(g) }, Growing)
		startCallers(breakingCallers, w.callBreaking, Breaking)
		startCallers(failingCallers, w.callFailing, Failing)
		startCallers(crowdingCallers, w.callCrowding, Crowding)
		startCallers(silentCallers, w.callSilent, Silent)
		startCallers(resumingCallers, w.callResuming, Releasing)
		startCallers(longCallers, func(g, c int) { w.callLong(g, callers+c) }, Planned, Mixed, Silent, Leaving)
		if i == 0 {
			startCallers(crashingRequests, func(_, k int) { w.callCrashing(k) }, Ending)
			startCallers(crashingParts, func(_, k int) { w.callSharing(k) }, Sharing)
			startCallers(1, func(int, int) { w.renewEntries() }, Releasing)
		}
	}
	return nil
}

func (w *deployment) serveStore() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(w.ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}

func (w *deployment) stop() {
	for _, g := range w.gates {
		g.close()
	}
	for _, e := range w.engines {
		e.Close()
	}
	for _, l := range slices.Concat(w.links, slices.Collect(maps.Values(w.peerLinks))) {
		l.Close()
	}
}

// addEngine starts an engine and publishes it.
func (w *deployment) addEngine(service string) error {
	return w.addEngineOfVersion(service, versionOf(0))
}

// addEngineOfVersion is addEngine for a software version, which engines have in a releasing
// play only.
func (w *deployment) addEngineOfVersion(service, version string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, err := standin.NewEngine(fmt.Sprintf("i-%d", len(w.engines)), w.behave(""))
	if err != nil {
		return err
	}
	if w.cfg.Play == Releasing {
		e.SetVersion(version)
	}
	w.versions = append(w.versions, version)
	l, err := proxy.New(e.Addr())
	if err != nil {
		return err
	}
	w.engines, w.services, w.links = append(w.engines, e), append(w.services, service), append(w.links, l)
	i := len(w.engines) - 1
	w.publishEngine(i, "ready")
	e.OnEnd(l.Refuse)
	e.OnRestart(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.publishEngine(i, w.rec.state(e.ID()))
	})
	return nil
}

// publishEngine publishes an engine's state. The caller holds mu.
func (w *deployment) publishEngine(i int, state string) {
	addr := w.links[i].Addr()
	if w.cfg.Play.crashesEngines() || w.cfg.Play == Leaving {
		addr = w.engines[i].Addr()
	}
	w.store.PutEngine(w.engines[i], w.services[i], state, addr)
}

// publishConfig writes the next version of the config.
func (w *deployment) publishConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putConfig()
	w.rec.addVersion(w.version)
}

// putConfig writes the current version. The caller holds mu.
func (w *deployment) putConfig() {
	keys := []string{keyValid, keyRevoked}
	if w.revoked {
		keys = keys[:1]
	}
	cfg := standin.Config{Version: w.version, Host: host, Workspace: workspace, Keys: keys, UnusedRoutes: w.idle}
	if w.cfg.Play == Silent {
		w.limits.apply(&cfg)
		cfg.Goal = silentGoals[w.cfg.Seed%uint64(len(silentGoals))]
	}
	w.store.PutConfig(cfg)
}

// behave returns the behavior of an engine: correct, or for some requests as the variant
// says.
func behave(variant string) func(standin.Run) standin.Reply {
	return func(run standin.Run) standin.Reply {
		p := standin.Reply{Body: "for " + run.ID, Load: "1,0,8"}
		if strings.HasPrefix(run.URI, "/chat/") || strings.HasPrefix(run.URI, "/resume/") {
			p = standin.Reply{Events: streamEvents, Pause: eventPause, Load: "1,0,8"}
		}
		if strings.HasPrefix(run.URI, longPath) {
			p = standin.Reply{Events: longEvents(run.ID, run.Tokens()), Pause: longPause, Load: "1,0,8"}
		}
		if strings.HasSuffix(run.URI, longPlainSuffix) {
			p.Body += longPlainRest
		}
		if variant == "" || run.ID == "" || run.ID[len(run.ID)-1]%2 == 0 {
			return p
		}
		switch variant {
		case "refuse":
			p.Refuse = true
		case "reset":
			p.Reset = true
		case "cut":
			p.CutAfter = 3
		case "extra":
			p.StrayAfter = true
		case "older":
			p.StrayBefore = true
		case "unframed":
			p.Unframed = true
		case "garbage":
			p.Garbage = true
		case "slow":
			p.Wait = 700 * time.Millisecond
		case "error":
			p = standin.Reply{Status: http.StatusInternalServerError, Body: "oops"}
		default:
			p = breakReply(variant, run, p)
		}
		return p
	}
}
