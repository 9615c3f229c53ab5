// Package logline writes log lines without ever holding up the code that
// logs: a bounded buffer takes them, and what does not fit is dropped and
// counted.
package logline

import (
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxPending bounds the lines that wait for the output. At 300 bytes a line
// the buffer takes at most about 0.3 MB.
const maxPending = 1024

var (
	linesWritten = metrics.NewCounter("weldfall_log_lines_total")
	linesDropped = metrics.NewCounter("weldfall_log_lines_dropped_total")
)

// Dropped returns how many lines this process has dropped.
func Dropped() uint64 { return linesDropped.Get() }

// Writer hands lines to an output in the background.
type Writer struct {
	out     io.Writer
	pending chan []byte
	done    chan struct{}
	closing sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, pending: make(chan []byte, maxPending), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails: a line that does not
// fit is counted in weldfall_log_lines_dropped_total.
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

// Close stops taking lines and waits until the pending ones are written.
// Nothing may be written afterwards.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.pending) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.pending {
		batch = append(batch[:0], line...)
		batch = w.gather(batch)
		// An output that fails has nobody to be told.
		_, _ = w.out.Write(batch)
	}
}

// gather adds the lines that wait already, so that a burst costs one write.
func (w *Writer) gather(batch []byte) []byte {
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

// New returns a logger of key=value lines to w that names the instance.
func New(w io.Writer, level, id string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("%q: write debug, info, warn or error", level)
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})).With("instance", id), nil
}
