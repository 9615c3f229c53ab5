package load

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/measure/trace"
)

// Config describes a load, which Rate and Duration limit.
type Config struct {
	// URLs are the entries; requests go to them in turn.
	URLs []string
	// AdminURLs are the admin addresses of entries, used for skew and control bytes.
	AdminURLs []string
	// Keys are the bearer keys of the workspaces, in descending order of load.
	Keys  []string
	Model string
	Shape Shape
	// Rate is in requests per second, opening and returning turns together.
	Rate     float64
	Duration clock.Millis
	// MaxInFlight limits the open requests; arrivals beyond it are counted and dropped.
	MaxInFlight int
	Seed        uint64
	Clock       *clock.Clock
}

// Report is the result of a load.
type Report struct {
	Requests int            `json:"requests"`
	Dropped  int            `json:"dropped"`
	Complete int            `json:"whole"`
	Verdicts map[string]int `json:"verdicts"`
	// Reasons counts failures by reason, "transport" for transport errors.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Reuse is the cached share of the tokens of earlier turns.
	Reuse     float64 `json:"reuse"`
	Returning int     `json:"returning"`
	// Latencies are in milliseconds.
	FirstToken    Latency `json:"first_token"`
	BetweenTokens Latency `json:"between_tokens"`
	Total         Latency `json:"total"`
	// Skew is the ratio of the highest to the mean load of the engines of a pool, as
	// reported by an entry, while the mean is at least one request.
	SkewP50 float64 `json:"skew_p50"`
	SkewP99 float64 `json:"skew_p99"`
	SkewMax float64 `json:"skew_max"`
	// ControlBytesPerSecond is by direction and kind, for the process of the first admin
	// URL.
	ControlBytesPerSecond map[string]float64 `json:"control_bytes_per_second,omitempty"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

const (
	maxLatencyMicros = 600_000_000
	latencyDigits    = 3
)

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, latencyDigits) }

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{ms(50), ms(95), ms(99)}
}

// chatState is a chat between its turns.
type chatState struct {
	id, turn, workspace int
	messages            []message
	// previousTokens is the size of the prompt and response of the latest turn.
	previousTokens int
	returnAt       clock.Millis
}

type runner struct {
	cfg  Config
	http *http.Client
	zipf *rand.Zipf

	mu        sync.Mutex
	rnd       *rand.Rand
	idleChats chatHeap
	rep       Report
	turns     []trace.Turn
	cached    int
	shared    int
	chats     int

	first, between, total, skew *hdrhistogram.Histogram
}

// Run sends the load and returns a report and the recorded arrivals. It fails if the
// configuration lacks an entry, a key, a rate or a duration.
func Run(ctx context.Context, cfg Config) (Report, []trace.Turn, error) {
	if len(cfg.URLs) == 0 || len(cfg.Keys) == 0 || cfg.Rate <= 0 || cfg.Duration <= 0 {
		return Report{}, nil, fmt.Errorf("load: the configuration needs a URL, a key, a rate and a duration")
	}
	t := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, MaxIdleConns: 0}
	defer t.CloseIdleConnections()
	rnd := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	r := &runner{
		cfg: cfg, http: &http.Client{Transport: t}, rnd: rnd,
		zipf:  rand.NewZipf(rnd, 1.5, 2, uint64(len(cfg.Keys)-1)),
		rep:   Report{Verdicts: map[string]int{}, Reasons: map[string]int{}},
		first: newHist(), between: newHist(), total: newHist(), skew: newHist(),
	}
	before := r.controlBytes()
	watchCtx, stopWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { r.watchSkew(watchCtx) })
	start := cfg.Clock.Now()
	r.sendArrivals(ctx, start)
	stopWatch()
	watch.Wait()
	r.finish(before, cfg.Clock.Now()-start)
	slices.SortFunc(r.turns, func(a, b trace.Turn) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return r.rep, r.turns, nil
}

// sendArrivals sends turns at the rate, as a Poisson process. Each turn belongs to a chat
// that is due to return if there is one, else to a new chat.
func (r *runner) sendArrivals(ctx context.Context, start clock.Millis) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, max(1, r.cfg.MaxInFlight))
	next := float64(start)
	for n := 0; ; n++ {
		r.mu.Lock()
		next += r.rnd.ExpFloat64() / r.cfg.Rate * 1000
		r.mu.Unlock()
		if clock.Millis(next) >= start+r.cfg.Duration {
			return
		}
		if wait := clock.Millis(next) - r.cfg.Clock.Now(); wait > 0 && !clock.Sleep(ctx, wait) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			r.mu.Lock()
			r.rep.Dropped++
			r.mu.Unlock()
			continue
		}
		c := r.nextChat()
		wg.Go(func() {
			defer func() { <-slots }()
			r.runTurn(ctx, c, r.cfg.URLs[n%len(r.cfg.URLs)], r.cfg.Clock.Now()-start)
		})
	}
}

func (r *runner) nextChat() *chatState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idleChats) > 0 && r.idleChats[0].returnAt <= r.cfg.Clock.Now() {
		return heap.Pop(&r.idleChats).(*chatState)
	}
	r.chats++
	return &chatState{id: r.chats, workspace: workspace(r.zipf)}
}

func (r *runner) runTurn(ctx context.Context, c *chatState, url string, at clock.Millis) {
	s := r.cfg.Shape
	r.mu.Lock()
	size := s.TurnTokens
	if c.turn == 0 {
		size = s.OpeningTokens
	}
	c.messages = append(c.messages, message{"user", randomText(r.rnd, s.tokens(r.rnd, size))})
	out := s.output(r.rnd)
	r.mu.Unlock()
	res := sendTurn(ctx, r.http, r.cfg.Clock, url, r.cfg.Keys[c.workspace], chatRequest{
		Model: r.cfg.Model, Stream: true, MaxTokens: out, Messages: c.messages, StreamOptions: &streamOptions{true},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordResponse(c, res)
	if !res.complete {
		return
	}
	r.turns = append(r.turns, trace.Turn{Arrival: at, Chat: c.id, Number: c.turn, Workspace: c.workspace, PromptTokens: res.prompt, SharedTokens: min(c.previousTokens, res.prompt), OutputTokens: res.tokens})
	if c.turn > 0 {
		r.rep.Returning++
		r.cached += min(res.cached, c.previousTokens)
		r.shared += c.previousTokens
	}
	c.turn++
	c.previousTokens = res.prompt + 1 + len(res.content)/4
	c.messages = append(c.messages, message{"assistant", res.content})
	if r.rnd.Float64() < s.ReturnProbability && res.prompt < maxPromptTokens {
		c.returnAt = r.cfg.Clock.Now() + s.pause(r.rnd)
		heap.Push(&r.idleChats, c)
	}
}

func (r *runner) recordResponse(_ *chatState, res response) {
	r.rep.Requests++
	v := res.verdict
	if v == "" {
		v = "unknown"
	}
	r.rep.Verdicts[v]++
	switch {
	case res.complete:
		r.rep.Complete++
		_ = r.first.RecordValue(res.firstMicros)
		_ = r.between.RecordValue(res.gapMicros)
		_ = r.total.RecordValue(res.totalMicros)
	case res.reason != "":
		r.rep.Reasons[res.reason]++
	case res.err != nil:
		r.rep.Reasons["transport"]++
	}
}

func (r *runner) finish(before map[string]float64, took clock.Millis) {
	r.rep.FirstToken, r.rep.BetweenTokens, r.rep.Total = latencyOf(r.first), latencyOf(r.between), latencyOf(r.total)
	if r.shared > 0 {
		r.rep.Reuse = float64(r.cached) / float64(r.shared)
	}
	q := func(p float64) float64 { return float64(r.skew.ValueAtQuantile(p)) / skewScale }
	r.rep.SkewP50, r.rep.SkewP99, r.rep.SkewMax = q(50), q(99), float64(r.skew.Max())/skewScale
	after := r.controlBytes()
	r.rep.ControlBytesPerSecond = map[string]float64{}
	for k, v := range after {
		r.rep.ControlBytesPerSecond[k] = (v - before[k]) * 1000 / float64(took)
	}
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "requests        %d, %d complete, %d dropped by the client\nverdicts        %v %v\ncache reuse     %.1f%% of %d returning turns' shared tokens\nfirst token     p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\nbetween tokens  p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\ntotal           p50 %.1f ms  p95 %.1f ms  p99 %.1f ms\nskew            p50 %.2f  p99 %.2f  max %.2f\ncontrol B/s     %v\n",
		r.Requests, r.Complete, r.Dropped, r.Verdicts, r.Reasons, 100*r.Reuse, r.Returning,
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99,
		r.Total.P50, r.Total.P95, r.Total.P99, r.SkewP50, r.SkewP99, r.SkewMax, roundAll(r.ControlBytesPerSecond))
	return err
}

func roundAll(m map[string]float64) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, k := range keys {
		_, _ = fmt.Fprintf(&b, "%s %.0f  ", k, m[k])
	}
	return b.String()
}

// chatHeap orders chats by the time of their next turn.
type chatHeap []*chatState

var _ heap.Interface = (*chatHeap)(nil)

func (h chatHeap) Len() int           { return len(h) }
func (h chatHeap) Less(i, j int) bool { return h[i].returnAt < h[j].returnAt }
func (h chatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *chatHeap) Push(x any) { *h = append(*h, x.(*chatState)) }

// Pop implements heap.Interface.
func (h *chatHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
