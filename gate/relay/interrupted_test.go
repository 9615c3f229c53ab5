package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/engines/attempt"
)

// interruptedExchange refuses to pass events on from its call number from on, 0 for never.
type interruptedExchange struct {
	exchange
	from, calls int
}

var errInterrupted = errors.New("interrupted")

func (x *interruptedExchange) BeforeEvents(context.Context) error {
	if x.calls++; x.from > 0 && x.calls >= x.from {
		return errInterrupted
	}
	return nil
}

// pieces is a reader that returns at most n bytes at a time.
type pieces struct {
	io.Reader
	n int
}

func (r pieces) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.n)]) }

// Guards against a stream with a gap that ends as complete: events that were read, and dropped
// because their engine had another version, counted as passed on, and the next engine was asked
// for what follows them.
func TestEveryEventIsPassedOnOnceHoweverAnAttemptIsInterrupted(t *testing.T) {
	const events = 9
	// text returns the events after the one with an ID.
	text := func(after string) string {
		first, _ := strconv.Atoi(after)
		var b strings.Builder
		for n := first + 1; n <= events; n++ {
			fmt.Fprintf(&b, ": comment\n\nid: %d\ndata: %d\n\n", n, n)
		}
		return b.String()
	}
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "%d ", n)
	}
	for size := 1; size <= len(text("")); size++ {
		for from := 1; from <= 2*events; from++ {
			p, w := newReply("HTTP/1.1")
			for _, x := range []*interruptedExchange{{exchange: exchange{stream: true}, from: from}, {exchange: exchange{stream: true}, from: 2}, {exchange: exchange{stream: true}}} {
				if !p.CanContinue() {
					t.Fatalf("%d bytes at a time, interrupted at %d: the stream can't continue", size, from)
				}
				res, _ := response(t, "HTTP/1.1 200 OK\r\n"+stream+"Connection: close\r\n\r\n"+text(p.LastEventID()), false)
				if _, ok := p.Relay(t.Context(), x, res, body{pieces{res.Body, size}}).(attempt.Answered); ok {
					break
				}
			}
			var got strings.Builder
			for line := range strings.Lines(w.Body.String()) {
				if id, ok := strings.CutPrefix(line, "id: "); ok {
					got.WriteString(strings.TrimSpace(id) + " ")
				}
			}
			if got.String() != want.String() {
				t.Fatalf("%d bytes at a time, interrupted at %d: got the events %s, want %s", size, from, got.String(), want.String())
			}
		}
	}
}
