package commands

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/downlink"
	"github.com/weldfall/weldfall/common/logline"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/peers"
	"github.com/weldfall/weldfall/platform"
)

type gateCmd struct {
	MetricsPort int    `arg:"--metrics-port" default:"9464" help:"port of /metrics on the address of this process"`
	LogLevel    string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// goMemoryShare is the Go memory limit as a share of the memory limit of the
// process. The rest is for sockets and stacks.
const goMemoryShare = 0.6

// gcPercent is a quarter of Go's default. Over a busy day, the memory of a process
// peaked at 10.7 MB with 25 and heap profiling off, and at 11.9 MB with 50, for the
// same CPU time.
const gcPercent = 25

func (c *gateCmd) run(out, _ io.Writer) error {
	// Register early: a SIGHUP before the gate runs must not terminate the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	cfg, err := platform.LoadSettings()
	if err != nil {
		return usageError{err}
	}
	w := logline.NewWriter(out)
	defer w.Close()
	log, err := logline.New(w, c.LogLevel, cfg.ID)
	if err != nil {
		return usagef("log level %w", err)
	}
	// Nothing reads heap profiles.
	runtime.MemProfileRate = 0
	debug.SetGCPercent(gcPercent)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.Memory) * goMemoryShare))
	}
	ls, err := listenAll(cfg.Listen, cfg.ReadyListen, fmt.Sprintf("%s:%d", cfg.IP, c.MetricsPort), cfg.PeersListen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log.Info("started", "role", "gate", "version", Version, "hall", cfg.Hall, "listen", ls[0].Addr(),
		"readiness", ls[1].Addr(), "metrics", ls[2].Addr(), "peers", ls[3].Addr(), "store", cfg.Store, "hall_megabyte_ms", cfg.Bounds.Locality.MegabyteMillis,
		"descriptors", descriptorLimit(cfg.Descriptors), "max_connections", maxConns(cfg))
	return runGate(ctx, cfg, log, ls, hup)
}

// maxConns returns the limit on the connections of callers.
func maxConns(cfg platform.Settings) int {
	return callers.MaxConns(descriptorLimit(cfg.Descriptors))
}

// runGate serves until ctx is done and the requests in flight have finished.
func runGate(ctx context.Context, cfg platform.Settings, log *slog.Logger, ls []net.Listener, hup <-chan os.Signal) error {
	clk, link := clock.System(), downlink.New(cfg.Link)
	g := gate.New(gate.Config{
		ID: cfg.ID, Dialect: platform.Dialect(), Bounds: cfg.Bounds, Hall: cfg.Hall, MaxConns: maxConns(cfg), Memory: cfg.Memory, Link: link, Clock: clk, Log: log,
	})
	reader := platform.NewReader(platform.NewStore(platform.StoreConfig{Addr: cfg.Store, Link: link, Clock: clk, Log: log}), g, cfg.Timing, clk, log)
	readCtx, stopReading := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopReading()
	node := peers.New(peers.Config{
		ID: cfg.ID, Addr: ls[3].Addr().String(), Seeds: cfg.Peers, Host: g, Clock: clk, Log: log,
	})
	wg.Go(func() { node.Run(readCtx, ls[3]) })
	wg.Go(func() { reloadOnHangup(readCtx, g, reader, log, hup) })
	wg.Go(func() { reader.Run(readCtx) })
	stopReadiness := startServer(ls[1], readinessHandler(g))
	defer stopReadiness()
	stopMetrics := startServer(ls[2], metricsHandler())
	defer stopMetrics()
	return g.Run(ctx, ls[0])
}

// reloadOnHangup applies the bounds of the settings file, and the timing that follows from
// them, at each SIGHUP. If the file is invalid, the previous ones stay in force.
func reloadOnHangup(ctx context.Context, g *gate.Gate, reader *platform.Reader, log *slog.Logger, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := platform.LoadSettings()
		if err != nil {
			log.Error("reload_refused", "error", err)
			continue
		}
		reader.SetTiming(cfg.Timing)
		g.SetBounds(cfg.Bounds)
		log.Info("reloaded", "watch_ms", cfg.Timing.EngineWatch, "pause_ms", cfg.Timing.EngineWatchPause)
	}
}

func readinessHandler(g *gate.Gate) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet, http.MethodHead)
	return r
}

func metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.MetricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }).Methods(http.MethodGet)
	return r
}
