package entry_test

import (
	"net/http"
	"testing"

	"github.com/weldfall/weldfall/entry"
	"github.com/weldfall/weldfall/internal/failuretest"
	"github.com/weldfall/weldfall/verdict"
)

// Checks that the responses to failures do not change, since callers rely on their status codes,
// headers and bodies.
func TestFailureResponses(t *testing.T) {
	for file, atMostOnce := range map[string]bool{"testdata/failures.txt": false, "testdata/failures-once.txt": true} {
		failuretest.Check(t, file, func(err *verdict.Error) *http.Response { return entry.Failure(err, atMostOnce) })
	}
}
