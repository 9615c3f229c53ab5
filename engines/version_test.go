package engines_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// versionedInfo returns the entry of an engine with a software version.
func versionedInfo(i int, version string) engines.Info {
	in := info(i)
	in.Version = version
	return in
}

// newVersionedRegistry returns a synced registry of engines with the given versions.
func newVersionedRegistry(now clock.Millis, versions ...string) *engines.Registry {
	r := engines.NewRegistry()
	for i, v := range versions {
		r.Put(versionedInfo(i, v), 0)
	}
	r.MarkSynced(now)
	recordActivity(r, now)
	return r
}

// A request that needs a version goes to an engine of that version in every way in which
// an engine is chosen, or to none.
func TestChoiceKeepsToTheVersion(t *testing.T) {
	const now = 100_000
	versions := []string{"v1", "v2"}
	rapid.Check(t, func(t *rapid.T) {
		listed := rapid.SliceOfN(rapid.SampledFrom(versions), 1, 8).Draw(t, "listed")
		r := newVersionedRegistry(now, listed...)
		var tried []string
		candidates := 0
		want := rapid.SampledFrom(versions).Draw(t, "want")
		for i, id := range r.IDs() {
			e := r.Get(id)
			usable := listed[i] == want
			switch rapid.SampledFrom([]string{"sound", "unreachable", "tried", "draining", "reserved", "missing", "busy"}).Draw(t, "state") {
			case "unreachable":
				e.BeginRequest(now)
				e.EndRequest(engines.Unreachable, now)
			case "tried":
				tried = append(tried, id)
				usable = false
			case "draining":
				in := e.Info()
				in.Draining = true
				r.Put(in, now)
				usable = false
			case "reserved":
				e.Reserve(now + 1000)
			case "missing":
				r.MarkMissing(id)
			case "busy":
				for range 6 {
					e.BeginRequest(now)
				}
			}
			if usable {
				candidates++
			}
		}
		q := query()
		if rapid.Bool().Draw(t, "has a prompt") {
			q = query(rapid.Uint64().Draw(t, "prompt"))
		}
		q.Version, q.Tried, q.Isolated = want, tried, rapid.Bool().Draw(t, "isolated")
		c, ok := r.Choose(q, now)
		if ok && c.Engine.Info().Version != want {
			t.Fatalf("got engine %s of version %s, want version %s", c.Engine.Info().ID, c.Engine.Info().Version, want)
		}
		if ok && candidates == 0 {
			t.Fatalf("got engine %s, want none", c.Engine.Info().ID)
		}
		if !ok && candidates > 0 && !q.Isolated {
			t.Fatalf("got no engine of %d candidates", candidates)
		}
		if got, want := r.HasUntried(service, want, tried, 0), candidates > 0; got != want {
			t.Fatalf("got an untried engine of the version: %t, want %t", got, want)
		}
	})
}

// The last engine of a version must not get more streams than it has slots.
func TestRequestThatNeedsAVersionIsNotSentToAFullEngine(t *testing.T) {
	const now = 100_000
	r := newVersionedRegistry(now, "v1", "v2", "v2")
	e := r.Get(info(0).ID)
	for range e.Info().Slots {
		e.BeginRequest(now)
	}
	q := query(7)
	q.Version = "v1"
	if c, ok := r.Choose(q, now); ok {
		t.Errorf("got engine %s, which has no free slot, want none", c.Engine.Info().ID)
	}
	if !r.HasUntried(service, "v1", nil, 0) {
		t.Error("got no engine of the version, want the full one")
	}
}

// A process does not change its software version. An entry with another one is of a new
// incarnation, whatever its start time.
func TestEntryWithAnotherVersionIsOfANewIncarnation(t *testing.T) {
	const now = 100_000
	for name, startedAt := range map[string]int64{"without start times": 0, "with the same start time": 1000} {
		t.Run(name, func(t *testing.T) {
			r := engines.NewRegistry()
			in := startedInfo(0, startedAt)
			in.Version = "v1"
			r.Put(in, now)
			before := in.Incarnation()
			r.Get(in.ID).BeginRequest(now)
			in.Version = "v2"
			if got := r.Put(in, now+1); got != engines.Restarted {
				t.Errorf("got change %q, want %q", got, engines.Restarted)
			}
			if r.Find(before) != nil {
				t.Error("got the former incarnation, want none")
			}
			in.Version = ""
			if got := r.Put(in, now+2); got != engines.Same {
				t.Errorf("got change %q for an entry without a version, want %q", got, engines.Same)
			}
			if got := r.Get(in.ID).Info().Version; got != "v2" {
				t.Errorf("got version %q, want v2", got)
			}
			in.StartedAt = 2000
			if got := r.Put(in, now+3); got != engines.Restarted {
				t.Errorf("got change %q for a later start, want %q", got, engines.Restarted)
			}
			if got := r.Get(in.ID).Info().Version; got != "" {
				t.Errorf("got version %q for a later start of which none is known, want none", got)
			}
		})
	}
}

// The registry counts the versions of a service over every change of its list.
func TestVersionsAreThoseOfTheListedEngines(t *testing.T) {
	const now = 100_000
	r := newVersionedRegistry(now, "v1", "v1", "v2")
	moved := versionedInfo(2, "v2")
	moved.Service = "other"
	for _, step := range []struct {
		name   string
		change func()
		want   []string
	}{
		{"listed", func() {}, []string{"v1", "v2"}},
		{"moved to another service", func() { r.Put(moved, now) }, []string{"v1"}},
		{"one upgraded", func() { r.Put(versionedInfo(0, "v3"), now) }, []string{"v1", "v3"}},
		{"one removed", func() { r.Remove(info(1).ID) }, []string{"v3"}},
		{"one forgotten", func() { r.Forget(info(0).ID) }, []string{}},
	} {
		step.change()
		if got := r.Versions(service); !slices.Equal(got, step.want) {
			t.Errorf("%s: got versions %q, want %q", step.name, got, step.want)
		}
	}
	if got := r.Versions("unknown"); len(got) != 0 {
		t.Errorf("got versions %q of an unknown service, want none", got)
	}
}

func TestVersionHistory(t *testing.T) {
	var h engines.VersionHistory
	if got := h.LastOther(service, "v1"); got != 0 {
		t.Errorf("got another version at %d from an empty history, want none", got)
	}
	h.Record(service, "v2", 1000)
	for _, tc := range []struct {
		name, service, version string
		want                   clock.Millis
	}{
		{"another version", service, "v1", 1000},
		{"the version itself", service, "v2", 0},
		{"another service", "other", "v1", 0},
	} {
		if got := h.LastOther(tc.service, tc.version); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
	const last = 2999
	for at := clock.Millis(2000); at <= last; at++ {
		h.Record(service, fmt.Sprintf("v%d", at), at)
	}
	if got := h.LastOther(service, "v1"); got != last {
		t.Errorf("got another version at %d after many, want the latest at %d", got, last)
	}
}
