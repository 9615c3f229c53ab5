// Package logline writes log lines without blocking the code that logs. Lines
// pass through a bounded buffer; those that do not fit are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxPending limits the lines that wait for the output. At 300 bytes per line
// the buffer takes at most about 0.3 MB.
const maxPending = 1024

var (
	linesWritten = metrics.NewCounter("weldfall_log_lines_total")
	linesDropped = metrics.NewCounter("weldfall_log_lines_dropped_total")
)

// Dropped returns the number of lines that this process has dropped.
func Dropped() uint64 { return linesDropped.Get() }

// Writer writes lines to an output in the background.
type Writer struct {
	out     io.Writer
	pending chan []byte
	done    chan struct{}
	closing sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, pending: make(chan []byte, maxPending), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails: a line that does not
// fit is dropped and counted in weldfall_log_lines_dropped_total.
func (w *Writer) Write(line []byte) (int, error) {
	c := make([]byte, len(line))
	copy(c, line)
	select {
	case w.pending <- c:
		linesWritten.Inc()
	default:
		linesDropped.Inc()
	}
	return len(line), nil
}

// Close waits until the pending lines are written. Write must not be called
// afterwards.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.pending) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.pending {
		batch = append(batch[:0], line...)
		batch = w.appendPending(batch)
		// A failure of the log output cannot be logged.
		_, _ = w.out.Write(batch)
	}
}

// appendPending appends the lines that are already queued, so that a burst costs one write.
func (w *Writer) appendPending(batch []byte) []byte {
	for {
		select {
		case line, ok := <-w.pending:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// New returns a logger that writes key=value lines to w, each with the instance ID. It
// fails if level is unknown.
func New(w io.Writer, level, id string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("%q: write debug, info, warn or error", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})).With("instance", id), nil
}
