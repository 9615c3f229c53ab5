package engines

import (
	"maps"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// hasVersion reports whether the engine has the given software version; any engine does
// if it is "".
func (e *Engine) hasVersion(version string) bool { return version == "" || e.info.Version == version }

// Versions returns the software versions of the listed engines of a service, sorted.
func (r *Registry) Versions(service string) []string {
	p := r.byService[service]
	if p == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(p.versions))
}

// HasUntried reports whether an engine of a service and version accepts requests and is
// not among the tried ones.
func (r *Registry) HasUntried(service, version string, tried []string, now clock.Millis) bool {
	p := r.byService[service]
	return p != nil && slices.ContainsFunc(p.engines, func(e *Engine) bool {
		return e.AcceptsRequests(now) && e.hasVersion(version) && !r.isEvacuated(e) && !slices.Contains(tried, e.info.ID)
	})
}

// VersionHistory holds the software versions that the engines of each service were
// listed with and no longer are. The zero value is empty.
type VersionHistory struct {
	// lastListed maps service and version to when an engine was last listed with them.
	lastListed map[string]map[string]clock.Millis
}

// maxPastVersions limits the past versions of a service.
const maxPastVersions = 64

// Record records that an engine of a service is no longer listed with a version.
func (h *VersionHistory) Record(service, version string, now clock.Millis) {
	if h.lastListed == nil {
		h.lastListed = map[string]map[string]clock.Millis{}
	}
	past := h.lastListed[service]
	if past == nil {
		past = map[string]clock.Millis{}
		h.lastListed[service] = past
	}
	past[version] = now
	if len(past) > maxPastVersions {
		oldest := version
		for v, at := range past {
			if at < past[oldest] {
				oldest = v
			}
		}
		delete(past, oldest)
	}
}

// LastOther returns when a service was last listed with a version other than the given one,
// zero if it was not. It covers only versions that are no longer listed.
func (h *VersionHistory) LastOther(service, version string) clock.Millis {
	var last clock.Millis
	for v, at := range h.lastListed[service] {
		if v != version {
			last = max(last, at)
		}
	}
	return last
}
