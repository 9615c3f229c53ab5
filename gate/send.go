package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/upstream"
	"github.com/weldfall/weldfall/verdict"
)

// outcome is what one attempt came to.
type outcome interface{ outcome() }

type (
	// answered means that the caller has the whole answer.
	answered struct{}
	// unsent means that nothing of the request reached the engine.
	unsent struct{ err error }
	// refused means that the engine said that it did not run the request.
	refused struct{ status int }
	// broken means that the engine may have run the request and no whole
	// answer came.
	broken struct{ err error }
	// failed means that the engine ran the request and answered with a failure
	// of its own, which is held for the caller.
	failed struct{ answer *held }
	// callerGone means that the caller left or does not read.
	callerGone struct{}
)

func (answered) outcome()   {}
func (unsent) outcome()     {}
func (refused) outcome()    {}
func (broken) outcome()     {}
func (failed) outcome()     {}
func (callerGone) outcome() {}

// Limits of the attempts of one request.
const (
	// mostUnsent is how many engines that cannot be reached are tried.
	mostUnsent = 3
	// mostRefused is how many engines that are full are tried.
	mostRefused = 3
	// leastLeft is the time below which another attempt is of no use.
	leastLeft clock.Millis = 40
)

// send chooses engines until one answers or the request must be given up.
func (g *Gate) send(ctx context.Context, c *call) *verdict.Error {
	g.countRequest(c)
	for {
		e, err := g.choose(c)
		if err != nil {
			return err
		}
		switch o := g.attempt(ctx, c, e).(type) {
		case answered:
			return nil
		case callerGone:
			c.cut = true
			return verdict.New(c.verdict(), verdict.CallerGone, "the caller left")
		case failed:
			if err := g.again(c, o, e.Info); err != nil {
				c.note = err.Error()
				g.pass(c, o.answer)
				return nil
			}
		case unsent, refused, broken:
			if err := g.again(c, o, e.Info); err != nil {
				return err
			}
		}
	}
}

// countRequest lets the retry budget grow with each request.
func (g *Gate) countRequest(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(c.service).Request(g.clk.Now())
}

// choose takes the engine for the next attempt and counts the request there.
func (g *Gate) choose(c *call) (pick, *verdict.Error) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ch, ok := g.book.Choose(engines.Query{
		Service: c.service, Keys: c.keys, Tokens: c.tokens, Hall: g.cfg.Hall, Bound: keyBound(g.bounds().LoadBound), Slack: boundSlack,
		Tried: c.tried, Random: random(),
	}, now)
	if !ok {
		return pick{}, verdict.New(c.verdict(), verdict.NoEngine, "no engine of %s is left, %d tried", c.service, len(c.tried)).WithRetryAfter(retrySoon)
	}
	in := ch.Engine.Info()
	ch.Engine.Start(now)
	c.tried = append(c.tried, in.ID)
	c.how, c.load, c.mean = ch.How, ch.Load, ch.Mean
	p := pick{Info: in}
	if ch.Source != nil {
		p.source = ch.Source.Info().Addr
	}
	c.fetched = p.source != ""
	return p, nil
}

// pick is the engine of an attempt.
type pick struct {
	engines.Info
	// source is the address of an engine that may keep more of the prompt, ""
	// if none is known.
	source string
}

const (
	// boundPart is how much of the way from the mean to the operators' bound
	// a request may fill; the rest is for what other entries send at the same
	// time.
	boundPart = 0.75
	// boundSlack is the number of requests over the bound that are always
	// allowed, so that a small mean does not scatter chats.
	boundSlack = 3.0
)

// keyBound is the multiple of the mean load up to which a chat stays at the
// engine that remembers it.
func keyBound(bound float64) float64 {
	if bound <= 1 {
		return 1 + boundPart
	}
	return 1 + (bound-1)*boundPart
}

