package events_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/engines/events"
)

// However a stream is divided into chunks, Split returns the whole events in order and
// keeps the start of the next one pending.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), uint8(3))
	f.Add([]byte("data: x\r\n\r\ndata: y\r\n\r\n"), uint8(1))
	f.Add([]byte("\n\n\n\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var s events.Splitter
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(len(rest), int(size)+1)
			whole, ok := s.Split(rest[:n])
			if !ok {
				t.Fatal("got an event that is too long, want none in so short a stream")
			}
			out = append(out, whole...)
			rest = rest[n:]
		}
		if got := append(out, s.Pending()...); !bytes.Equal(got, stream) {
			t.Errorf("got %q, want %q", got, stream)
		}
		if n := len(out); n > 0 && out[n-1] != '\n' {
			t.Errorf("got %q, want whole events", out)
		}
	})
}

func TestLastID(t *testing.T) {
	var s events.Splitter
	whole, _ := s.Split([]byte("id: 7\ndata: a\n\nid:8\ndata: b\n\nid: 9\nda"))
	if got := s.LastID(); got != "" {
		t.Errorf("got id %q before an event was passed on, want none", got)
	}
	s.MarkPassed()
	if got, want := s.LastID(), "8"; got != want {
		t.Errorf("got id %q, want %q", got, want)
	}
	if got, want := s.Count(), 2; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
	if strings.Contains(string(whole), "9") {
		t.Errorf("got %q, want whole events alone", whole)
	}
	s.DropPending()
	if whole, _ = s.Split([]byte("id: 9\ndata: c\n\n")); string(whole) != "id: 9\ndata: c\n\n" {
		t.Errorf("got %q after DropPending, want the event from its start", whole)
	}
	s.DropUnpassed()
	if got, want := s.LastID(), "8"; got != want || s.Count() != 2 || !s.Resumable() {
		t.Errorf("got id %q and %d events after those not passed on were dropped, want %q and 2", got, s.Count(), want)
	}
}

func TestMidEvent(t *testing.T) {
	for stream, want := range map[string]bool{
		"":                                  false,
		"data: a\n\n":                       false,
		"data: a\r\n\r\n":                   false,
		"data: a\n\n\n":                     false,
		"data: a\r\n\r\n\r\n":               false,
		"data: a\n\n: a comment\n":          false,
		"data: a\n\n: a comm":               false,
		"data: a\n":                         true,
		"data: a":                           true,
		"d":                                 true,
		"data: a\n\nid: 2\n":                true,
		"data: a\n\n\nid: 2\ndata: b":       true,
		"data: a\n\n: a comment\ndata: b\n": true,
	} {
		var s events.Splitter
		if _, ok := s.Split([]byte(stream)); !ok {
			t.Fatalf("%q: got an event that is too long", stream)
		}
		if got := s.MidEvent(); got != want {
			t.Errorf("%q: got MidEvent %v, want %v", stream, got, want)
		}
	}
}
