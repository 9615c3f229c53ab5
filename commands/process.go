package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"regexp"
	"runtime/debug"
	"syscall"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/logline"
	"github.com/weldfall/weldfall/common/strict"
	"github.com/weldfall/weldfall/daemon"
	"github.com/weldfall/weldfall/entry"
	"github.com/weldfall/weldfall/fleet/source"
	"github.com/weldfall/weldfall/report/admin"
)

// processFile is the local settings file of an entry or a daemon. It has what a
// process needs before it can read the settings of the fleet from the platform.
type processFile struct {
	ID   string `toml:"id"`
	Hall string `toml:"hall"`
	// Listen is the address for callers; entries only.
	Listen string `toml:"listen"`
	// Peers is the address for the other processes of the fleet.
	Peers string `toml:"peers"`
	// Admin is the address of the read-only admin pages.
	Admin string `toml:"admin"`
	// Platform is the URL of the platform.
	Platform string `toml:"platform"`
	// Bootstrap has the peers to contact before the instance list is known.
	Bootstrap []string `toml:"bootstrap"`
	LogLevel  string   `toml:"log_level"`
	// MemoryMB is the memory of the machine in MiB; entries only.
	MemoryMB int64 `toml:"memory_mb"`
	// Pool and Engines are for daemons only.
	Pool    string          `toml:"pool"`
	Engines []daemon.Engine `toml:"engines"`
}

// defaultMemoryMB is the default of processFile.MemoryMB. minMemoryMB and maxMemoryMB bound it.
const (
	defaultMemoryMB = 1024
	minMemoryMB     = 48
	maxMemoryMB     = 1 << 20
)

// nameRE matches the names of instances, data halls and pools.
var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

// loadProcessFile reads and validates the file of an entry or a daemon. It fails
// with a usageError.
func loadProcessFile(path string, isDaemon bool) (processFile, error) {
	text, err := readFile(path)
	if err != nil {
		return processFile{}, err
	}
	f := processFile{LogLevel: "info", MemoryMB: defaultMemoryMB}
	if err := strict.Decode(path, text, &f); err != nil {
		return processFile{}, usageError{err}
	}
	fail := func(key, problem string) (processFile, error) {
		return processFile{}, usageError{strict.LineError(path, text, key, problem)}
	}
	if !nameRE.MatchString(f.ID) {
		return fail("id", fmt.Sprintf("%q: write 1 to 64 of a-z, 0-9, '-' and '_', a letter or digit first", f.ID))
	}
	if !nameRE.MatchString(f.Hall) {
		return fail("hall", fmt.Sprintf("%q: write the name of the data hall: 1 to 64 of a-z, 0-9, '-' and '_', a letter or digit first", f.Hall))
	}
	addrs := []struct{ key, addr string }{{"peers", f.Peers}, {"admin", f.Admin}}
	if !isDaemon {
		addrs = append(addrs, struct{ key, addr string }{"listen", f.Listen})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fail(a.key, fmt.Sprintf("%q: write IP:PORT", a.addr))
		}
	}
	for _, b := range f.Bootstrap {
		if _, _, err := net.SplitHostPort(b); err != nil {
			return fail("bootstrap", fmt.Sprintf("%q: write IP:PORT", b))
		}
	}
	if u, err := url.Parse(f.Platform); err != nil || u.Host == "" {
		return fail("platform", fmt.Sprintf("%q: write http://IP:PORT", f.Platform))
	}
	if _, err := logline.New(io.Discard, f.LogLevel, f.ID); err != nil {
		return fail("log_level", err.Error())
	}
	if f.MemoryMB < minMemoryMB || f.MemoryMB > maxMemoryMB {
		return fail("memory_mb", fmt.Sprintf("%d: write %d to %d", f.MemoryMB, minMemoryMB, maxMemoryMB))
	}
	if !isDaemon {
		return f, nil
	}
	if !nameRE.MatchString(f.Pool) {
		return fail("pool", fmt.Sprintf("%q: write the name of the pool: 1 to 64 of a-z, 0-9, '-' and '_', a letter or digit first", f.Pool))
	}
	if len(f.Engines) == 0 {
		return fail("engines", "name at least one engine with [[engines]]")
	}
	for _, e := range f.Engines {
		if _, _, err := net.SplitHostPort(e.Addr); err != nil || e.ID == "" {
			return fail("engines", fmt.Sprintf("engine %q at %q: write id and addr = IP:PORT", e.ID, e.Addr))
		}
	}
	return f, nil
}

