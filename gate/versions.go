package gate

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// maxSoleListAge is the maximum age of the list at which this entry alone decides that a
// service has one version.
const maxSoleListAge clock.Millis = 5000

// soleVersion returns the only version that the service of a call can have begun a stream at
// that its caller may still resume.
func (g *Gate) soleVersion(c *call) (string, error) {
	now := g.clk.Now()
	findings, known := c.originSearch.Findings, c.originSearch.Others > 0 || c.originSearch.Skipped
	g.mu.Lock()
	defer g.mu.Unlock()
	c.originListAge = g.listReadAge(now)
	usual, window := g.resumeWindow(c.service), g.resumeWindowOf(c, now)
	own := g.versions(c.service, window, now)
	sole := own.sole
	for _, f := range findings {
		if f.Several || (sole != "" && f.Sole != "" && f.Sole != sole) {
			return "", errSeveralVersions
		}
		covers := f.SoleFor >= window || (f.SoleFor == 0 && window <= usual)
		if sole == "" && covers {
			sole = f.Sole
		}
	}
	switch {
	case own.several || (len(own.listed) > 0 && sole != "" && !slices.Equal(own.listed, []string{sole})):
		return "", errSeveralVersions
	case sole == "", known && len(findings) == 0 && !g.listFreshness.Within(maxSoleListAge, now):
		return "", errVersionsUnknown
	}
	return sole, nil
}

// serviceVersions is what this entry knows of the versions of a service.
type serviceVersions struct {
	// listed are the versions of its engines, sorted.
	listed []string
	// several is true if streams that may still be resumed can have begun at several
	// versions.
	several bool
	// sole is the only version at which such streams can have begun, "" if there are
	// several or if the entry has not known the list for long enough.
	sole string
	// soleFor is for how long sole has been the only one.
	soleFor clock.Millis
}

// versions returns what this entry knows of the versions of a service whose streams may be
// resumed for the given time. The caller holds mu.
func (g *Gate) versions(service string, window, now clock.Millis) serviceVersions {
	v := serviceVersions{listed: g.registry.Versions(service)}
	if len(v.listed) != 1 {
		v.several = len(v.listed) > 1
		return v
	}
	other := g.pastVersions.LastOther(service, v.listed[0])
	v.several = other > 0 && now-other <= window
	if soleFor := now - max(g.versionsKnownSince, other); !v.several && soleFor >= window {
		v.sole, v.soleFor = v.listed[0], soleFor
	}
	return v
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
