package gate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/xxh3"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

var _ origin.Host = (*Gate)(nil)

const (
	// resumeMargin is added to the time in which a stream can be resumed, for requests on
	// their way and clocks of different speeds.
	resumeMargin clock.Millis = 1000
	// originHeldTimeout is how long the first event waits until another entry holds the
	// origin of the stream. The record is sent with the request, so that an entry usually
	// holds it long before the event.
	originHeldTimeout clock.Millis = 100
	// retryOrigin is sent in Retry-After if the origin of a stream is unknown, unless another
	// entry is likely to know it. An entry that did not respond may do so later.
	retryOrigin clock.Millis = 500
	// fresherBy is how much later the list of another entry is than that of this one if this one
	// is out of step rather than between two reads.
	fresherBy clock.Millis = 2000
)

// resumption is what a request says about the stream that it resumes. The zero value is
// that of a request that begins a stream.
type resumption struct {
	// origin is the ID of the caller's attempt that received the first event.
	origin string
	// after is the ID of the last event that the caller received.
	after string
}

// resumption returns what a call for a stream resumes.
func (g *Gate) resumption(c *call) resumption {
	if c.route == nil || c.route.Kind != table.Stream {
		return resumption{}
	}
	return resumption{origin: c.r.Header.Get(g.wire.Resumes), after: c.r.Header.Get(g.wire.LastEventID)}
}

// resumes reports whether the request resumes a stream.
func (r resumption) resumes() bool { return r.origin != "" || r.after != "" }

// maxLoggedID limits the IDs of callers in log lines, in bytes.
const maxLoggedID = 64

func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// basis is how the version of a resumed stream is known.
type basis string

const (
	// byRecord means that an entry holds the origin of the stream.
	byRecord basis = "record"
	// bySoleVersion means that the service has had one version for longer than a stream
	// lives, by the list of engines as of after the request arrived.
	bySoleVersion basis = "sole_version"
	// byEntries means that the store confirmed no list, and that no entry has begun a stream
	// at another version.
	byEntries basis = "entries"
	// byReply means that this entry passed on the first event in the same response.
	byReply basis = "reply"
)

// countContinued counts an engine's response that continues a stream.
func countContinued(b basis) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_streams_continued_total{basis=%q}`, b)).Inc()
}

// countNotContinued counts a stream that is not continued. d says why its origin is not known,
// "" if it is.
func countNotContinued(r verdict.Reason, d doubt) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_streams_not_continued_total{reason=%q,doubt=%q}`, r, d)).Inc()
}

// resolveOrigin finds the version that began the stream that a request resumes. The
// request is rejected if no entry knows it and the service has several versions.
func (g *Gate) resolveOrigin(ctx context.Context, c *call) *verdict.Error {
	if !c.resumed.resumes() {
		return nil
	}
	version, by, err := g.originVersion(ctx, c)
	if err != nil {
		c.doubt = doubtOf(err)
		countNotContinued(verdict.UnknownOrigin, c.doubt)
		return verdict.New(verdict.NotRun, verdict.UnknownOrigin, "the stream cannot be resumed: %w", err).WithRetryAfter(g.retryUnknownOrigin(c))
	}
	c.version, c.versionBasis = version, by
	return nil
}

// retryUnknownOrigin returns when a request that resumes a stream of unknown origin may be
// retried: at once if this entry is out of step, since a retry reaches another one.
func (g *Gate) retryUnknownOrigin(c *call) clock.Millis {
	s := c.originSearch
	if c.doubt != unproven || s.Others == 0 {
		return retryOrigin
	}
	asOf := g.clk.Now() - c.originListAge
	fresher := slices.ContainsFunc(s.Findings, func(f origin.Finding) bool { return f.Knowledge.AsOf >= asOf+fresherBy })
	if len(s.Findings) == 0 || fresher {
		return retryAtOnce
	}
	return retryOrigin
}

// Reasons why the version that began a stream is not known.
var (
	errAmbiguousOrigin = errors.New("several streams began with the request ID that it names, at different software versions")
	errSeveralVersions = errors.New("no entry knows which software version began it, and the service has, or had lately, several")
	errVersionsUnknown = errors.New("no entry knows which software version began it, nor whether the service has had only one")
)

// doubt is why the version that began a stream is not known.
type doubt string

