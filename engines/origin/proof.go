package origin

import (
	"cmp"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

// Knowledge is what one entry knows of the software versions of a service.
type Knowledge struct {
	// Sole is the only version of the listed engines, "" if there are none or several.
	Sole string
	// Several is true if streams that may still be resumed can have begun at several
	// versions.
	Several bool
	// From Since to AsOf, no engine was listed with another version than Sole. The entry has
	// missed no change of the list in between, by the store's own responses. AsOf is before
	// Since if it knows nothing.
	Since, AsOf clock.Millis
	// BelievedSince is since when the entry itself has begun streams at Sole alone. It may
	// have missed changes.
	BelievedSince clock.Millis
}

// NoKnowledge returns the Knowledge of an entry that covers no time.
func NoKnowledge() Knowledge {
	return Knowledge{Since: math.MaxInt64, AsOf: math.MinInt64, BelievedSince: math.MaxInt64}
}

// Evidence is what an entry knows of the versions of a service when a stream of unknown
// origin is resumed there. All times are by its clock; those of other entries are rounded so
// that their knowledge covers less.
type Evidence struct {
	// ArrivedAt is when the request arrived. The stream began before.
	ArrivedAt clock.Millis
	// Window is for how long before that the stream can have begun.
	Window clock.Millis
	// Lag is for how long an entry that is out of step may begin streams at a version that is
	// no longer listed.
	Lag clock.Millis
	Own Knowledge
	// Others are the other entries that responded after the request had arrived.
	Others []Knowledge
	// AllResponded is true if these are all entries that can have begun the stream.
	AllResponded bool
}

// Proof is what shows that the streams of a service which may still be resumed began at one
// version.
type Proof string

const (
	// ByList means that the list of engines had no other version for as long as the stream
	// can have begun, until after the request arrived.
	ByList Proof = "list"
	// ByEntries means that no entry has begun a stream at another version.
	ByEntries Proof = "entries"
	// Conflict means that there are or were several versions.
	Conflict Proof = "several_versions"
	// Unproven means that an entry that knows of another version may be out of reach.
	Unproven Proof = "unproven"
)

// SoleVersion returns the only version at which the stream can have begun and what proves
// it. The version is "" if nothing does.
func (e Evidence) SoleVersion() (version string, proof Proof) {
	sole := e.Own.Sole
	if e.Own.Several {
		return "", Conflict
	}
	for _, k := range e.Others {
		if k.Several || (sole != "" && k.Sole != "" && k.Sole != sole) {
			return "", Conflict
		}
		sole = cmp.Or(sole, k.Sole)
	}
	switch {
	case sole == "":
		return "", Unproven
	case e.listCovers(sole):
		return sole, ByList
	case e.entriesAgree(sole):
		return sole, ByEntries
	}
	return "", Unproven
}

// listCovers reports whether the entries together know the list for the whole time in which
// the stream can have begun, and from when on the version it began at may have been listed.
func (e Evidence) listCovers(sole string) bool {
	all := append([]Knowledge{e.Own}, e.Others...)
	slices.SortFunc(all, func(a, b Knowledge) int { return cmp.Compare(a.Since, b.Since) })
	known := e.ArrivedAt - e.Window - e.Lag
	for _, k := range all {
		if k.Sole == sole && k.Since <= known {
			known = max(known, k.AsOf)
		}
	}
	return known >= e.ArrivedAt
}

// entriesAgree reports whether every entry that can have begun the stream has begun streams at
// one version alone since.
func (e Evidence) entriesAgree(sole string) bool {
	if !e.AllResponded {
		return false
	}
	return !slices.ContainsFunc(append([]Knowledge{e.Own}, e.Others...), func(k Knowledge) bool {
		return k.Sole != sole || k.BelievedSince > e.ArrivedAt-e.Window
	})
}
