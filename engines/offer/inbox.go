package offer

import (
	"sync"

	"github.com/weldfall/weldfall/link/wire"
)

// maxInbox is the maximum size in bytes of the frames that wait for a slow caller.
const maxInbox = 8 << 20

// inbox buffers the frames of one attempt.
type inbox struct {
	mu     sync.Mutex
	frames []wire.Frame
	// next is the number of the next expected frame. Frames before it are duplicates and
	// are dropped.
	next  int
	bytes int
	// gap is true if a frame after next arrived, so that one was lost.
	gap bool
	// full is true if the caller reads the response too slowly.
	full bool
	// arrived holds a token if the state changed since it was last received from.
	arrived chan struct{}
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

// put adds a frame, unless it is a duplicate or cannot be kept.
func (in *inbox) put(f wire.Frame) {
	in.mu.Lock()
	defer in.mu.Unlock()
	count := max(1, f.Count)
	switch {
	case f.Seq+count <= in.next:
		return
	case f.Seq != in.next:
		// Merged frames that overlap with earlier ones are requested again too.
		in.gap = true
	case in.bytes+len(f.Data) > maxInbox:
		in.full = true
	default:
		in.next += count
		in.bytes += len(f.Data)
		in.frames = append(in.frames, f)
	}
	select {
	case in.arrived <- struct{}{}:
	default:
	}
}

// take removes and returns the frames that arrived in order.
func (in *inbox) take() (frames []wire.Frame, gap, full bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	frames, gap, full = in.frames, in.gap, in.full
	in.frames, in.bytes = nil, 0
	return frames, gap, full
}

// nextSeq returns the number of the next expected frame and clears the gap.
func (in *inbox) nextSeq() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.gap = false
	return in.next
}

// inboxes holds the inboxes of all attempts.
type inboxes struct {
	mu   sync.Mutex
	byID map[uint64]*inbox
}

func newInboxes() *inboxes { return &inboxes{byID: map[uint64]*inbox{}} }

func (b *inboxes) open(attempt uint64) *inbox {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := newInbox()
	b.byID[attempt] = in
	return in
}

func (b *inboxes) close(attempt uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byID, attempt)
}

// deliver puts a frame into the inbox of its attempt. It returns false if the attempt is
// over.
func (b *inboxes) deliver(f wire.Frame) bool {
	b.mu.Lock()
	in := b.byID[f.Attempt]
	b.mu.Unlock()
	if in == nil {
		return false
	}
	in.put(f)
	return true
}
