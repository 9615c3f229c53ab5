package callers_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerWithoutReading responds to /large with more than fits into the buffers of a caller that reads
// nothing, and does not read bodies.
func answerWithoutReading(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
	if r.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, 16<<20))
		return
	}
	_, _ = io.WriteString(w, "ok")
}

// expectResponse sends a request on a new connection and expects its response long before any
// limit on connections is over.
func expectResponse(t *testing.T, s *testServer) {
	t.Helper()
	nc, r := s.dial()
	send(t, nc, request)
	_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	if !readResponse(r) {
		t.Error("ordinary caller: got no response in 10 s, want one")
	}
}

// Guards against a server that closes no idle connections any more, since one that has to give way
// for its body is not reading: its caller does not read the response.
func TestIdleConnectionsGiveWayBesideACallerThatReadsNothing(t *testing.T) {
	s := serveAtMost(t, 2, answerWithoutReading)
	stuck, _ := s.dial()
	send(t, stuck, "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
	time.Sleep(400 * time.Millisecond)
	type caller struct {
		nc net.Conn
		r  *bufio.Reader
	}
	var idle []caller
	for range 2 {
		nc, r := s.dial()
		idle = append(idle, caller{nc, r})
	}
	time.Sleep(100 * time.Millisecond)
	for _, c := range idle {
		exchange(t, c.nc, c.r)
	}
	expectResponse(t, s)
}

// Guards against callers that read no responses and hold all places.
func TestCallersThatReadNothingGiveWay(t *testing.T) {
	s := serveAtMost(t, 2, answerWithoutReading)
	for range 3 {
		nc, _ := s.dial()
		send(t, nc, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	time.Sleep(400 * time.Millisecond)
	expectResponse(t, s)
}
