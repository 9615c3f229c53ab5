package origin_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
)

// A stream of unknown origin has a sole version only if the list of engines had no other one
// from when the stream can have begun until after the request, or if no entry can have begun it
// at another one.
func TestSoleVersionNeedsAProof(t *testing.T) {
	const arrived, window, lag clock.Millis = 100_000, 9000, 5000
	const from = arrived - window - lag
	known := func(since, asOf clock.Millis) origin.Knowledge {
		return origin.Knowledge{Sole: "v1", Since: since, AsOf: asOf, BelievedSince: arrived}
	}
	believed := func(since clock.Millis) origin.Knowledge {
		return origin.Knowledge{Sole: "v1", Since: arrived, BelievedSince: since}
	}
	several, other, none := origin.Knowledge{Several: true}, known(0, arrived), origin.Knowledge{}
	other.Sole = "v2"
	type others = []origin.Knowledge
	cases := []struct {
		name   string
		own    origin.Knowledge
		others others
		all    bool
		want   origin.Proof
	}{
		{"the own list covers the time", known(from, arrived), nil, false, origin.ByList},
		{"an old list", known(from, arrived-1), nil, false, origin.Unproven},
		{"an old list, others know nothing", known(from, arrived-1), others{none, none}, false, origin.Unproven},
		{"an old list, others have older ones", known(from, arrived-1), others{known(from, arrived-2), known(0, arrived-500)}, true, origin.Unproven},
		{"a young entry", known(from+1, arrived), nil, false, origin.Unproven},
		{"a young entry, another one knew before", known(arrived-1000, arrived), others{known(from, arrived-900)}, false, origin.ByList},
		{"a young entry, a gap", known(arrived-1000, arrived), others{known(from, arrived-1001)}, false, origin.Unproven},
		{"three that follow each other", known(arrived-1000, arrived), others{known(arrived-5000, arrived-1000), known(from, arrived-5000)}, false, origin.ByList},
		{"another one has a current list", known(from, arrived-3000), others{known(from, arrived)}, false, origin.ByList},
		{"the entry has no engine, another one does", none, others{known(from, arrived)}, false, origin.ByList},
		{"several here", origin.Knowledge{Sole: "v1", Several: true, Since: from, AsOf: arrived}, nil, false, origin.Conflict},
		{"several at another one", known(from, arrived), others{several}, true, origin.Conflict},
		{"another version at another one", known(from, arrived), others{other}, true, origin.Conflict},
		{"two others disagree", none, others{known(from, arrived), other}, true, origin.Conflict},
		{"nothing known", none, nil, true, origin.Unproven},
		{"all entries respond", believed(arrived - window), others{believed(0), believed(arrived - window)}, true, origin.ByEntries},
		{"one does not respond", believed(arrived - window), others{believed(0)}, false, origin.Unproven},
		{"one has started lately", believed(arrived - window), others{believed(arrived - window + 1)}, true, origin.Unproven},
		{"this one has started lately", believed(arrived - window + 1), others{believed(0)}, true, origin.Unproven},
		{"one knows nothing", believed(0), others{none}, true, origin.Unproven},
	}
	for _, tc := range cases {
		e := origin.Evidence{ArrivedAt: arrived, Window: window, Lag: lag, Own: tc.own, Others: tc.others, AllResponded: tc.all}
		version, got := e.SoleVersion()
		if got != tc.want {
			t.Errorf("%s: got the proof %s, want %s", tc.name, got, tc.want)
		}
		want := ""
		if tc.want == origin.ByList || tc.want == origin.ByEntries {
			want = "v1"
		}
		if version != want {
			t.Errorf("%s: got the version %q, want %q", tc.name, version, want)
		}
	}
}
