package entry_test

import (
	"net/http"
	"testing"

	"github.com/weldfall/weldfall/entry"
	"github.com/weldfall/weldfall/internal/failuretest"
	"github.com/weldfall/weldfall/verdict"
)

// What a caller gets for a failure is a promise: statuses, headers and body.
func TestEachFailureIsToldAsBefore(t *testing.T) {
	for file, once := range map[string]bool{"testdata/failures.txt": false, "testdata/failures-once.txt": true} {
		failuretest.Check(t, file, func(err *verdict.Error) *http.Response { return entry.Failure(err, once) })
	}
}
