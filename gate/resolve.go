package gate

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/gate/prompt"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// Delays that are sent in Retry-After.
const (
	// retryStale is for entries with no or an outdated table: the store is likely
	// unavailable to all entries.
	retryStale clock.Millis = 700
	// retryAtOnce is for requests that other entries can serve. The retry reaches another
	// entry.
	retryAtOnce clock.Millis = 10
	// retrySoon is for requests without an engine. One may be free or reachable by then.
	retrySoon clock.Millis = 250
)

// defaultBodyLimit is the maximum size of a body in bytes if the operators set none.
const defaultBodyLimit = 4 << 20

// validateHeaders rejects requests without an ID, with an invalid deadline, or with more than
// one value of a single-valued header. It sets the ID and the timeout of the call.
func (g *Gate) validateHeaders(_ context.Context, c *call) *verdict.Error {
	h := c.r.Header
	for _, name := range []string{g.wire.RequestID, g.wire.Deadline, g.wire.Prompt, g.wire.Resumes, "Authorization"} {
		if len(h.Values(name)) > 1 {
			return verdict.New(verdict.NotRun, verdict.BadRequest, "header %s is given twice: send it once", name)
		}
	}
	c.id = h.Get(g.wire.RequestID)
	if c.id == "" {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "header %s is missing: send an id that is unique to this attempt", g.wire.RequestID)
	}
	if d := h.Get(g.wire.Deadline); d != "" {
		n, err := strconv.ParseInt(d, 10, 64)
		if err != nil || n <= 0 {
			return verdict.New(verdict.NotRun, verdict.BadRequest, "header %s: %q is not a number of milliseconds above 0", g.wire.Deadline, d)
		}
		c.callerTimeout = clock.Millis(min(n, int64(maxRequestTime)))
	}
	return nil
}

// maxRequestTime limits requests of routes without a timeout, and the caller's deadline.
const maxRequestTime = duration.DefaultTimeout

// resolve finds the route and the service of the request.
func (g *Gate) resolve(_ context.Context, c *call) *verdict.Error {
	c.table, c.tableFreshness = g.currentTable()
	if c.table == nil {
		return verdict.New(verdict.NotRun, verdict.NotReady, "this entry does not know the routes yet").WithRetryAfter(retryStale)
	}
	if err := g.checkOutdated(); err != nil {
		return err
	}
	if limit, n := c.table.Limits().HeaderBytes, headerBytes(c.r); limit > 0 && n > limit {
		return verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "the header has %d bytes, the limit is %d", n, limit)
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := c.table.Route(c.r.Host, path)
	if !ok {
		return g.denied(c, verdict.NoRoute, "no route for host %q and this path", c.r.Host)
	}
	c.route = route
	limit := maxRequestTime
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if c.callerTimeout > 0 {
		limit = min(limit, c.callerTimeout)
	}
	c.giveUpAt = c.start + limit
	c.prompt = c.r.Header.Get(g.wire.Prompt)
	if route.PromptAffinity {
		parts := prompt.Parse(c.prompt)
		c.prefixKeys, c.prefixTokens, c.suffixTokens = prompt.PrefixKeys(parts), prompt.PrefixTokens(parts), prompt.SuffixTokens(parts)
	}
	pickKey := c.id
	c.resumed = g.resumption(c)
	if c.resumed.origin != "" {
		// A resumed stream goes to the service that began it.
		pickKey = c.resumed.origin
	}
	if n := len(c.prefixKeys); n > 0 {
		pickKey = strconv.FormatUint(c.prefixKeys[n-1], 16)
	}
	c.service = route.PickService(pickKey)
	return nil
}

// checkOutdated rejects requests while the table in force is known to be too old.
func (g *Gate) checkOutdated() *verdict.Error {
	now := g.clk.Now()
	g.mu.Lock()
	age, retryAfter := g.outdated(now), g.retryElsewhere(now)
	g.mu.Unlock()
	if age == 0 {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.NotReady, "this entry's routes have been out of date for %d ms: a newer version is still being transferred", age).WithRetryAfter(retryAfter)
}

