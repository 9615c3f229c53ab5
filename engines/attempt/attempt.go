// Package attempt says what one attempt to have an engine answer a request came to,
// whatever the connection to the engine is. What follows from it, another attempt or
// the final answer, is for those who send.
package attempt

import "net/http"

// Outcome is what an attempt came to.
type Outcome interface{ outcome() }

type (
	// Answered means that the caller has the whole answer.
	Answered struct{}
	// Unsent means that nothing of the request reached the engine.
	Unsent struct{ Err error }
	// Refused means that the engine, or who speaks for it, said that it did not run
	// the request, and another engine may be asked.
	Refused struct{ Err error }
	// Broken means that no whole answer came. The request may have run unless Err
	// carries another verdict.
	Broken struct{ Err error }
	// Failed means that the engine ran the request and answered with a failure of
	// its own, which is held for the caller.
	Failed struct{ Answer *Held }
	// CallerGone means that the caller left or does not read. The request may have
	// run unless Err, which may be nil, carries another verdict.
	CallerGone struct{ Err error }
)

// Held is a whole answer that is not yet passed on.
type Held struct {
	Status int
	Header http.Header
	Body   []byte
}

func (Answered) outcome()   {}
func (Unsent) outcome()     {}
func (Refused) outcome()    {}
func (Broken) outcome()     {}
func (Failed) outcome()     {}
func (CallerGone) outcome() {}
