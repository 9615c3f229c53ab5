package daemon

import (
	"math/rand/v2"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// oneEnd is the time in which all requests that an engine had find out that it ended.
const oneEnd clock.Millis = 400

// lives gives the lives of an engine marks, so that entries can tell whether two requests
// saw the same end. It is safe for concurrent use.
type lives struct {
	mu sync.Mutex
	// latest is the mark of the life that ended last, at endedAt; zero if none did.
	latest  uint32
	endedAt clock.Millis
}

// end records that a request found the engine to have ended, and returns the mark of the
// life that did.
func (l *lives) end(now clock.Millis) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == 0 || now-l.endedAt > oneEnd {
		l.latest, l.endedAt = max(1, rand.Uint32()), now
	}
	return l.latest
}
