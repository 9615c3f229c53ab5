// Package failure says how a request that failed is told to its caller. What is told
// is the same everywhere, the verdict and the reason; each interface of callers has
// its own statuses, headers and body, which it gives as values.
package failure

import (
	"encoding/json"
	"net/http"

	"github.com/weldfall/weldfall/verdict"
)

// Failure is a request that failed.
type Failure struct {
	// RequestID is its id, "" if it has none.
	RequestID string
	// Filter is the filter that failed.
	Filter string
	Err    *verdict.Error
	// AtMostOnce is true if it may run once only.
	AtMostOnce bool
}

// StatusCodes are those that an interface gives to failures.
type StatusCodes struct {
	// ByReason has the reasons that have one whatever the verdict, MayHaveRun those
	// that have one unless the request has not run.
	ByReason, MayHaveRun map[verdict.Reason]int
	// NotRun and Default are those of the rest.
	NotRun, Default int
}

// For returns the status of a failure.
func (s StatusCodes) For(err *verdict.Error) int {
	if status, ok := s.ByReason[err.Reason()]; ok {
		return status
	}
	if err.Verdict() == verdict.NotRun {
		return s.NotRun
	}
	if status, ok := s.MayHaveRun[err.Reason()]; ok {
		return status
	}
	return s.Default
}

// Format is how an interface of callers tells failures.
type Format struct {
	StatusCodes StatusCodes
	// Body returns what the body tells, which is encoded as JSON.
	Body func(f Failure) any
	// Header sets the headers besides that of the body's type.
	Header func(h http.Header, f Failure)
}

// Encode returns the body of a failure, also for an answer that has begun.
func (s Format) Encode(f Failure) ([]byte, error) { return json.Marshal(s.Body(f)) }

// Prepare sets the headers of a failure and returns its status and body. Nothing is
// written yet. With an error the status holds all the same, and the body is empty.
func (s Format) Prepare(h http.Header, f Failure) (status int, body []byte, err error) {
	h.Set("Content-Type", "application/json")
	s.Header(h, f)
	body, err = s.Encode(f)
	return s.StatusCodes.For(f.Err), body, err
}