const (
	// ambiguous means that the records of the stream contradict each other.
	ambiguous doubt = "ambiguous"
	// severalVersions means that the service has, or had lately, several versions.
	severalVersions doubt = "several_versions"
	// unproven means that nothing proves that the service has had only one version.
	unproven doubt = "unproven"
)

// doubtOf returns the doubt that an error of originVersion stands for.
func doubtOf(err error) doubt {
	switch {
	case errors.Is(err, errAmbiguousOrigin):
		return ambiguous
	case errors.Is(err, errSeveralVersions):
		return severalVersions
	case errors.Is(err, errOtherService):
		return routeMoved
	}
	return unproven
}

// originVersion returns the version that began the stream that a call resumes.
func (g *Gate) originVersion(ctx context.Context, c *call) (version string, by basis, err error) {
	q := origin.Query{Key: c.originKey(c.resumed.origin), Workspace: c.workspaceHash(), Service: c.service}
	if c.resumed.origin != "" {
		r, ambiguous := g.origins.Find(q.Workspace, q.Key, g.clk.Now())
		switch {
		case ambiguous:
			return "", "", errAmbiguousOrigin
		case r != nil:
			return c.recordedOrigin(r)
		}
	}
	c.originSearch = g.askOrigin(ctx, q)
	r, err := agreedRecord(c.originSearch.Findings)
	if err != nil {
		return "", "", err
	}
	if r != nil {
		g.origins.Hold(*r, g.clk.Now())
		return c.recordedOrigin(r)
	}
	return g.soleVersion(ctx, c)
}

// recordedOrigin returns the version that a record of the stream names.
func (c *call) recordedOrigin(r *origin.Record) (version string, by basis, err error) {
	if r.Service != origin.ServiceHash(c.service) {
		return "", "", errOtherService
	}
	return r.Version, byRecord, nil
}

// askOrigin asks other entries for the origin of a stream, unless there are too many searches.
func (g *Gate) askOrigin(ctx context.Context, q origin.Query) origin.Search {
	g.mu.Lock()
	peers := g.originPeers
	g.mu.Unlock()
	if peers == nil || !g.originSearches.allow(q.Workspace) {
		return origin.Search{}
	}
	return peers.Find(ctx, q)
}

// agreedRecord returns the latest record among findings, nil if there is none.
func agreedRecord(findings []origin.Finding) (*origin.Record, error) {
	var best *origin.Record
	for _, f := range findings {
		r := f.Record
		switch {
		case f.Ambiguous:
			return nil, errAmbiguousOrigin
		case r == nil:
		case best == nil, r.Call == best.Call && r.Attempt > best.Attempt:
			best = r
		case r.Call != best.Call && !r.SameOrigin(*best):
			return nil, errAmbiguousOrigin
		}
	}
	return best, nil
}

// originKey returns the key of the stream that began with the attempt id.
func (c *call) originKey(id string) origin.Key {
	return origin.NewKey(c.workspaceName(), id)
}

// workspaceName returns the name of the workspace, "" on a route that needs no key.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

func (c *call) workspaceHash() uint32 { return uint32(xxh3.HashString(c.workspaceName())) }

// recordOrigin records the version of the engine that an attempt is sent to as that of
// the stream, at this entry and, unless the service has had a single version, at others.
func (g *Gate) recordOrigin(c *call, version string) {
	id := c.id
	if c.resumed.resumes() {
		id = c.resumed.origin
	}
	if !c.route.Resumable || c.route.Kind != table.Stream || id == "" || version == "" || version == c.recordedVersion {
		return
	}
	if c.recordedVersion == "" {
		c.originCall = rand.Uint32()
	}
	c.recordedVersion = version
	c.recordedAttempts++
	now := g.clk.Now()
	g.resumeLimits.Record(c.workspaceHash(), c.service, c.callerTimeout, now)
	r := origin.Record{
		Key: c.originKey(id), Workspace: c.workspaceHash(), Service: origin.ServiceHash(c.service), Call: c.originCall, Attempt: c.recordedAttempts,
		Version: version, TTL: c.resumableFor(now),
	}
	g.origins.Begin(r, c.service, now)
	g.mu.Lock()
	peers, sole := g.originPeers, g.servesOneVersion(c.service, g.resumeWindowOf(c, now), now)
	g.mu.Unlock()
	sole = sole && !g.movedLately(c, now)
	if !sole && peers != nil {
		c.sentVersion, c.originHeld, c.originKept = version, peers.Store(r), false
	}
}

