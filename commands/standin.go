package commands

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/standin/engine"
	"github.com/weldfall/weldfall/standin/platform"
	"github.com/weldfall/weldfall/standin/service"
)

type standinCmd struct {
	Platform *standinPlatformCmd `arg:"subcommand:platform" help:"configuration service and list of instances"`
	Engine   *standinEngineCmd   `arg:"subcommand:engine" help:"language-model engine"`
	Service  *standinServiceCmd  `arg:"subcommand:service" help:"plain service"`
}

func (*standinCmd) run(io.Writer, io.Writer) error {
	return usagef("standin: missing subcommand: platform, engine or service")
}

type standinPlatformCmd struct {
	Listen string  `arg:"--listen" default:"127.0.0.1:0" help:"IP:PORT; the address is printed"`
	Rate   float64 `arg:"--rate" default:"2000" help:"reads a second for all readers"`
	LagMS  int64   `arg:"--list-lag-ms" default:"0" help:"delay of changes in the list of instances, in milliseconds"`
}

func (c *standinPlatformCmd) run(out, _ io.Writer) error {
	return serveStandin(out, c.Listen, platform.New(platform.Config{CallsPerSecond: c.Rate, ListLag: clock.Millis(c.LagMS), Clock: clock.System()}))
}

type standinEngineCmd struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" help:"IP:PORT; the address is printed"`
	ID          string `arg:"--id" default:"engine"`
	Slots       int    `arg:"--slots" default:"16" help:"requests that run at once"`
	CacheTokens int    `arg:"--cache-tokens" default:"200000" help:"cache memory in tokens"`
	Prefill     int    `arg:"--prefill" default:"20" help:"uncached prompt tokens prefilled in a millisecond, 0 for no delay"`
	GapMS       int64  `arg:"--gap-ms" default:"10" help:"time between tokens in milliseconds, 0 for none"`
	Tokens      int    `arg:"--tokens" default:"32" help:"length in tokens of a response that the request does not limit"`
	LagMS       int64  `arg:"--lag-ms" default:"2000" help:"delay of reported load and cache events, in milliseconds"`
	EventGap    int    `arg:"--event-gap" default:"17" help:"lose every n-th cache event, 0 for none"`
	EndsOn      string `arg:"--ends-on" help:"exit when a request starts whose body contains this text"`
}

func (c *standinEngineCmd) run(out, _ io.Writer) error {
	return serveStandin(out, c.Listen, exitOnText(c.EndsOn, engine.New(engine.Config{
		ID: c.ID, Slots: c.Slots, CacheTokens: c.CacheTokens, PrefillTokensPerMS: c.Prefill,
		TokenInterval: clock.Millis(c.GapMS), Tokens: c.Tokens, ReportLag: clock.Millis(c.LagMS), DropEveryNthEvent: c.EventGap, Started: printRuns(out), Clock: clock.System(),
	})))
}

type standinServiceCmd struct {
	Listen      string `arg:"--listen" default:"127.0.0.1:0" help:"IP:PORT; the address is printed"`
	ID          string `arg:"--id" default:"service"`
	DelayMS     int64  `arg:"--delay-ms" default:"5" help:"duration of a request in milliseconds"`
	AnswerBytes int    `arg:"--answer-bytes" default:"0" help:"padding of a response in bytes"`
	EndsOn      string `arg:"--ends-on" help:"exit when a request starts whose body contains this text"`
}

func (c *standinServiceCmd) run(out, _ io.Writer) error {
	return serveStandin(out, c.Listen, exitOnText(c.EndsOn, service.New(service.Config{ID: c.ID, Delay: clock.Millis(c.DelayMS), PaddingBytes: c.AnswerBytes, Started: printRuns(out)})))
}

// exitOnText returns a handler that exits the process if the body of a request
// contains text. If text is empty, it returns h.
func exitOnText(text string, h http.Handler) http.Handler {
	if text == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if strings.Contains(string(body), text) {
			os.Exit(triggeredExitCode)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// triggeredExitCode is the exit code of exitOnText.
const triggeredExitCode = 3

// printRuns returns a callback that prints a line for each request before the
// request runs, so that requests which crash the process are counted.
func printRuns(out io.Writer) func(engine.Run) {
	var mu sync.Mutex
	return func(r engine.Run) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(out, "run attempt=%s key=%s caller_key=%s\n", r.Attempt, r.Key, r.CallerKey)
	}
}

// serveStandin prints the address and serves until SIGINT or SIGTERM.
func serveStandin(out io.Writer, addr string, h http.Handler) error {
	ls, err := listenAll(addr)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, ls[0].Addr()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	stopServing := startServer(ls[0], h)
	defer stopServing()
	<-ctx.Done()
	return nil
}
