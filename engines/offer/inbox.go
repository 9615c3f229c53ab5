package offer

import (
	"sync"

	"github.com/weldfall/weldfall/link/wire"
)

// maxInbox bounds the bytes of an answer that wait for a slow caller.
const maxInbox = 8 << 20

// inbox collects the frames of one attempt. Frames of other attempts never
// get here, since each has its own.
type inbox struct {
	mu     sync.Mutex
	frames []wire.Frame
	// next is the number of the frame that is due; frames before it are
	// copies and are dropped.
	next  int
	bytes int
	// gap is true when a frame after next came: something was lost.
	gap bool
	// full is true when the caller takes the answer too slowly.
	full bool
	// arrived holds a token when there is news.
	arrived chan struct{}
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 1)} }

func (in *inbox) put(f wire.Frame) {
	in.mu.Lock()
	defer in.mu.Unlock()
	count := max(1, f.Count)
	switch {
	case f.Seq+count <= in.next:
		return
	case f.Seq != in.next:
		// Merged frames that overlap are asked for again as well.
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

// take returns the frames that have arrived in order.
func (in *inbox) take() (frames []wire.Frame, gap, full bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	frames, gap, full = in.frames, in.gap, in.full
	in.frames, in.bytes = nil, 0
	return frames, gap, full
}

// due returns the number of the frame that is due and forgets a gap.
func (in *inbox) due() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.gap = false
	return in.next
}

// inboxes finds the inbox of an attempt.
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

// deliver hands a frame to its attempt; one whose attempt was abandoned is
// dropped.
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