// resumableFor returns how long the caller may still resume the stream.
func (c *call) resumableFor(now clock.Millis) clock.Millis {
	left := c.timeLeft(now)
	if c.callerTimeout > 0 {
		left = max(left, c.start+c.callerTimeout-now)
	}
	return max(0, left) + resumeMargin
}

// tellOrigin records the version of the engine that a request goes to. If the list is old, the
// engine may no longer be listed, and the others may take another version for the only one; the
// request is rejected unless the store confirms that the version is listed, or another entry
// holds the record.
func (g *Gate) tellOrigin(ctx context.Context, c *call, version string) *verdict.Error {
	g.recordOrigin(c, version)
	if version == "" || c.recordedVersion == "" || c.versionBasis != "" || c.originKept || g.listsVersion(c.service, version) {
		return nil
	}
	// Where engines do not renew their entries, a watch that finds no changes confirms nothing
	// for seconds.
	g.awaitListConfirmation(ctx, c, g.clk.Now())
	if g.listsVersion(c.service, version) || g.awaitOrigin(ctx, c) {
		return nil
	}
	now := g.clk.Now()
	g.mu.Lock()
	age, retryAfter := g.listFreshness.Age(now), g.retryElsewhere(now)
	g.mu.Unlock()
	return verdict.New(c.verdict(), verdict.NotReady, "this entry's list of engines is %d ms old, and no other entry holds the origin of the stream", age).WithRetryAfter(retryAfter)
}

// listsVersion reports whether a service has engines of a version by a list that is not old.
func (g *Gate) listsVersion(service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listFreshness.Within(staleListAge, g.clk.Now()) && slices.Contains(g.registry.Versions(service), version)
}

// awaitOrigin waits until another entry holds the origin of the stream, so that it can be
// resumed if this entry ends, and reports whether one does.
func (g *Gate) awaitOrigin(ctx context.Context, c *call) bool {
	held := c.originHeld
	if c.originHeld = nil; held == nil {
		return c.originKept
	}
	ctx, cancel := context.WithTimeout(ctx, originHeldTimeout.Duration())
	defer cancel()
	select {
	case c.originKept = <-held:
	case <-ctx.Done():
		g.log.Info("origin_not_held", "request", c.id, "service", c.service, "waited_ms", originHeldTimeout)
	}
	return c.originKept
}

// handOverOrigins sends all origins to other entries when the process stops, unless every
// service has a single version.
func (g *Gate) handOverOrigins() {
	g.mu.Lock()
	peers, several := g.originPeers, false
	for _, s := range g.severalVersions {
		several = several || s
	}
	g.mu.Unlock()
	if several && peers != nil {
		go g.sendOrigins(peers, g.origins.All(g.clk.Now()))
	}
}

// sendBegunOrigins sends the origins of streams that began while this entry knew no other
// one, unless their services have had a single version. The caller holds mu.
func (g *Gate) sendBegunOrigins() {
	now := g.clk.Now()
	records := g.origins.Begun(func(service string) bool { return !g.servesOneVersion(service, g.resumeWindow(service), now) }, now)
	if g.originPeers != nil && len(records) > 0 {
		go g.sendOrigins(g.originPeers, records)
	}
}

// sendOrigins sends the origins of streams to other entries.
func (g *Gate) sendOrigins(to origin.Peers, records []origin.Record) {
	for _, r := range records {
		to.Store(r)
	}
}

// SetOriginPeers implements origin.Host.
func (g *Gate) SetOriginPeers(p origin.Peers) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.originPeers = p
}

// HoldOrigins implements origin.Host.
func (g *Gate) HoldOrigins(records []origin.Record) {
	now := g.clk.Now()
	for _, r := range records {
		g.origins.Hold(r, now)
	}
}

// FindOrigin implements origin.Host.
func (g *Gate) FindOrigin(q origin.Query) origin.Finding {
	now := g.clk.Now()
	r, ambiguous := g.origins.Find(q.Workspace, q.Key, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return origin.Finding{
		Record: r, Ambiguous: ambiguous, Others: g.othersKnown(),
		Knowledge: g.versionKnowledge(q.Service, g.resumeWindow(q.Service), now),
	}
}
