package events_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/weldfall/weldfall/engines/events"
)

// parseLines is a reference implementation that parses events line by line.
func parseLines(stream []byte) (out []events.Event) {
	r := bufio.NewReader(bytes.NewReader(stream))
	ev := events.Event{Number: -1}
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return out
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			if ev.Data != nil {
				out = append(out, ev)
			}
			ev = events.Event{Number: -1}
		case bytes.HasPrefix(line, []byte("id:")):
			if n, err := strconv.Atoi(string(bytes.TrimSpace(line[3:]))); err == nil {
				ev.Number = n
			}
		case bytes.HasPrefix(line, []byte("data:")):
			if ev.Data != nil {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, bytes.TrimPrefix(line[5:], []byte(" "))...)
		}
	}
}

// However a stream is divided into chunks, Reader returns the events that the reference
// implementation does.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda"))
	f.Add([]byte("data: x\r\n\r\n: note\n\nevent: e\ndata:y\r\n\r\n"))
	f.Add([]byte("\n\nid: 5\n\ndata: z\n\n\n\ndata:\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		if bytes.Contains(stream, []byte("\r\r")) {
			// A line of carriage returns only is not an empty line.
			return
		}
		for name, in := range map[string]io.Reader{"whole": bytes.NewReader(stream), "byte by byte": iotest.OneByteReader(bytes.NewReader(stream))} {
			var got []events.Event
			r := events.NewReader(in, len(stream)+1)
			ev, err := r.Next()
			for ; err == nil; ev, err = r.Next() {
				got = append(got, ev)
			}
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s: got %v at the end, want the end", name, err)
			}
			if want := parseLines(stream); !reflect.DeepEqual(got, want) {
				t.Errorf("%s: got %v, want %v", name, got, want)
			}
		}
	})
}

func TestReaderReportsTruncatedEvent(t *testing.T) {
	r := events.NewReader(strings.NewReader("data: a\n\ndata: b"), 100)
	if ev, err := r.Next(); err != nil || string(ev.Data) != "a" {
		t.Fatalf("got %q, %v, want a", ev.Data, err)
	}
	if ev, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v, want an end within an event", ev.Data, err)
	}
}

func TestReaderReportsOversizedEvent(t *testing.T) {
	r := events.NewReader(strings.NewReader("data: "+strings.Repeat("x", 200)), 100)
	if _, err := r.Next(); err == nil || !strings.Contains(err.Error(), "exceeds 100 bytes") {
		t.Errorf("got %v, want an error that names the maximum size", err)
	}
}
