package dial

import (
	"net/http"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// IdleConns are the idle connections of a client. Those that rested while the instance was
// suspended may have died meanwhile, and the library's idle time stood still.
type IdleConns struct {
	http *http.Client
	clk  *clock.Clock

	mu sync.Mutex
	// woke is the end of the latest suspension whose connections were closed.
	woke clock.Millis
}

// NewIdleConns returns the idle connections of a client.
func NewIdleConns(c *http.Client, clk *clock.Clock) *IdleConns { return &IdleConns{http: c, clk: clk} }

// CloseStale closes them if the instance was suspended since the last call.
func (i *IdleConns) CloseStale() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if woke := i.clk.ResumedAt(); i.woke != woke {
		i.woke = woke
		i.http.CloseIdleConnections()
	}
}
