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
	// count is how many whole events came.
	count int
}

// Add takes the next bytes and returns those that belong to whole events. The
// result is valid until the next call. It reports false when an event is too
// long to be held back.
func (s *Splitter) Add(p []byte) (whole []byte, ok bool) {
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

// Inside reports whether the bytes that belong to no whole event are the beginning of
// one, rather than empty lines or comments.
func (s *Splitter) Inside() bool {
	for line := range bytes.FieldsFuncSeq(s.pending, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

// Drop forgets the bytes that belong to no whole event: the engine that sent
// them broke off.
func (s *Splitter) Drop() { s.pending = s.pending[:0] }

// LastID returns the id of the latest whole event that had one, or "".
func (s *Splitter) LastID() string { return s.lastID }

// Count returns how many whole events came.
func (s *Splitter) Count() int { return s.count }

func (s *Splitter) take(event []byte) {
	s.count++
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			s.lastID = string(bytes.TrimSpace(rest))
		}
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
