package link

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// smallMessage is the length in bytes up to which a message is not accounted for. Every
	// connection has a read buffer of this size in any case.
	smallMessage = 4 << 10
	// pieceSize is the number of bytes by which the memory of a message grows while it arrives.
	pieceSize = 64 << 10
	// arrivingShare is the divisor for the share of the process's memory that incomplete messages
	// may take, and arrivingMessages the number of the largest messages if its memory has no limit.
	arrivingShare, arrivingMessages = 4, 40
	// discardLogPeriod is the shortest interval between log lines on discarded messages.
	discardLogPeriod clock.Millis = 1000
)

// arrivals bounds the memory that incomplete messages on all connections of a server take. Beyond
// the bound, the connection whose message has been incomplete for longest is closed. It is safe
// for concurrent use.
type arrivals struct {
	limit     int64
	clk       *clock.Clock
	log       *slog.Logger
	discarded *metrics.Counter

	mu sync.Mutex
	// held is the sum of the bytes of open.
	held int64
	open map[*stream]*arrival
	// recent counts the messages that were discarded since the last log line, at loggedAt.
	recent   int
	loggedAt clock.Millis
}

// arrival is an incomplete message.
type arrival struct {
	since clock.Millis
	bytes int64
}

func newArrivals(clk *clock.Clock, log *slog.Logger) *arrivals {
	return &arrivals{
		limit: maxArriving(debug.SetMemoryLimit(-1)), clk: clk, log: log, open: map[*stream]*arrival{},
		discarded: metrics.GetOrCreateCounter("weldfall_messages_discarded_total"),
	}
}

// maxArriving returns how many bytes incomplete messages may take, given the limit on the memory
// of the process. There is room for at least two messages.
func maxArriving(memory int64) int64 {
	if memory == math.MaxInt64 {
		return arrivingMessages * MaxMessage
	}
	return max(2*MaxMessage, memory/arrivingShare)
}

// add records n more bytes of the message that arrives on s. It fails if that is the message that
// is discarded.
func (a *arrivals) add(s *stream, n int) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.open[s]
	if m == nil {
		m = &arrival{since: a.clk.Now()}
		a.open[s] = m
	}
	m.bytes += int64(n)
	a.held += int64(n)
	for a.held > a.limit {
		oldest := s
		for o, m := range a.open {
			if m.since < a.open[oldest].since {
				oldest = o
			}
		}
		a.discard(oldest)
		if oldest == s {
			return fmt.Errorf("decode message: incomplete messages exceed %d bytes", a.limit)
		}
	}
	return nil
}

// discard closes the connection of a message. a.mu must be held.
func (a *arrivals) discard(s *stream) {
	a.remove(s)
	_ = s.Close()
	a.discarded.Inc()
	a.recent++
	if now := a.clk.Now(); a.loggedAt == 0 || now-a.loggedAt >= discardLogPeriod {
		a.log.Warn("messages_discarded", "count", a.recent, "held", a.held, "limit", a.limit, "open", len(a.open))
		a.recent, a.loggedAt = 0, now
	}
}

// done records that the message on s is complete or that its connection has ended.
func (a *arrivals) done(s *stream) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(s)
}

// remove ends the account of the message on s. a.mu must be held.
func (a *arrivals) remove(s *stream) {
	if m := a.open[s]; m != nil {
		a.held -= m.bytes
		delete(a.open, s)
	}
}

// readMessage reads a message of n bytes. Its memory grows as the bytes arrive.
func (s *stream) readMessage(n int) ([]byte, error) {
	if n <= smallMessage {
		data := make([]byte, n)
		_, err := io.ReadFull(s.r, data)
		return data, err
	}
	defer s.arrivals.done(s)
	var pieces [][]byte
	for left := n; left > 0; {
		size := min(left, pieceSize)
		if err := s.arrivals.add(s, size); err != nil {
			return nil, err
		}
		p := make([]byte, size)
		if _, err := io.ReadFull(s.r, p); err != nil {
			return nil, err
		}
		pieces = append(pieces, p)
		left -= size
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	return slices.Concat(pieces...), nil
}
