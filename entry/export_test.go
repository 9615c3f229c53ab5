package entry

import (
	"net/http"
	"net/http/httptest"

	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// Failure returns the response to a request that failed with err. atMostOnce is set for a request
// that must not run more than once.
func Failure(err *verdict.Error, atMostOnce bool) *http.Response {
	w := httptest.NewRecorder()
	c := &call{w: w, r: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil), id: "id-1"}
	if atMostOnce {
		c.once = &wire.Once{}
	}
	(&Entry{}).respond(c, "send", err)
	return w.Result()
}

// Limiters exports limiters.
type Limiters struct{ l *limiters }

// NewLimiters returns limiters without workspaces.
func NewLimiters() Limiters { return Limiters{newLimiters()} }

// Allow reports whether the rate limit of a workspace allows the given number of tokens.
func (l Limiters) Allow(workspace string, perSecond float64, burst, tokens int) bool {
	_, ok := l.l.allow(workspace, perSecond, burst, tokens)
	return ok
}
