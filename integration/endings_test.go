package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// rawReply is an answer byte by byte.
type rawReply struct {
	// head is all of the head but the status line and the empty line.
	head, body string
	// status is 200 if zero.
	status int
	// reset ends the connection by a reset in place of a FIN.
	reset bool
}

// raw is a target that answers with what it is told, and ends the connection.
type raw struct {
	ln net.Listener
	// replies has an answer for each path, or for each word that a chat may contain.
	replies map[string]rawReply
}

// newRaw starts a target and the daemon beside it.
func newRaw(t *testing.T, f *fleettest.Fleet, pool string, replies map[string]rawReply) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &raw{ln: ln, replies: replies}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	d := f.StartDaemon(&fleettest.Process{Name: "raw-" + pool, Addr: ln.Addr().String()}, pool, 0)
	f.ServiceDaemons = append(f.ServiceDaemons, d)
	f.WaitReady()
}

func (s *raw) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	reply := s.replyTo(r.URL.Path, string(body))
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d Status\r\n%s\r\n%s", max(http.StatusOK, reply.status), reply.head, reply.body)
	if reply.reset {
		// What was sent must have been read.
		time.Sleep(100 * time.Millisecond)
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

func (s *raw) replyTo(path, body string) rawReply {
	if reply, ok := s.replies[path]; ok {
		return reply
	}
	for word, reply := range s.replies {
		if strings.Contains(body, `"`+word+`"`) {
			return reply
		}
	}
	// Nothing is known of attempts, load or memory.
	return rawReply{status: http.StatusNotFound, head: "Content-Length: 0\r\n"}
}

// seen is what a caller on a plain socket sees of an answer.
type seen struct {
	status int
	framed framing.Framing
	body   string
	// end is nil after a complete message and after a FIN where only that can end it.
	end error
}

// HTTP versions of callers.
var protos = []string{"HTTP/1.1", "HTTP/1.0"}

// sendRaw sends a request over a connection of its own.
func (q request) sendRaw(t *testing.T, proto string) seen {
	t.Helper()
	nc, err := net.Dial("tcp", q.entry.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(nc, "POST %s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", q.path, proto, q.key, len(q.body), q.body)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	if err != nil {
		return seen{end: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return seen{status: res.StatusCode, framed: framing.Of(res), body: string(body), end: err}
}

func service(f *fleettest.Fleet, path string) request {
	return request{entry: f.Entries[0], path: "/services/desk" + path, key: fleettest.Key("planning", "ws0"), body: "body"}
}

// The answer of a plain service that ended with its connection reached callers as complete,
// though the service never said that it was.
func TestAServicesAnswerThatEndsWithItsConnectionIsNotToldAsComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	replies := map[string]rawReply{
		"/short":        {body: "well"},
		"/empty":        {},
		"/long":         {body: long},
		"/long-refusal": {body: long, status: http.StatusNotFound},
		"/length":       {head: "Content-Length: 4\r\n", body: "well"},
		"/chunked":      {head: "Transfer-Encoding: chunked\r\n", body: "4\r\nwell\r\n0\r\n\r\n"},
	}
	newRaw(t, f, "desk", replies)
	for path, want := range map[string]seen{
		"/short":        {http.StatusOK, framing.UntilClose, "well", nil},
		"/empty":        {http.StatusOK, framing.UntilClose, "", nil},
		"/long":         {http.StatusOK, framing.UntilClose, long, nil},
		"/long-refusal": {http.StatusNotFound, framing.UntilClose, long, nil},
		"/length":       {http.StatusOK, framing.Chunked, "well", nil},
		"/chunked":      {http.StatusOK, framing.Chunked, "well", nil},
	} {
		for _, proto := range protos {
			t.Run(path[1:]+", "+proto, func(t *testing.T) {
				want := want
				if proto == "HTTP/1.0" {
					// It has no chunks.
					want.framed = framing.UntilClose
				}
				got := service(f, path).sendRaw(t, proto)
				if got.status != want.status || got.framed != want.framed || got.end != want.end {
					t.Errorf("got status %d, framed %s, end %v, want %d, %s, %v", got.status, got.framed, got.end, want.status, want.framed, want.end)
				}
				if got.body != want.body {
					t.Errorf("got %d bytes, want the %d of the service", len(got.body), len(want.body))
				}
			})
		}
	}
}

// An answer that was known to be broken off ended for callers of HTTP/1.0 as a whole one does.
func TestABrokenAnswerIsToldAsBrokenOffToEachCaller(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	newRaw(t, f, "desk", map[string]rawReply{
		"/no-last-chunk": {head: "Transfer-Encoding: chunked\r\n", body: "4\r\nwell\r\n"},
		"/cut-chunk":     {head: "Transfer-Encoding: chunked\r\n", body: "5\r\nwell"},
		"/short-length":  {head: "Content-Length: 5\r\n", body: "well"},
		"/reset":         {body: long, reset: true},
	})
	for _, path := range []string{"/no-last-chunk", "/cut-chunk", "/short-length", "/reset"} {
		for _, proto := range protos {
			t.Run(path[1:]+", "+proto, func(t *testing.T) {
				// A reset may overtake the head, which then does not come.
				if got := service(f, path).sendRaw(t, proto); got.end == nil {
					t.Errorf("got status %d and %d bytes, framed %s, want an answer that breaks off", got.status, len(got.body), got.framed)
				}
			})
		}
	}
}
