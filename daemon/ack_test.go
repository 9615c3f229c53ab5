package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/link"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

// acker acknowledges frames if it is told to, and counts them.
type acker struct {
	sink
	mu sync.Mutex
	// conn receives acknowledgments of the frames received so far, unless it is nil.
	conn *link.Conn
	next int
}

func (s *acker) Frame(f wire.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sink.Frame(f)
	s.next = f.Seq + max(1, f.Count)
	if s.conn != nil {
		_ = s.conn.Notify(wire.MethodAck, wire.Ack{Attempt: f.Attempt, Next: s.next})
	}
}

func (s *acker) received() (frames, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.bytes
}

// startLongService runs a daemon in front of a service that responds with size bytes, and counts
// those that the service could write.
func startLongService(t *testing.T, h link.Handler, size int) (c *link.Conn, written func() int) {
	t.Helper()
	var mu sync.Mutex
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := strings.Repeat("x", 64<<10)
		for sent := 0; sent < size; sent += len(block) {
			if _, err := w.Write([]byte(block)); err != nil {
				return
			}
			mu.Lock()
			n += len(block)
			mu.Unlock()
		}
	}))
	t.Cleanup(srv.Close)
	return startWithEngineAt(t, h, srv.Listener.Addr().String()), func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

func runService(acks bool) wire.Run {
	r := run(1, 0)
	r.Chat, r.Stream, r.Body, r.Path, r.Acks = 0, false, nil, "/x", acks
	return r
}

// Guards against a daemon that keeps all of a response whose caller reads slowly or not at all.
func TestUnacknowledgedResponseWaits(t *testing.T) {
	const size = 64 << 20
	s := &acker{}
	c, written := startLongService(t, s, size)
	done := make(chan wire.Result, 1)
	go func() {
		var res wire.Result
		_ = c.Call(context.Background(), wire.MethodRun, runService(true), &res)
		done <- res
	}()
	time.Sleep(500 * time.Millisecond)
	if _, got := s.received(); got > wire.MaxUnacked {
		t.Errorf("got %d bytes without an acknowledgment, want at most %d", got, wire.MaxUnacked)
	}
	// The rest is in the buffers of the connection to the service.
	if got := written(); got >= size {
		t.Errorf("got all %d bytes of the service, want it to wait", got)
	}
	s.mu.Lock()
	s.conn = c
	next := s.next
	s.mu.Unlock()
	if err := c.Notify(wire.MethodAck, wire.Ack{Attempt: 1, Next: next}); err != nil {
		t.Fatal(err)
	}
	select {
	case res := <-done:
		if frames, bytes := s.received(); res.Verdict != verdict.Ran || res.Frames != frames || bytes != size {
			t.Errorf("got %+v, %d frames and %d bytes, want all %d bytes", res, frames, bytes, size)
		}
	case <-time.After(20 * time.Second):
		t.Error("got no end of the response once it was acknowledged")
	}
}

// An entry of an earlier version acknowledges nothing.
func TestResponseToAnEarlierEntryDoesNotWait(t *testing.T) {
	const size = 4 << 20
	s := &acker{}
	c, _ := startLongService(t, s, size)
	var res wire.Result
	if err := c.Call(t.Context(), wire.MethodRun, runService(false), &res); err != nil {
		t.Fatal(err)
	}
	if _, bytes := s.received(); res.Verdict != verdict.Ran || bytes != size {
		t.Errorf("got %+v and %d bytes, want all %d", res, bytes, size)
	}
}

// After a lost connection the response goes on behind what was received, acknowledged or not.
func TestAcknowledgedResponseIsResumed(t *testing.T) {
	const size = 4 << 20
	s := &acker{}
	c, _ := startLongService(t, s, size)
	go func() {
		var res wire.Result
		_ = c.Call(context.Background(), wire.MethodRun, runService(true), &res)
	}()
	for frames := 0; frames == 0; frames, _ = s.received() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	s.conn = c
	next := s.next
	s.mu.Unlock()
	var res wire.Result
	if err := c.Call(t.Context(), wire.MethodResume, wire.Resume{Attempt: 1, From: next, BootID: c.PeerBootID()}, &res); err != nil {
		t.Fatal(err)
	}
	if frames, _ := s.received(); res.Verdict != verdict.Ran || frames != res.Frames {
		t.Errorf("got %+v and frames up to %d, want all", res, frames)
	}
}