// attempt sends the request to an engine and relays the answer.
func (g *Gate) attempt(ctx context.Context, c *call, e pick) outcome {
	now := g.clk.Now()
	req := g.request(c, e, now)
	a, err := g.pool.Do(ctx, e.Addr, req, g.headLimit(c, now))
	if err != nil {
		return g.sendFailed(ctx, c, e.Info, err)
	}
	defer a.Close()
	g.heard(e.ID, a.Header.Get(g.wire.Load))
	if a.NotRun() {
		return g.engineRefused(c, e.Info, a)
	}
	c.ran++
	o := g.relay(ctx, c, e.Info, a)
	g.finish(e.ID, judge(ctx, o))
	return o
}

// sendFailed judges an attempt that brought no head of an answer.
func (g *Gate) sendFailed(ctx context.Context, c *call, e engines.Info, err error) outcome {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		result := engines.Unreachable
		if ctx.Err() != nil || errors.Is(err, upstream.ErrFull) {
			result = engines.Neutral
		}
		g.finish(e.ID, result)
		if ctx.Err() != nil {
			return callerGone{}
		}
		return unsent{err}
	case ctx.Err() != nil:
		c.ran++
		g.finish(e.ID, engines.Neutral)
		return callerGone{}
	case errors.Is(err, upstream.ErrSilent):
		c.ran++
		g.finish(e.ID, engines.Failed)
		return broken{err}
	default:
		c.ran++
		g.finish(e.ID, engines.Failed)
		return broken{err}
	}
}

// engineRefused judges an answer that says that the request did not run.
func (g *Gate) engineRefused(c *call, e engines.Info, a *upstream.Answer) outcome {
	result := engines.Refused
	if a.StatusCode == http.StatusMisdirectedRequest {
		// Another engine has the address: whatever is kept of it is of no use.
		result = engines.Departed
	}
	drain(a)
	g.finish(e.ID, result)
	return refused{a.StatusCode}
}

// judge says what an attempt tells about the engine.
func judge(ctx context.Context, o outcome) engines.Outcome {
	switch o.(type) {
	case answered:
		return engines.Good
	case failed, broken:
		if ctx.Err() != nil {
			return engines.Neutral
		}
		return engines.Failed
	case callerGone, unsent, refused:
	}
	return engines.Neutral
}

// patienceGoals is how many times its goal a repeatable request waits for the
// first sign of an answer before another engine is asked.
const patienceGoals = 2

// headLimit is how long the engine may take to begin its answer. A request
// that may be repeated is not left with an engine that is stuck.
func (g *Gate) headLimit(c *call, now clock.Millis) clock.Millis {
	left := c.left(now)
	if c.route.Repeatable() && c.ran+1 < c.route.Attempts && c.route.Goal > 0 {
		return min(left, patienceGoals*c.route.Goal)
	}
	return left
}

// again decides whether the request may go to another engine. An error is the
// final answer.
func (g *Gate) again(c *call, o outcome, e engines.Info) *verdict.Error {
	now := g.clk.Now()
	free := false
	var final *verdict.Error
	switch o := o.(type) {
	case unsent:
		c.unsent++
		free = c.unsent < mostUnsent
		final = verdict.New(c.verdict(), verdict.Unreachable, "%d engines of %s could not be reached: %w", c.unsent, c.service, o.err)
	case refused:
		c.refused++
		free = c.refused < mostRefused
		final = verdict.New(c.verdict(), verdict.Overloaded, "%d engines of %s refused", c.refused, c.service)
	case broken:
		free = c.route.Repeatable() && c.ran < c.route.Attempts
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s: %w", e.ID, o.err)
	case failed:
		free = c.route.Repeatable() && c.ran < c.route.Attempts
		final = verdict.New(c.verdict(), verdict.EngineFailed, "engine %s answered %d", e.ID, o.answer.status)
	}
	left := c.left(now)
	_, sentNothing := o.(unsent)
	allowed := free && left > leastLeft && (sentNothing || g.spend(c, now))
	g.logAgain(c, o, e, allowed, left)
	if allowed {
		return nil
	}
	if left <= 0 {
		return verdict.New(c.verdict(), verdict.Deadline, "%d ms were not enough", now-c.start)
	}
	if final.Verdict() == verdict.NotRun {
		return final.WithRetryAfter(retrySoon)
	}
	return final
}

