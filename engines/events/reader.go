package events

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// readSize is the size of a Reader's buffer in bytes.
const readSize = 16 << 10

// Event is a parsed event.
type Event struct {
	// Number is the ID of the event if it is a number, else -1.
	Number int
	// Data is not empty.
	Data []byte
}

// Reader reads the events of a stream. It skips events without data.
type Reader struct {
	r     io.Reader
	split Splitter
	buf   []byte
	// ready holds whole events that were not yet returned.
	ready []byte
	// err is the error that ended the stream.
	err error
}

// NewReader returns a Reader of the events in r, each of at most maxSize bytes.
func NewReader(r io.Reader, maxSize int) *Reader {
	return &Reader{r: r, split: Splitter{limit: maxSize}, buf: make([]byte, readSize)}
}

// Next returns the next event. It returns io.EOF if the stream ended after a whole event,
// and io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	for {
		if n := eventEnd(r.ready); n >= 0 {
			ev := parse(r.ready[:n])
			r.ready = r.ready[n:]
			if len(ev.Data) > 0 {
				return ev, nil
			}
			continue
		}
		if r.err != nil {
			return Event{}, r.err
		}
		r.fill()
	}
}

// fill reads from the stream and splits what it read.
func (r *Reader) fill() {
	n, err := r.r.Read(r.buf)
	whole, ok := r.split.Split(r.buf[:n])
	r.ready = whole
	switch {
	case !ok:
		r.err = fmt.Errorf("event exceeds %d bytes", r.split.maxSize())
	case errors.Is(err, io.EOF) && len(r.split.Pending()) > 0:
		r.err = io.ErrUnexpectedEOF
	default:
		r.err = err
	}
}

// parse parses a whole event. It joins data lines with line feeds.
func parse(event []byte) Event {
	ev := Event{Number: -1}
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(id))); err == nil {
				ev.Number = n
			}
			continue
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			if ev.Data != nil {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, bytes.TrimPrefix(data, []byte(" "))...)
		}
	}
	return ev
}
