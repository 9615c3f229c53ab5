package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/weldfall/weldfall/platform/standin"
)

// Parameters of a config that grows.
const (
	// slowLink is the rate of a gate's link to the store in bytes per second: 10 Mbit/s.
	slowLink        = 1_250_000
	bytesPerMegabit = 125_000
	// changeBound is the time in which a change must take effect, and changeSlack an
	// allowance for running everything on one machine.
	changeBound = 3 * time.Second
	changeSlack = 500 * time.Millisecond
	// maxIdleRoutes gives a config of a megabyte, and maxGrowth limits the routes that one
	// version adds.
	maxIdleRoutes = 12_500
	maxGrowth     = 6250
	// growEvery is the minimum time between two versions. It exceeds the transfer time of
	// one megabyte.
	growEvery = 2 * time.Second
)

// growingKinds are the steps beside the versions that grow.
var growingKinds = []Kind{Compact, Compact, SilentStoreConns, Pause, Kill, Stop, Reload, PublishConfig}

// newGrowing draws versions that grow to the maximum, changes of them, and some other
// steps, most of which affect the connection to the store.
func newGrowing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; at += growEvery + time.Duration(rng.Int64N(int64(growEvery))) {
		s := Step{Start: at, Kind: GrowConfig, Count: 1 + rng.IntN(maxGrowth)}
		if rng.IntN(3) == 0 {
			s.Count = 0
		}
		steps = append(steps, s)
	}
	for range 1 + rng.IntN(len(growingKinds)) {
		s := Step{Start: time.Duration(rng.Int64N(int64(length - quiet))), Kind: growingKinds[rng.IntN(len(growingKinds))], Index: rng.IntN(maxIndex)}
		s.Duration = shortestStep + time.Duration(rng.Int64N(int64(time.Second)))
		if s.Kind == SilentStoreConns {
			s.Variant, s.Count = string(silences[rng.IntN(len(silences))]), 1+rng.IntN(maxSilentConns)
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// growConfig publishes a version with additional routes.
func (w *deployment) growConfig(by int) {
	w.mu.Lock()
	w.idle = min(maxIdleRoutes, w.idle+by)
	w.mu.Unlock()
	w.publishConfig()
}

// addVersion records the publication of a version.
func (r *record) addVersion(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishedAt[version] = time.Now()
}

// callVersions requests the routes of the newest version and of the one before from a gate
// until the run ends.
func (w *deployment) callVersions(g int) {
	w.callWith(callerPatience, library, func(n int) request {
		w.mu.Lock()
		version := max(1, w.version-n%2)
		w.mu.Unlock()
		return request{gate: g, id: fmt.Sprintf("v%dn%d", g, n), path: standin.VersionPath(version) + "x", key: keyValid, sent: time.Now()}
	}, rand.New(rand.NewPCG(w.cfg.Seed, uint64(versionCallersFrom+g))))
}

// versionCallersFrom separates these random sequences from those of other callers.
const versionCallersFrom = 1 << 33

// version returns the version whose route was requested, or false.
func (a request) version() (int, bool) {
	rest, ok := strings.CutPrefix(a.path, "/v/")
	if !ok {
		return 0, false
	}
	v, err := strconv.Atoi(strings.TrimSuffix(rest, "/x"))
	return v, err == nil
}

// judgeVersion checks that a version takes effect in time: after changeBound its route is
// served while it exists, and is never served once it was withdrawn. A disturbed gate may
// be late.
func (r *record) judgeVersion(a request) {
	v, ok := a.version()
	if !ok || r.disturbed(a) || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) }) {
		return
	}
	late := func(version int) bool {
		at, ok := r.publishedAt[version]
		return ok && a.sent.After(at.Add(changeBound+changeSlack))
	}
	_, replaced := r.publishedAt[v+1]
	replaced = replaced && r.publishedAt[v+1].Before(a.ended)
	switch {
	case a.status == http.StatusNotFound && late(v) && !replaced:
		r.addViolation("%s %s: gate %d did not serve the route %v after it was published", a.path, a.id, a.gate, a.sent.Sub(r.publishedAt[v]))
	case a.status == http.StatusOK && late(v+1):
		r.addViolation("%s %s: gate %d served the route %v after it was withdrawn", a.path, a.id, a.gate, a.sent.Sub(r.publishedAt[v+1]))
	}
}
