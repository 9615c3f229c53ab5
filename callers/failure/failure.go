// Package failure encodes failed requests as HTTP responses. The verdict and the reason are
// the same for every HTTP interface; each interface supplies its own status codes, headers
// and body in a Format.
package failure

import (
	"encoding/json"
	"net/http"

	"github.com/weldfall/weldfall/verdict"
)

// Failure describes a failed request.
type Failure struct {
	// RequestID is empty if the request has none.
	RequestID string
	// Filter is the name of the filter that failed.
	Filter string
	Err    *verdict.Error
	// AtMostOnce is set if the request must not run more than once.
	AtMostOnce bool
}

// StatusCodes maps failures to the HTTP status codes of an interface.
type StatusCodes struct {
	// ByReason applies whatever the verdict is. MayHaveRun applies unless the request
	// certainly did not run.
	ByReason, MayHaveRun map[verdict.Reason]int
	// NotRun and Default apply to reasons that the maps do not contain.
	NotRun, Default int
}

// For returns the status code of a failure.
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

// Format defines how an HTTP interface reports failures.
type Format struct {
	StatusCodes StatusCodes
	// Body returns the response body, which is encoded as JSON.
	Body func(f Failure) any
	// Header sets all headers but Content-Type.
	Header func(h http.Header, f Failure)
}

// Encode returns the encoded body of a failure. It is also used for failures in the middle of
// a response.
func (fm Format) Encode(f Failure) ([]byte, error) { return json.Marshal(fm.Body(f)) }

// Prepare sets the response headers of a failure and returns its status code and body. It
// writes nothing. If the body cannot be encoded, the status code is still valid and the body
// is empty.
func (fm Format) Prepare(h http.Header, f Failure) (status int, body []byte, err error) {
	h.Set("Content-Type", "application/json")
	fm.Header(h, f)
	body, err = fm.Encode(f)
	return fm.StatusCodes.For(f.Err), body, err
}
