package origin

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// maxRecords limits the records of a Book, of about 250 bytes each. An entry begins
	// some tens of streams a second and holds as many records of each of a few others.
	maxRecords = 16384
	// maxPerWorkspace limits the records of one workspace, whose callers choose how many
	// streams they begin.
	maxPerWorkspace = 4096
)

// Book holds records until their streams can no longer be resumed. It is safe for
// concurrent use.
type Book struct {
	mu sync.Mutex
	// byWorkspace holds the records of each workspace, the oldest of which gives way.
	byWorkspace map[uint32]*simplelru.LRU[Key, *held]
	// count is the number of all records.
	count int
}

// held is a record with its state. The TTL of the record is not used.
type held struct {
	Record
	expiresAt clock.Millis
	// service is set if this entry began the stream.
	service string
	// ambiguous is true if calls with the same key had engines of different versions.
	ambiguous bool
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byWorkspace: map[uint32]*simplelru.LRU[Key, *held]{}} }

// Hold adds a record of another entry.
func (b *Book) Hold(r Record, now clock.Millis) { b.add(r, "", now) }

// Begin adds the record of a stream that this entry begins at a service.
func (b *Book) Begin(r Record, service string, now clock.Millis) { b.add(r, service, now) }

func (b *Book) add(r Record, service string, now clock.Millis) {
	if r.TTL <= 0 || r.Version == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	records := b.byWorkspace[r.Workspace]
	if records == nil {
		// NewLRU fails only if the size is not positive.
		records, _ = simplelru.NewLRU[Key, *held](maxPerWorkspace, func(Key, *held) { b.count-- })
		b.byWorkspace[r.Workspace] = records
	}
	if h, ok := records.Get(r.Key); ok && h.expiresAt > now {
		h.merge(r, service, now)
		return
	}
	records.Remove(r.Key)
	b.count++
	records.Add(r.Key, &held{Record: r, expiresAt: now + r.TTL, service: service})
	if b.count > maxRecords {
		b.evict()
	}
}

// merge updates a record with another one of the same key. The latest attempt of a call
// is right. Calls with the same key are of callers that use an ID again, or of one that
// resumes its stream, which continues at the version that began it.
func (h *held) merge(r Record, service string, now clock.Millis) {
	h.expiresAt = max(h.expiresAt, now+r.TTL)
	if service != "" {
		h.service = service
	}
	switch {
	case r.Call != h.Call && !r.SameOrigin(h.Record):
		h.ambiguous = true
	case r.Call == h.Call && r.Attempt > h.Attempt:
		h.Attempt, h.Service, h.Version = r.Attempt, r.Service, r.Version
	}
}

// evict removes the oldest record of the workspace that has the most. The caller holds mu.
func (b *Book) evict() {
	var most *simplelru.LRU[Key, *held]
	for _, records := range b.byWorkspace {
		if most == nil || records.Len() > most.Len() {
			most = records
		}
	}
	most.RemoveOldest()
}

// Find returns the record of a key with its remaining time, nil if there is none, and
// whether records of the key contradict each other.
func (b *Book) Find(workspace uint32, k Key, now clock.Millis) (r *Record, ambiguous bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.find(b.byWorkspace[workspace], k, now)
}

func (b *Book) find(records *simplelru.LRU[Key, *held], k Key, now clock.Millis) (*Record, bool) {
	if records == nil {
		return nil, false
	}
	h, ok := records.Peek(k)
	if !ok || h.expiresAt <= now {
		return nil, false
	}
	if h.ambiguous {
		return nil, true
	}
	r := h.Record
	r.TTL = h.expiresAt - now
	return &r, false
}

// Begun returns the records of the streams that this entry began at the wanted services.
func (b *Book) Begun(want func(service string) bool, now clock.Millis) []Record {
	return b.list(now, func(h *held) bool { return h.service != "" && want(h.service) })
}

// All returns all records.
func (b *Book) All(now clock.Millis) []Record {
	return b.list(now, func(*held) bool { return true })
}

func (b *Book) list(now clock.Millis, want func(h *held) bool) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Record
	for _, records := range b.byWorkspace {
		for _, h := range records.Values() {
			if h.expiresAt > now && !h.ambiguous && want(h) {
				r := h.Record
				r.TTL = h.expiresAt - now
				out = append(out, r)
			}
		}
	}
	return out
}

// Sweep removes the records whose streams can no longer be resumed.
func (b *Book) Sweep(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for workspace, records := range b.byWorkspace {
		for _, k := range records.Keys() {
			if h, _ := records.Peek(k); h.expiresAt <= now {
				records.Remove(k)
			}
		}
		if records.Len() == 0 {
			delete(b.byWorkspace, workspace)
		}
	}
}

// Len returns the number of records.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}
