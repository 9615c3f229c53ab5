package entry

import (
	"net/http"
	"net/http/httptest"

	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// Failure returns what a caller gets for a failure; once is true for a request that
// may run once only.
func Failure(err *verdict.Error, once bool) *http.Response {
	w := httptest.NewRecorder()
	c := &call{w: w, r: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), id: "id-1"}
	if once {
		c.once = &wire.Once{}
	}
	(&Entry{}).respond(c, "send", err)
	return w.Result()
}

// Limiters hold the rates of workspaces.
type Limiters struct{ l *limiters }

// NewLimiters returns limiters that know of no workspace.
func NewLimiters() Limiters { return Limiters{newLimiters()} }

// Take reports whether a workspace may have so many tokens by its limits.
func (l Limiters) Take(workspace string, perSecond float64, burst, tokens int) bool {
	_, ok := l.l.take(workspace, perSecond, burst, tokens)
	return ok
}
