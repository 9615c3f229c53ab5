package events

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// readPiece is how many bytes a Reader reads at once.
const readPiece = 16 << 10

// Event is what an event says.
type Event struct {
	// Number is the event's id if that is a number, else -1.
	Number int
	// Data is not empty.
	Data []byte
}

// Reader reads the events of a stream one by one. Events without data are passed
// over.
type Reader struct {
	r     io.Reader
	split Splitter
	piece []byte
	// ready has whole events that were not yet handed out.
	ready []byte
	// err is why nothing more can be read.
	err error
}

// NewReader returns a reader of the events in r, each of at most so many bytes.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{r: r, split: Splitter{most: most}, piece: make([]byte, readPiece)}
}

// Next returns the next event. One that is cut short is not returned: the error is
// io.ErrUnexpectedEOF, or io.EOF if the stream ended between two events.
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

// fill reads on.
func (r *Reader) fill() {
	n, err := r.r.Read(r.piece)
	whole, ok := r.split.Split(r.piece[:n])
	r.ready = whole
	switch {
	case !ok:
		r.err = fmt.Errorf("event exceeds %d bytes", r.split.bound())
	case errors.Is(err, io.EOF) && len(r.split.Pending()) > 0:
		r.err = io.ErrUnexpectedEOF
	default:
		r.err = err
	}
}

// parse reads a whole event. Lines of data are joined by line ends.
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
