// Package attempt defines the outcomes of one attempt to have an engine handle a request,
// over any kind of connection. The sender decides what follows: another attempt or the
// final response.
package attempt

import (
	"net/http"

	"github.com/weldfall/weldfall/common/framing"
)

// Outcome is the outcome of an attempt.
type Outcome interface{ outcome() }

type (
	// Answered means that the caller has all of the response that arrived. End, which is
	// Complete or Closed, says whether that is known to be the whole response.
	Answered struct{ End framing.Completeness }
	// Unsent means that no byte of the request reached the engine.
	Unsent struct{ Err error }
	// Refused means that the engine, or its daemon, said that it did not run the
	// request. It may be sent to another engine.
	Refused struct{ Err error }
	// Broken means that no complete response arrived. The request may have run unless
	// Err carries another verdict.
	Broken struct{ Err error }
	// Failed means that the engine ran the request and responded with an error, which is
	// buffered for the caller.
	Failed struct{ Response *BufferedResponse }
	// CallerGone means that the caller left or stopped reading. The request may have run
	// unless Err, which may be nil, carries another verdict.
	CallerGone struct{ Err error }
)

// BufferedResponse is a response that has ended and was not yet relayed.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// End is Complete or Closed.
	End framing.Completeness
}

func (Answered) outcome()   {}
func (Unsent) outcome()     {}
func (Refused) outcome()    {}
func (Broken) outcome()     {}
func (Failed) outcome()     {}
func (CallerGone) outcome() {}