// headerBytes returns the size of a request's header in bytes.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

// headerLineOverhead is the size of a header line apart from its name and value, in bytes.
const headerLineOverhead = 4

// currentTable returns the table in force, nil if there is none, and its freshness.
func (g *Gate) currentTable() (*table.Table, fresh.Tracker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Load(), g.tableFreshness
}

// denied returns the error for a key or path that is not in the call's table. If that is older
// than maxDenialAge and may lack a recent addition, it returns a NotReady error instead.
func (g *Gate) denied(c *call, reason verdict.Reason, format string, args ...any) *verdict.Error {
	now := g.clk.Now()
	if !c.tableFreshness.Within(maxDenialAge, now) {
		return g.outOfDate(c, now, "this entry's routes and keys are %d ms old and may be out of date")
	}
	return verdict.New(verdict.NotRun, reason, format, args...)
}

// outOfDate returns the error for a call whose table is too old; format has its age.
func (g *Gate) outOfDate(c *call, now clock.Millis, format string) *verdict.Error {
	g.mu.Lock()
	retryAfter := g.retryElsewhere(now)
	g.mu.Unlock()
	return verdict.New(verdict.NotRun, verdict.NotReady, format, c.tableFreshness.Age(now)).WithRetryAfter(retryAfter)
}

// authorise finds the workspace of the key. Keys are accepted only while the age of the
// table is below the bound for revoked keys.
func (g *Gate) authorise(_ context.Context, c *call) *verdict.Error {
	if !c.table.RequiresKey() || c.route.Public {
		return nil
	}
	now := g.clk.Now()
	if !c.tableFreshness.Within(g.maxKeyAge(), now) {
		return g.outOfDate(c, now, "this entry's keys are %d ms old and may have been revoked")
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return g.denied(c, verdict.Unauthorized, "no bearer key: send Authorization: Bearer KEY")
	}
	if c.workspace, ok = c.table.Workspace(strings.TrimSpace(key)); !ok {
		return g.denied(c, verdict.Unauthorized, "unknown key")
	}
	return nil
}

// readBody reads the body within the limits on its size and time and on the memory of all bodies.
// The connection of one over these limits is closed, since the rest of the body may still come.
func (g *Gate) readBody(ctx context.Context, c *call) *verdict.Error {
	limit := int64(defaultBodyLimit)
	if l := c.table.Limits().BodyBytes; l > 0 {
		limit = l
	}
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, verdict.TooLarge, "the body has %d bytes, the limit is %d", c.r.ContentLength, limit)
	}
	if !c.hasBody() {
		return nil
	}
	// A connection that does not support deadlines is bounded by the request's context.
	// The deadline stays unless the body arrives completely: net/http reads the rest of
	// a body before it responds.
	c.bodyRequested = true
	c.readingBody.Store(true)
	defer c.readingBody.Store(false)
	_ = c.rc.SetReadDeadline(clock.Deadline(c.timeLeft(g.clk.Now())))
	body, err := c.received.Read(c.r.Body, c.r.ContentLength, limit)
	switch {
	case errors.Is(err, whole.ErrTooLarge):
		c.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, verdict.TooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, bodies.ErrNoRoom):
		c.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, verdict.NoMemory, "%w", err).WithRetryAfter(retrySoon)
	case errors.Is(err, os.ErrDeadlineExceeded):
		callers.RecordBodyTimeout(ctx, c.giveUpAt-c.start)
		return verdict.New(verdict.NotRun, verdict.Deadline, "the body did not arrive in time: %w", err)
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the body is incomplete: %w", err)
	}
	_ = c.rc.SetReadDeadline(clock.NoDeadline())
	c.body = body
	c.readAt = g.clk.Now()
	c.progress.Restart(c.readAt)
	return nil
}
