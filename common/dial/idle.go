package dial

import (
	"net/http"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// IdleConns closes the idle connections of a client after a suspension of the instance.
// They may have broken meanwhile, and the idle timeout of net/http stood still.
type IdleConns struct {
	http *http.Client
	clk  *clock.Clock

	mu sync.Mutex
	// resumedAt is the end of the latest suspension after which connections were closed.
	resumedAt clock.Millis
}

// NewIdleConns returns the idle connections of c.
func NewIdleConns(c *http.Client, clk *clock.Clock) *IdleConns { return &IdleConns{http: c, clk: clk} }

// CloseStale closes the idle connections if the instance was suspended since the last call.
func (i *IdleConns) CloseStale() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if resumedAt := i.clk.ResumedAt(); i.resumedAt != resumedAt {
		i.resumedAt = resumedAt
		i.http.CloseIdleConnections()
	}
}
