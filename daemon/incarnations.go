package daemon

import (
	"math/rand/v2"
	"sync"

	"github.com/weldfall/weldfall/common/clock"
)

// endWindow is the time within which all requests of an engine notice that it has ended.
const endWindow clock.Millis = 400

// incarnations assigns hashes to the ended incarnations of an engine, so that entries can
// tell whether two requests noticed the same end. It is safe for concurrent use.
type incarnations struct {
	mu sync.Mutex
	// hash is the hash of the incarnation that ended last, at endedAt, or zero.
	hash    uint32
	endedAt clock.Millis
}

// recordEnd records that a request noticed the end of the engine, and returns the hash of
// the incarnation that ended.
func (i *incarnations) recordEnd(now clock.Millis) uint32 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.hash == 0 || now-i.endedAt > endWindow {
		i.hash, i.endedAt = max(1, rand.Uint32()), now
	}
	return i.hash
}
