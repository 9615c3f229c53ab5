package gate_test

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/gate"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// resumable returns a route of resumable streams of at most a second.
func resumable(prefix string, services ...string) *table.Route {
	r := &table.Route{Name: "r", Host: "h", Prefix: prefix, Kind: table.Stream, Resumable: true, Timeout: 1000}
	for _, s := range services {
		r.Shares = append(r.Shares, table.Share{Service: s, Weight: 1})
	}
	return r
}

// confirmingList is a source of a list that does not change.
type confirmingList struct{ g *gate.Gate }

func (l confirmingList) ConfirmList(after clock.Millis) bool {
	time.AfterFunc(time.Millisecond, func() { l.g.ConfirmEngines(7, after+1) })
	return true
}

// Guards against a stream of two services, and against refusals of streams whose route did not
// move: each version of the routes follows the one before after a second.
func TestStreamOfAMovedRouteIsOfUnknownOrigin(t *testing.T) {
	plain := resumable("/a/", "llm")
	plain.Resumable = false
	for name, tc := range map[string]struct {
		versions [][]*table.Route
		// after is the time from the last version until the stream is resumed.
		after time.Duration
		want  bool
	}{
		"not moved":                        {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "llm")}}, 0, false},
		"moved":                            {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "api")}}, 0, true},
		"moved, and a version after it":    {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "api")}, {resumable("/a/", "api")}}, 0, true},
		"moved, when the window is over":   {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "api")}}, 6 * time.Second, false},
		"moved and back":                   {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "api")}, {resumable("/a/", "llm")}}, 0, true},
		"divided":                          {[][]*table.Route{{resumable("/a/", "llm")}, {resumable("/a/", "api", "llm")}}, 0, true},
		"a longer route to another":        {[][]*table.Route{{resumable("/", "llm")}, {resumable("/", "llm"), resumable("/a/", "api")}}, 0, true},
		"a longer route to the same":       {[][]*table.Route{{resumable("/", "llm")}, {resumable("/", "llm"), resumable("/a/", "llm")}}, 0, false},
		"a longer route after the move":    {[][]*table.Route{{resumable("/", "llm")}, {resumable("/", "api")}, {resumable("/", "api"), resumable("/a/", "api")}}, 0, true},
		"removed, a shorter one leads off": {[][]*table.Route{{resumable("/", "api"), resumable("/a/", "llm")}, {resumable("/", "api")}}, 0, true},
		"another route moved":              {[][]*table.Route{{resumable("/a/", "llm"), resumable("/b/", "llm")}, {resumable("/a/", "llm"), resumable("/b/", "api")}}, 0, false},
		"its streams could not be resumed": {[][]*table.Route{{plain}, {resumable("/a/", "api")}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk := clock.System()
				g := gate.New(gate.Config{
					Clock: clk, Log: slog.New(slog.DiscardHandler), Bounds: gate.Bounds{Revocation: 5000, Change: 2000, Draining: drainingBound},
					Dialect: gate.Dialect{RequestID: "X-Id", Resumes: "X-Resumes", LastEventID: "X-Last"},
				})
				g.PutEngine(engines.Info{ID: "i-1", Service: "llm", Addr: "127.0.0.1:1", Version: "v1"})
				g.PutEngine(engines.Info{ID: "j-1", Service: "api", Addr: "127.0.0.1:2", Version: "v2"})
				g.MarkListReplaced(clk.Now())
				g.ConfirmEngines(7, clk.Now())
				g.SetListSource(confirmingList{g})
				set := func(version int, routes []*table.Route) {
					g.SetTable(table.New(table.Config{Version: int64(version), Routes: routes}), table.Arrival{ConfirmedAt: clk.Now()})
				}
				set(0, tc.versions[0])
				// From here on the list proves that each service has had a single version.
				time.Sleep(time.Minute)
				for i, routes := range tc.versions[1:] {
					time.Sleep(time.Second)
					set(i+1, routes)
				}
				time.Sleep(tc.after)
				r := httptest.NewRequest("POST", "/a/x", nil)
				r.Host = "h"
				r.Header.Set("X-Id", "second")
				r.Header.Set("X-Resumes", "first")
				r.Header.Set("X-Last", "4")
				err := g.Resume(r)
				if got := err != nil && err.Reason() == verdict.UnknownOrigin; got != tc.want || (err != nil && !got) {
					t.Errorf("got the origin unknown %t (%v), want %t", got, err, tc.want)
				}
			})
		})
	}
}
