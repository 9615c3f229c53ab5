// Package events splits a stream of server-sent events into whole events and parses them.
// A stream that is interrupted can be resumed after the last whole event.
package events

import (
	"bytes"
	"cmp"
)

// maxPending is the default maximum size in bytes of an incomplete event.
const maxPending = 256 << 10

// Splitter buffers bytes until events are complete. The zero value is ready to use.
type Splitter struct {
	// limit is the maximum size in bytes of an incomplete event; 0 means maxPending.
	limit   int
	pending []byte
	// read describes the whole events that Split returned, passed those of them for which
	// MarkPassed was called.
	read, passed progress
	// scanned is the number of pending bytes that are known not to end an event.
	scanned int
}

// progress describes the whole events of a part of a stream.
type progress struct {
	// lastID is the ID of the latest one that had one.
	lastID string
	// unnumbered is true if the latest one with an ID or data had no ID.
	unnumbered bool
	// count is their number, content that of those that had an ID or data.
	count, content int
}

// Split adds the next bytes of the stream and returns all whole events that have not been
// returned yet. It returns false if an incomplete event exceeds the maximum size.
func (s *Splitter) Split(p []byte) (whole []byte, ok bool) {
	s.pending = append(s.pending, p...)
	end := 0
	for from := s.scanned; ; {
		n := eventEnd(s.pending[from:])
		if n < 0 {
			break
		}
		n += from
		s.record(s.pending[end:n])
		end, from = n, n
	}
	whole = bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	// The last two bytes may begin the line end that ends an event.
	s.scanned = max(0, len(s.pending)-2)
	return whole, len(s.pending) <= s.maxSize()
}

func (s *Splitter) maxSize() int { return cmp.Or(s.limit, maxPending) }

// Pending returns the bytes after the last whole event.
func (s *Splitter) Pending() []byte { return s.pending }

// MidEvent reports whether the pending bytes are part of an event. Empty lines, comments
// and complete retry lines are not, and neither are whole events whose lines end with
// carriage returns alone, which Split does not recognize.
func (s *Splitter) MidEvent() bool {
	rest := bytes.TrimPrefix(s.pending, byteOrderMark)
	if bytes.IndexByte(rest, '\n') < 0 {
		rest = bytes.ReplaceAll(rest, []byte("\r"), []byte("\n"))
	}
	// If other lines end with a line feed, a final carriage return is half a line end.
	rest = bytes.ReplaceAll(rest, []byte("\r\n"), []byte("\n"))
	if i := bytes.LastIndex(rest, []byte("\n\n")); i >= 0 {
		rest = rest[i+2:]
	}
	for line := range bytes.Lines(rest) {
		comment := line[0] == ':'
		retry := bytes.HasPrefix(line, []byte("retry:")) && line[len(line)-1] == '\n'
		if line[0] != '\n' && !comment && !retry {
			return true
		}
	}
	return false
}

// byteOrderMark may precede a stream.
var byteOrderMark = []byte("\ufeff")

// MarkPassed records that all events that Split has returned were passed on.
func (s *Splitter) MarkPassed() { s.passed = s.read }

// Resumable reports whether the stream can be resumed after the latest event that was passed
// on: the event has an ID, or there is none yet.
func (s *Splitter) Resumable() bool { return !s.passed.unnumbered }

// DropPending discards the pending bytes, as after an engine was interrupted.
func (s *Splitter) DropPending() { s.pending, s.scanned = s.pending[:0], 0 }

// DropUnpassed discards the pending bytes and the events that were not passed on.
func (s *Splitter) DropUnpassed() {
	s.DropPending()
	s.read = s.passed
}

// LastID returns the ID of the latest event passed on that had one, or "".
func (s *Splitter) LastID() string { return s.passed.lastID }

// Count returns the number of whole events that Split has returned.
func (s *Splitter) Count() int { return s.read.count }

// ContentCount returns the number of whole events that Split has returned and that had an ID or
// data.
func (s *Splitter) ContentCount() int { return s.read.content }

// record updates the state with a whole event.
func (s *Splitter) record(event []byte) {
	s.read.count++
	id, data := false, false
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			s.read.lastID, id = string(bytes.TrimSpace(rest)), true
		}
		data = data || bytes.HasPrefix(line, []byte("data"))
	}
	if id || data {
		s.read.content++
		s.read.unnumbered = !id
	}
}

// eventEnd returns the length of the first event including the empty line that ends it,
// or -1 if there is no whole event.
func eventEnd(p []byte) int {
	start := 0
	for {
		n := bytes.IndexByte(p[start:], '\n')
		if n < 0 {
			return -1
		}
		next := start + n + 1
		switch {
		case next < len(p) && p[next] == '\n':
			return next + 1
		case next+1 < len(p) && p[next] == '\r' && p[next+1] == '\n':
			return next + 2
		}
		start = next
	}
}
