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
