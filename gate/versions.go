package gate

import (
	"context"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
)

// soleVersion returns the only version that the service of a call can have begun a stream at
// that its caller may still resume. Unless the store has confirmed the list since the request
// arrived, it waits for that.
func (g *Gate) soleVersion(ctx context.Context, c *call) (version string, by basis, err error) {
	version, proof := g.versionEvidence(c, false).SoleVersion()
	if proof == origin.Unproven && g.hasListed(c.service) {
		confirmed := g.awaitListConfirmation(ctx, c)
		version, proof = g.versionEvidence(c, !confirmed).SoleVersion()
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

// versionEvidence returns what is known of the versions of a call's service. unconfirmed is
// true if the store did not confirm the list after the request arrived.
func (g *Gate) versionEvidence(c *call, unconfirmed bool) origin.Evidence {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.resumeWindowOf(c, now)
	e := origin.Evidence{
		ArrivedAt: c.start, Window: window, Lag: g.staleEntryLag(), Own: g.versionKnowledge(c.service, window, now),
		AllResponded: g.allResponded(c.originSearch), Unconfirmed: unconfirmed,
	}
	for _, f := range c.originSearch.Findings {
		e.Others = append(e.Others, f.Knowledge)
	}
	c.originListAge = g.listReadAge(now)
	return e
}

// allResponded reports whether a search had findings of every other entry, and all of them
// know equally many others. An entry that lost sight of others cannot tell whether they ended.
// The caller holds mu.
func (g *Gate) allResponded(s origin.Search) bool {
	missing := slices.ContainsFunc(s.Findings, func(f origin.Finding) bool { return f.Others != s.Others })
	return s.Others > 0 && len(s.Findings) == s.Others && s.Others+1 >= g.maxEntries && !missing
}

// staleEntryLag returns for how long an entry that is out of step may go on beginning streams
// at a version that is no longer listed: until it refuses keys.
func (g *Gate) staleEntryLag() clock.Millis { return g.bounds().Revocation }

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
		return origin.Knowledge{Several: len(listed) > 1, Since: math.MaxInt64, AsOf: math.MinInt64, BelievedSince: math.MaxInt64}
	}
	other := g.pastVersions.LastOther(service, listed[0])
	return origin.Knowledge{
		Sole: listed[0], Several: other > 0 && now-other <= window+g.staleEntryLag(),
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
	return k.Sole != "" && !k.Several && k.BelievedSince <= now-window && g.listFreshness.Within(g.staleEntryLag(), now)
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
	return 2*t.StreamTimeout(service) + resumeMargin
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
