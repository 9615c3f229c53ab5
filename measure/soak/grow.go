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
	mostIdle   = 12_500
	mostGrowth = 6250
	// growEvery is the time between two versions at least, longer than one of a
	// megabyte is on its way.
	growEvery = 2 * time.Second
)

// growingKinds is what goes on besides versions that grow.
var growingKinds = []Kind{Compact, Compact, SilentStore, Pause, Kill, Stop, Reload, Publish}

// newGrowing draws versions that grow until there is no room, changes of them, and
// some troubles, most of them of the way to the store.
func newGrowing(rng *rand.Rand, length time.Duration) []Step {
	var steps []Step
	for at := time.Second; at < length-quiet; at += growEvery + time.Duration(rng.Int64N(int64(growEvery))) {
		s := Step{At: at, Kind: Grow, Many: 1 + rng.IntN(mostGrowth)}
		if rng.IntN(3) == 0 {
			s.Many = 0
		}
		steps = append(steps, s)
	}
	for range 1 + rng.IntN(len(growingKinds)) {
		s := Step{At: time.Duration(rng.Int64N(int64(length - quiet))), Kind: growingKinds[rng.IntN(len(growingKinds))], Who: rng.IntN(whoMost)}
		s.For = shortestStep + time.Duration(rng.Int64N(int64(time.Second)))
		if s.Kind == SilentStore {
			s.How, s.Many = string(silences[rng.IntN(len(silences))]), 1+rng.IntN(mostSilent)
		}
		steps = append(steps, s)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// grow publishes a version with so many routes more.
func (w *world) grow(by int) {
	w.mu.Lock()
	w.idle = min(mostIdle, w.idle+by)
	w.mu.Unlock()
	w.publish()
}

// publish records that a version has been published.
func (r *record) publish(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.published[version] = time.Now()
}

// callVersions asks a gate for the routes of the newest version and the one before
// until the run is over.
func (w *world) callVersions(g int) {
	w.callWith(callerPatience, library, func(n int) asked {
		w.mu.Lock()
		version := max(1, w.version-n%2)
		w.mu.Unlock()
		return asked{gate: g, id: fmt.Sprintf("v%dn%d", g, n), path: standin.VersionPath(version) + "x", key: keyKept, sent: time.Now()}
	}, rand.New(rand.NewPCG(w.cfg.Seed, uint64(versionCallersFrom+g))))
}

// versionCallersFrom keeps the draws of these callers from those of the others.
const versionCallersFrom = 1 << 33

// version returns the version whose route a request asked for, or false.
func (a asked) version() (int, bool) {
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
func (r *record) judgeVersion(a asked) {
	v, ok := a.version()
	if !ok || r.troubled(a) || slices.ContainsFunc(r.stops, func(s stopped) bool { return s.reaches(a) }) {
		return
	}
	late := func(version int) bool {
		at, ok := r.published[version]
		return ok && a.sent.After(at.Add(changeBound+changeSlack))
	}
	_, replaced := r.published[v+1]
	replaced = replaced && r.published[v+1].Before(a.ended)
	switch {
	case a.status == http.StatusNotFound && late(v) && !replaced:
		r.breaks("%s %s: gate %d did not know the route %v after it was published", a.path, a.id, a.gate, a.sent.Sub(r.published[v]))
	case a.status == http.StatusOK && late(v+1):
		r.breaks("%s %s: gate %d served the route %v after it was taken away", a.path, a.id, a.gate, a.sent.Sub(r.published[v+1]))
	}
}
