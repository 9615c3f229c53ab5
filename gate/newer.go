package gate

import (
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// maxNewerVersions bounds the versions in newerVersions. More than that are not published within
// the bound for changes.
const maxNewerVersions = 64

// newerVersions are versions of the table that peers reported and that were not in force then.
type newerVersions struct {
	// reports is sorted by version. It may have versions that are no longer newer.
	reports []versionReport
}

// versionReport says that a version was first reported at a time.
type versionReport struct {
	version int64
	at      clock.Millis
}

// add records the report of a version by a peer while the version inForce is in force.
func (n *newerVersions) add(version, inForce int64, at clock.Millis) {
	n.reports = slices.DeleteFunc(n.reports, func(r versionReport) bool { return r.version <= inForce })
	last := len(n.reports) - 1
	if version <= inForce || (last >= 0 && version <= n.reports[last].version) {
		return
	}
	if len(n.reports) == maxNewerVersions {
		n.reports[last].version = version
		return
	}
	n.reports = append(n.reports, versionReport{version, at})
}

// since returns when the first version after the one in force was reported, or false if none
// was. Later versions do not change it: what the version in force lacks was published by then.
func (n *newerVersions) since(inForce int64) (clock.Millis, bool) {
	for _, r := range n.reports {
		if r.version > inForce {
			return r.at, true
		}
	}
	return 0, false
}

// refute drops the reports from before a time at which the version in force was the newest.
func (n *newerVersions) refute(at clock.Millis) {
	n.reports = slices.DeleteFunc(n.reports, func(r versionReport) bool { return r.at < at })
}
