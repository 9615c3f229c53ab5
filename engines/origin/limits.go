package origin

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

// maxLimits is the number of workspaces and services whose callers' limits are remembered, of
// about 150 bytes each.
const maxLimits = 4096

// Limits remembers for how long the callers of each workspace wait for the streams of a service,
// which is for how long they may resume one. It is safe for concurrent use.
type Limits struct {
	// keep is for how long a limit counts after a caller last stated it. It is not shorter
	// than any limit.
	keep clock.Millis

	mu     sync.Mutex
	limits *simplelru.LRU[limitKey, limit]
}

type limitKey struct {
	workspace uint32
	service   string
}

// limit is the longest one that a caller stated, and when one last did.
type limit struct{ longest, statedAt clock.Millis }

// NewLimits returns Limits that count for the given time.
func NewLimits(keep clock.Millis) *Limits {
	// NewLRU fails only if the size is not positive.
	limits, _ := simplelru.NewLRU[limitKey, limit](maxLimits, nil)
	return &Limits{keep: keep, limits: limits}
}

// Record records that a caller of a workspace waits for a stream of a service as long as d.
func (l *Limits) Record(workspace uint32, service string, d, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := limitKey{workspace, service}
	if known, ok := l.limits.Get(key); ok && known.longest > d && now-known.statedAt < l.keep {
		return
	}
	l.limits.Add(key, limit{d, now})
}

// Longest returns the longest limit that counts, zero if there is none.
func (l *Limits) Longest(workspace uint32, service string, now clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.limits.Get(limitKey{workspace, service})
	if !ok || now-known.statedAt >= l.keep {
		return 0
	}
	return known.longest
}