type entryCmd struct {
	Settings string `arg:"--settings,required" help:"TOML file with id, hall, listen, peers, admin, platform, bootstrap, log_level and memory_mb"`
}

type daemonCmd struct {
	Settings string `arg:"--settings,required" help:"TOML file with id, hall, peers, admin, platform, bootstrap, log_level, pool and [[engines]]"`
}

func (c *entryCmd) run(_, errOut io.Writer) error {
	f, err := loadProcessFile(c.Settings, false)
	if err != nil {
		return err
	}
	log, err := logline.New(errOut, f.LogLevel, f.ID)
	if err != nil {
		return err
	}
	ls, err := listenAll(f.Listen, f.Peers, f.Admin)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(f.MemoryMB<<20) * goMemoryShare))
	clk := clock.System()
	descriptors := descriptorLimit(0)
	maxConns := callers.MaxConns(descriptors)
	e := entry.New(entry.Config{
		ID: f.ID, Hall: f.Hall, Bootstrap: f.Bootstrap, Platform: source.New(f.Platform, clk, log),
		MaxConns: maxConns, Memory: f.MemoryMB << 20, Clock: clk, Log: log,
	})
	stopAdmin := startServer(ls[2], admin.Handler(e))
	defer stopAdmin()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("started", "role", "entry", "listen", ls[0].Addr(), "peers", ls[1].Addr(), "admin", ls[2].Addr(),
		"descriptors", descriptors, "max_connections", maxConns)
	return e.Run(ctx, ls[0], ls[1])
}

func (c *daemonCmd) run(_, errOut io.Writer) error {
	debug.SetGCPercent(gcPercent)
	f, err := loadProcessFile(c.Settings, true)
	if err != nil {
		return err
	}
	log, err := logline.New(errOut, f.LogLevel, f.ID)
	if err != nil {
		return err
	}
	ls, err := listenAll(f.Peers, f.Admin)
	if err != nil {
		return err
	}
	clk := clock.System()
	d := daemon.New(daemon.Config{
		ID: f.ID, Hall: f.Hall, Pool: f.Pool, Engines: f.Engines, Bootstrap: f.Bootstrap,
		Platform: source.New(f.Platform, clk, log), Clock: clk, Log: log,
	})
	stopAdmin := startServer(ls[1], admin.Handler(d))
	defer stopAdmin()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("started", "role", "daemon", "peers", ls[0].Addr(), "admin", ls[1].Addr())
	return runDaemon(ctx, d, ls[0])
}

// runDaemon serves until ctx is done, then drains the daemon before it stops.
func runDaemon(ctx context.Context, d *daemon.Daemon, ln net.Listener) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		d.Drain(serveCtx)
		cancel()
	}()
	return d.Run(serveCtx, ln)
}

// maxDescriptors stands for a process without a limit.
const maxDescriptors = 1 << 20

// descriptorLimit returns how many descriptors this process may open, by its resource limit and
// by its settings, where 0 sets no limit.
func descriptorLimit(configured int) int {
	limit := maxDescriptors
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < maxDescriptors {
		limit = int(r.Cur)
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// listenAll listens on all addresses, or fails and closes the listeners.
func listenAll(addrs ...string) ([]net.Listener, error) {
	var ls []net.Listener
	for _, a := range addrs {
		l, err := net.Listen("tcp", a)
		if err != nil {
			for _, open := range ls {
				_ = open.Close()
			}
			if errors.Is(err, syscall.EADDRINUSE) {
				return nil, usagef("%s: the port is taken: choose another or end the process that has it", a)
			}
			return nil, usagef("listen on %s: %w", a, err)
		}
		ls = append(ls, l)
	}
	return ls, nil
}

// startServer serves h on ln until the returned function is called.
func startServer(ln net.Listener, h http.Handler) (stop func()) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	go func() { _ = srv.Serve(ln) }()
	return func() { _ = srv.Close() }
}

const readHeaderTimeout clock.Millis = 5000
