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

// Figures of settings that grow.
const (
	// slowLink is what the link of a gate to the store carries, in bytes a second:
	// 10 Mbit/s.
	slowLink        = 1_250_000
	bytesPerMegabit = 125_000
	// changeBound is how long a change may take to be in force, and changeSlack what
	// one machine that runs everything adds.
	changeBound = 3 * time.Second
	changeSlack = 500 * time.Millisecond
	// mostIdle makes settings of a megabyte, and mostGrowth is what one version adds
	// at most.
	maxIdleRoutes = 12_500
	maxGrowth     = 6250
	// growEvery is the time between two versions at least, longer than one of a
	// megabyte is on its way.
	growEvery = 2 * time.Second
)

// growingKinds is what goes on besides versions that grow.
var growingKinds = []Kind{Compact, Compact, SilentStoreConns, Pause, Kill, Stop, Reload, PublishConfig}

// newGrowing draws versions that grow until there is no room, changes of them, and
// some troubles, most of them of the way to the store.
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

// grow publishes a version with so many routes more.
func (w *deployment) grow(by int) {
	w.mu.Lock()
	w.idle = min(maxIdleRoutes, w.idle+by)
	w.mu.Unlock()
	w.publish()
}

// publish records that a version has been published.
func (r *record) publish(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishedAt[version] = time.Now()
}

// callVersions asks a gate for the routes of the newest version and the one before
// until the run is over.
func (w *deployment) callVersions(g int) {
	w.callWith(callerPatience, library, func(n int) request {
		w.mu.Lock()
		version := max(1, w.version-n%2)
		w.mu.Unlock()
		return request{gate: g, id: fmt.Sprintf("v%dn%d", g, n), path: standin.VersionPath(version) + "x", key: keyKept, sent: time.Now()}
	}, rand.New(rand.NewPCG(w.cfg.Seed, uint64(versionCallersFrom+g))))
}

// versionCallersFrom keeps the draws of these callers from those of the others.
const versionCallersFrom = 1 << 33

// version returns the version whose route a request asked for, or false.
func (a request) version() (int, bool) {
	rest, ok := strings.CutPrefix(a.path, "/v/")
	if !ok {
		return 0, false
	}
	v, err := strconv.Atoi(strings.TrimSuffix(rest, "/x"))
	return v, err == nil
}

// judgeVersion holds a request for a version's own route against the bound for
// changes: past it the route is served while it is there, and never again once it was
// taken away. A gate that was in trouble may be late.
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
		r.addViolation("%s %s: gate %d did not know the route %v after it was published", a.path, a.id, a.gate, a.sent.Sub(r.publishedAt[v]))
	case a.status == http.StatusOK && late(v+1):
		r.addViolation("%s %s: gate %d served the route %v after it was taken away", a.path, a.id, a.gate, a.sent.Sub(r.publishedAt[v+1]))
	}
}
