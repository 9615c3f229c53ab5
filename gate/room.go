package gate

import (
	"context"

	"github.com/weldfall/weldfall/verdict"
)

// checkRoom rejects a request if the engines of its service have no room for it.
func (g *Gate) checkRoom(_ context.Context, c *call) *verdict.Error {
	c.overShare = g.overShare(c)
	return nil
}