// spend takes one repeat from the budget.
func (g *Gate) spend(c *call, now clock.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(c.service).Spend(now)
}

// heard records a sign of life, with the load that it told, if any.
func (g *Gate) heard(id, load string) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.book.Get(id)
	if e == nil {
		return
	}
	e.Heard(now)
	if l, ok := parseLoad(load); ok {
		e.Told(l, now)
	}
}

// finish counts the end of a request at an engine.
func (g *Gate) finish(id string, o engines.Outcome) {
	now := g.clk.Now()
	g.mu.Lock()
	e := g.book.Get(id)
	if e == nil {
		g.mu.Unlock()
		return
	}
	trust, hold := e.Finish(o, now), e.Hold()
	g.mu.Unlock()
	if trust != engines.Unchanged {
		g.log.Info("engine_trust", "engine", id, "trust", trust, "outcome", o, "hold_ms", hold)
	}
}

// parseLoad reads "running,waiting,slots".
func parseLoad(v string) (engines.Load, bool) {
	running, rest, ok := strings.Cut(v, ",")
	if !ok {
		return engines.Load{}, false
	}
	waiting, _, _ := strings.Cut(rest, ",")
	r, err1 := strconv.Atoi(strings.TrimSpace(running))
	q, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err1 != nil || err2 != nil || r < 0 || q < 0 {
		return engines.Load{}, false
	}
	return engines.Load{Running: r, Waiting: q}, true
}

// hopByHop are headers that concern one connection only, or that this process
// writes itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// request returns what the engine is sent.
func (g *Gate) request(c *call, e pick, now clock.Millis) *upstream.Request {
	h := make(http.Header, len(c.r.Header)+headersAdded)
	dropped := connectionNames(c.r.Header)
	for k, v := range c.r.Header {
		if !hopByHop[k] && !g.reserved[k] && !dropped[k] {
			h[k] = v
		}
	}
	if c.table.Keyed() && !c.route.Public {
		delete(h, "Authorization")
	}
	h.Set(g.wire.Deadline, strconv.FormatInt(int64(max(1, c.left(now))), 10))
	h.Set(g.wire.ExpectEngine, e.ID)
	h.Set(g.wire.Priority, strconv.Itoa(priority(c)))
	if c.workspace != nil {
		h.Set(g.wire.Tenant, c.workspace.Name)
	}
	if e.source != "" {
		h.Set(g.wire.FetchFrom, e.source)
	}
	if id := c.split.LastID(); id != "" {
		h.Set(g.wire.LastEventID, id)
	}
	return &upstream.Request{
		ID: c.id, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h,
		Body: c.body, HasBody: c.r.ContentLength > 0 || len(c.r.TransferEncoding) > 0,
	}
}

// headersAdded is how many headers this process adds.
const headersAdded = 7

// leastUrgent is the largest rank that engines know.
const leastUrgent = 9

func priority(c *call) int {
	p := c.route.Priority
	if c.workspace != nil && c.workspace.Priority != nil {
		p = *c.workspace.Priority
	}
	return min(leastUrgent, max(0, p))
}

// connectionNames are the headers that Connection names.
func connectionNames(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// kindOf names an outcome for logs and counters.
func kindOf(o outcome) string {
	switch o.(type) {
	case answered:
		return "answered"
	case unsent:
		return "unsent"
	case refused:
		return "refused"
	case broken:
		return "broken"
	case failed:
		return "failed"
	case callerGone:
		return "caller_gone"
	}
	return "unknown"
}

// kindIsStream reports whether the route's answers are events.
func kindIsStream(r *table.Route) bool { return r.Kind == table.Stream }
