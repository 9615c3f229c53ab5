package gate

import (
	"context"
	"slices"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/table"
)

// staleListAge is the age of the list from which an entry begins a resumable stream only if
// another entry holds its record. For that long an entry that is out of step may begin streams at
// a version that is no longer listed, and others know nothing of them.
const staleListAge clock.Millis = 5000

// soleVersion returns the only version that the service of a call can have begun a stream at
// that its caller may still resume. Unless the store has confirmed the list since the request
// arrived, it waits for that.
func (g *Gate) soleVersion(ctx context.Context, c *call) (version string, by basis, err error) {
	version, proof := g.versionEvidence(c).SoleVersion()
	if (proof == origin.Unproven || proof == origin.ByEntries) && g.hasListed(c.service) {
		g.awaitListConfirmation(ctx, c, c.start)
		version, proof = g.versionEvidence(c).SoleVersion()
	}
	switch proof {
	case origin.ByList:
		return version, bySoleVersion, nil
	case origin.ByEntries:
		return version, byEntries, nil
	case origin.Conflict:
		return "", "", errSeveralVersions
	}
	return "", "", errVersionsUnknown
}

// versionEvidence returns what is known of the versions of a call's service.
func (g *Gate) versionEvidence(c *call) origin.Evidence {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.resumeWindowOf(c, now)
	e := origin.Evidence{
		ArrivedAt: c.start, Window: window, Lag: staleListAge, Own: g.versionKnowledge(c.service, window, now),
		AllResponded: g.allResponded(c.originSearch),
	}
	for _, f := range c.originSearch.Findings {
		e.Others = append(e.Others, f.Knowledge)
	}
	c.originListAge = g.listReadAge(now)
	return e
}

// allResponded reports whether a search had findings of every other entry, and all of them
// know equally many others. An entry that has forgotten another one cannot tell whether that
// ended, and does not count. The caller holds mu.
func (g *Gate) allResponded(s origin.Search) bool {
	missing := slices.ContainsFunc(s.Findings, func(f origin.Finding) bool { return f.Others != s.Others })
	return s.Others > 0 && len(s.Findings) == s.Others && len(g.forgottenEntries) == 0 && !missing
}

// othersKnown returns the number of other entries that are known, or -1 if others were known that
// are no longer. The caller holds mu.
func (g *Gate) othersKnown() int {
	if len(g.forgottenEntries) > 0 {
		return -1
	}
	return len(g.others)
}

// maxForgotten limits the forgotten entries that are told apart.
const maxForgotten = 4096

// recordForgotten records which entries are no longer known. The caller holds mu.
func (g *Gate) recordForgotten(others []string) {
	if slices.Equal(others, g.others) {
		return
	}
	for _, o := range g.others {
		if _, known := slices.BinarySearch(others, o); !known && len(g.forgottenEntries) < maxForgotten {
			g.forgottenEntries[o] = true
		}
	}
	for _, o := range others {
		delete(g.forgottenEntries, o)
	}
}

// hasListed reports whether engines of a service are listed.
func (g *Gate) hasListed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.registry.Versions(service)) > 0
}

// versionKnowledge returns what this entry knows of the versions of a service whose streams may
// be resumed for the given time. The caller holds mu.
func (g *Gate) versionKnowledge(service string, window, now clock.Millis) origin.Knowledge {
	listed := g.registry.Versions(service)
	if len(listed) != 1 {
		k := origin.NoKnowledge()
		k.Several = len(listed) > 1
		return k
	}
	other := g.pastVersions.LastOther(service, listed[0])
	return origin.Knowledge{
		Sole: listed[0], Several: other > 0 && now-other <= window+staleListAge,
		Since: max(g.versionsKnownSince, other), BelievedSince: max(g.versionsBelievedSince, other),
		// A call that was sent in the same millisecond may have been sent before.
		AsOf: g.list.readAt - 1,
	}
}

// servesOneVersion reports whether no stream of a service that may be resumed for the given
// time can have begun at a second version, as far as this entry knows, and the list is not
// older than other entries allow for. The caller holds mu.
func (g *Gate) servesOneVersion(service string, window, now clock.Millis) bool {
	k := g.versionKnowledge(service, window, now)
	return k.Sole != "" && !k.Several && k.BelievedSince <= now-window && g.listFreshness.Within(staleListAge, now)
}

// resumeWindowOf returns how long after its first event a caller may resume a stream of the
// service of a call: the service's time, or as long as callers of the workspace are known to
// wait, if that is longer.
func (g *Gate) resumeWindowOf(c *call, now clock.Millis) clock.Millis {
	limit := max(c.callerTimeout, g.resumeLimits.Longest(c.workspaceHash(), c.service, now))
	return max(g.resumeWindow(c.service), limit+resumeMargin)
}

// resumeWindow returns how long after its first event a stream of a service may be
// resumed by callers that wait no longer than its routes allow. A caller may begin to resume
// it when the route's timeout has ended the response.
func (g *Gate) resumeWindow(service string) clock.Millis {
	t := g.table.Load()
	if t == nil {
		return maxRequestTime
	}
	return 2*max(t.StreamTimeout(service), g.pastTimeouts.longest(service, g.clk.Now())) + resumeMargin
}

// pastTimeouts holds the timeouts of streams by earlier versions of the routes, for as long as
// streams that began by them can be resumed. The zero value is empty. It is safe for concurrent
// use.
type pastTimeouts struct {
	mu        sync.Mutex
	byService map[string]pastTimeout
}

// pastTimeout is the longest timeout of a service's streams that counts until a time.
type pastTimeout struct{ timeout, until clock.Millis }

// record records the timeouts of a version that is replaced. Entries that are late by lag begin
// streams by it.
func (p *pastTimeouts) record(old *table.Table, lag, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeouts := map[string]pastTimeout{}
	for service, past := range p.byService {
		if past.until > now {
			timeouts[service] = past
		}
	}
	for service, t := range old.StreamTimeouts() {
		if t >= timeouts[service].timeout {
			timeouts[service] = pastTimeout{t, now + lag + 2*t + resumeMargin}
		}
	}
	p.byService = timeouts
}

// longest returns the longest timeout of a service that counts, zero if there is none.
func (p *pastTimeouts) longest(service string, now clock.Millis) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if past := p.byService[service]; past.until > now {
		return past.timeout
	}
	return 0
}

// recordVersions handles a change of the versions that a service lists. gone is the former
// version of an engine, "" if it had none. When a service gets a second version, the
// origins of its streams are sent to other entries. The caller holds mu.
func (g *Gate) recordVersions(service, gone string) {
	now := g.clk.Now()
	listed := g.registry.Versions(service)
	if gone != "" && !slices.Contains(listed, gone) {
		g.pastVersions.Record(service, gone, now)
	}
	several := len(listed) > 1
	if several == g.severalVersions[service] {
		return
	}
	g.severalVersions[service] = several
	g.log.Info("engine_versions", "service", service, "versions", listed)
	if several && g.originPeers != nil {
		go g.sendOrigins(g.originPeers, g.origins.Begun(func(s string) bool { return s == service }, now))
	}
}
