// Package attempt says what one attempt to have an engine answer a request came to,
// whatever the connection to the engine is. What follows from it, another attempt or
// the final answer, is for those who send.
package attempt

import (
	"net/http"

	"github.com/weldfall/weldfall/common/framing"
)

// Outcome is what an attempt came to.
type Outcome interface{ outcome() }

type (
	// Answered means that the caller has all that came of the answer. End, which is
	// Complete or Closed, says whether that is known to be the whole.
	Answered struct{ End framing.End }
	// NotSent means that nothing of the request reached the engine.
	NotSent struct{ Err error }
	// Refused means that the engine, or who speaks for it, said that it did not run
	// the request, and another engine may be asked.
	Refused struct{ Err error }
	// Broken means that no whole answer came. The request may have run unless Err
	// carries another verdict.
	Broken struct{ Err error }
	// Failed means that the engine ran the request and answered with a failure of
	// its own, which is held for the caller.
	Failed struct{ Response *BufferedResponse }
	// CallerGone means that the caller left or does not read. The request may have
	// run unless Err, which may be nil, carries another verdict.
	CallerGone struct{ Err error }
)

// BufferedResponse is an answer that has come to its end and is not yet passed on.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// End is Complete or Closed.
	End framing.End
}

func (Answered) outcome()   {}
func (NotSent) outcome()    {}
func (Refused) outcome()    {}
func (Broken) outcome()     {}
func (Failed) outcome()     {}
func (CallerGone) outcome() {}
