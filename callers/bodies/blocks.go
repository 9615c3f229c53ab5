package bodies

import (
	"io"
	"sync"
)

const (
	// minBlock and maxBlock bound the size of a block, in bytes.
	minBlock = 1 << 10
	maxBlock = 16 << 10
	// maxExact is the size up to which a body of known length takes a single block, in bytes.
	maxExact = 4 << 10
)

// blockPool holds blocks of maxBlock bytes.
var blockPool = sync.Pool{New: func() any { return new([maxBlock]byte) }}

// blockList is a body that grows by blocks, so that it is not copied as it grows. The zero value
// is an empty list.
type blockList struct {
	blocks [][]byte
	// pooled are the blocks that are of the pool.
	pooled []*[maxBlock]byte
	// size is the number of bytes read.
	size int64
	// room is what is left in the last block, in bytes.
	room int
}

// full reports whether no room is left.
func (l *blockList) full() bool { return l.room == 0 }

// nextSize returns the size of the next block of a body with a length, negative if that is unknown:
// as much as was read so far, within the bounds.
func (l *blockList) nextSize(length int64) int {
	n := min(max(l.size, minBlock), maxBlock)
	switch {
	case length < 0:
		return int(n)
	case length <= maxExact:
		return int(length)
	}
	return int(min(n, length-l.size))
}

// add adds a block of n bytes.
func (l *blockList) add(n int) {
	if n == maxBlock {
		p, _ := blockPool.Get().(*[maxBlock]byte)
		l.pooled = append(l.pooled, p)
		l.blocks = append(l.blocks, p[:])
	} else {
		l.blocks = append(l.blocks, make([]byte, n))
	}
	l.room = n
}

// fill reads once into the room of the last block.
func (l *blockList) fill(r io.Reader) error {
	last := l.blocks[len(l.blocks)-1]
	n, err := r.Read(last[len(last)-l.room:])
	l.size += int64(n)
	l.room -= n
	return err
}

// join returns the body in one piece.
func (l *blockList) join() []byte {
	if len(l.blocks) == 1 && len(l.pooled) == 0 {
		return l.blocks[0][:l.size]
	}
	body := make([]byte, 0, l.size)
	for _, b := range l.blocks {
		body = append(body, b[:min(int64(len(b)), l.size-int64(len(body)))]...)
	}
	return body
}

// free returns the blocks to the pool. The list is empty afterwards.
func (l *blockList) free() {
	for _, p := range l.pooled {
		blockPool.Put(p)
	}
	*l = blockList{}
}
