// Package events splits a stream of server-sent events into whole events, so
// that a stream which breaks off can be taken up after the last whole one, and
// reads what they say.
package events

import (
	"bytes"
	"cmp"
)

// maxPending bounds an event that is not yet whole, in bytes, where no other bound
// is given.
const maxPending = 1 << 20

// Splitter collects bytes until events are whole. The zero value is ready to use.
type Splitter struct {
	// most bounds an event that is not yet whole, in bytes; 0 stands for maxPending.
	most    int
	pending []byte
	// lastID is the id of the latest whole event that had one.
	lastID string
	// unnumbered is true if the latest whole event with data had no id.
	unnumbered bool
	// count is how many whole events came.
	count int
}

// Split takes the next bytes and returns those that belong to whole events. The
// result is valid until the next call. It reports false when an event is too
// long to be held back.
func (s *Splitter) Split(p []byte) (whole []byte, ok bool) {
	s.pending = append(s.pending, p...)
	end := 0
	for {
		n := eventEnd(s.pending[end:])
		if n < 0 {
			break
		}
		s.take(s.pending[end : end+n])
		end += n
	}
	whole = bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return whole, len(s.pending) <= s.bound()
}

func (s *Splitter) bound() int { return cmp.Or(s.most, maxPending) }

// Pending returns the bytes that belong to no whole event yet.
func (s *Splitter) Pending() []byte { return s.pending }

// MidEvent reports whether the bytes that belong to no whole event are the beginning of one.
// Empty lines, comments and whole lines of retry are none, and neither are events whose lines
// end with carriage returns, which Add does not split.
func (s *Splitter) MidEvent() bool {
	rest := bytes.TrimPrefix(s.pending, byteOrderMark)
	if bytes.IndexByte(rest, '\n') < 0 {
		rest = bytes.ReplaceAll(rest, []byte("\r"), []byte("\n"))
	}
	// Where other lines end with a line feed, a last carriage return is half of an end.
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

// byteOrderMark may stand before a stream.
var byteOrderMark = []byte("\ufeff")

// Resumable reports whether a stream can be taken up after its latest whole event: it has an
// id, or there is no event yet.
func (s *Splitter) Resumable() bool { return !s.unnumbered }

// DropPending forgets the bytes that belong to no whole event: the engine that sent
// them broke off.
func (s *Splitter) DropPending() { s.pending = s.pending[:0] }

// LastID returns the id of the latest whole event that had one, or "".
func (s *Splitter) LastID() string { return s.lastID }

// Count returns how many whole events came.
func (s *Splitter) Count() int { return s.count }

func (s *Splitter) take(event []byte) {
	s.count++
	id, data := false, false
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			s.lastID, id = string(bytes.TrimSpace(rest)), true
		}
		data = data || bytes.HasPrefix(line, []byte("data"))
	}
	if id || data {
		s.unnumbered = !id
	}
}

// eventEnd returns the length of the first event with the empty line that
// ends it, or -1.
func eventEnd(p []byte) int {
	at := 0
	for {
		n := bytes.IndexByte(p[at:], '\n')
		if n < 0 {
			return -1
		}
		next := at + n + 1
		switch {
		case next < len(p) && p[next] == '\n':
			return next + 1
		case next+1 < len(p) && p[next] == '\r' && p[next+1] == '\n':
			return next + 2
		}
		at = next
	}
}
