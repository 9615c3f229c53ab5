package gate

import (
	"net/http"
	"net/http/httptest"

	"github.com/weldfall/weldfall/verdict"
)

// ShareOf returns this entry's part of a quota of the whole fleet.
func (g *Gate) ShareOf(whole int, key string) int { return g.shares.Part(whole, key) }

// ParseLoad parses the load that an engine reports.
var ParseLoad = parseLoad

// Failure returns the response to a caller for a failure.
func (g *Gate) Failure(err *verdict.Error) *http.Response {
	w := httptest.NewRecorder()
	c := g.newCall(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	c.id = "id-1"
	g.respond(c, err)
	return w.Result()
}
