package gate

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

// Limits of the searches for the origins of streams at other entries, whose IDs callers
// choose. When an entry ends, the others get the streams of about a second.
const (
	searchRate           = 200
	searchBurst          = 400
	workspaceSearchRate  = 50
	workspaceSearchBurst = 200
	// maxSearchWorkspaces is the number of workspaces whose searches are tracked, of about
	// 150 bytes each.
	maxSearchWorkspaces = 1024
)

// searches limits searches, in total and by workspace. It is safe for concurrent use.
type searches struct {
	total *rate.Limiter

	mu          sync.Mutex
	byWorkspace *simplelru.LRU[uint32, *rate.Limiter]
}

func newSearches() *searches {
	// NewLRU fails only if the size is not positive.
	byWorkspace, _ := simplelru.NewLRU[uint32, *rate.Limiter](maxSearchWorkspaces, nil)
	return &searches{total: rate.NewLimiter(searchRate, searchBurst), byWorkspace: byWorkspace}
}

// allow reports whether a workspace may search now.
func (s *searches) allow(workspace uint32) bool {
	s.mu.Lock()
	l, ok := s.byWorkspace.Get(workspace)
	if !ok {
		l = rate.NewLimiter(workspaceSearchRate, workspaceSearchBurst)
		s.byWorkspace.Add(workspace, l)
	}
	s.mu.Unlock()
	return l.Allow() && s.total.Allow()
}
