// Package filter takes a request through a list of filters. Each interface of
// callers has a list of its own; what a list is, and how it ends, stands here
// alone. It is pure.
package filter

import (
	"context"

	"github.com/weldfall/weldfall/verdict"
)

// Filter is one step of the way of a request, which C holds. Its error ends
// the way and says whether the request may have run.
type Filter[C any] struct {
	Name string
	Run  func(ctx context.Context, c C) *verdict.Error
}

// List is the way of a request, in order.
type List[C any] []Filter[C]

// Run takes a request through the filters up to the first that fails. It
// returns the name and the error of that one, or "" and nil.
func (l List[C]) Run(ctx context.Context, c C) (name string, err *verdict.Error) {
	for _, f := range l {
		if err := f.Run(ctx, c); err != nil {
			return f.Name, err
		}
	}
	return "", nil
}
