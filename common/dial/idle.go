package dial

import (
	"net/http"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// Idle are the idle connections of a client. Those that rested while the instance was
// suspended may have died meanwhile, and the library's idle time stood still.
type Idle struct {
	http *http.Client
	clk  *clock.Clock

	mu sync.Mutex
	// woke is the end of the latest suspension whose connections were closed.
	woke clock.Millis
}

// NewIdle returns the idle connections of a client.
func NewIdle(c *http.Client, clk *clock.Clock) *Idle { return &Idle{http: c, clk: clk} }

// CloseStale closes them if the instance was suspended since the last call.
func (i *Idle) CloseStale() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if woke := i.clk.Woke(); i.woke != woke {
		i.woke = woke
		i.http.CloseIdleConnections()
	}
}
