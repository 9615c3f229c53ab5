// Package filter runs a request through a list of filters. Each HTTP interface has its own
// list; the rule for the order and for ending early is the same for all and is defined here.
// The package has no state and does no I/O.
package filter

import (
	"context"

	"github.com/weldfall/weldfall/verdict"
)

// Filter is one step in the processing of a request of type C.
type Filter[C any] struct {
	Name string
	// Run returns an error to end the processing. The error says whether the request may
	// have run.
	Run func(ctx context.Context, c C) *verdict.Error
}

// List is a sequence of filters.
type List[C any] []Filter[C]

// Run runs the filters in order until one fails. It returns the name and the error of the
// filter that failed, or "" and nil.
func (l List[C]) Run(ctx context.Context, c C) (name string, err *verdict.Error) {
	for _, f := range l {
		if err := f.Run(ctx, c); err != nil {
			return f.Name, err
		}
	}
	return "", nil
}
