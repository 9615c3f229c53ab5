package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// engine is a server of one service, as the users' pages describe it. It runs in a process of
// its own, so that it can be killed.
type engine struct {
	id      string
	slots   int64
	active  atomic.Int64
	started time.Time
}

// runEngine serves until the process is killed. The arguments are the address, the ID and the
// number of slots.
func runEngine(args []string) error {
	slots, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	e := &engine{id: args[1], slots: int64(slots), started: time.Now()}
	return http.Serve(ln, e)
}

// say writes a line that the scene copies into its record.
func (e *engine) say(format string, a ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "engine %s "+format+"\n", append([]any{e.id}, a...)...)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Weldfall-Instance-Id", e.id)
	h["Date"] = nil
	h.Set("Weldfall-Engine-Load", fmt.Sprintf("%d,0,%d", e.active.Load(), e.slots))
	if r.URL.Path == "/healthz" && r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Weldfall-Request-Id")
	want := r.Header.Get("Weldfall-Expect-Instance")
	switch {
	case want != "" && want != e.id:
		e.refuse(w, id, http.StatusMisdirectedRequest)
		return
	case id == "":
		e.refuse(w, id, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.active.Add(1) > e.slots {
		e.active.Add(-1)
		e.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer e.active.Add(-1)
	e.say("runs %s %s %s tenant=%s body=%08x", id, r.Method, r.URL.Path, r.Header.Get("Weldfall-Tenant"), crc32.ChecksumIEEE(body))
	h.Set("Weldfall-Request-Id", id)
	if e.work(w, r, id) {
		e.say("ends %s", id)
		return
	}
	e.say("drops %s", id)
}

func (e *engine) refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set("Weldfall-Request-Id", id)
	w.Header().Set("Weldfall-Not-Executed", "1")
	w.WriteHeader(status)
	e.say("refuses %s %d", id, status)
}

// Sizes and times of responses, as on the sheet of the deployment.
const (
	plainWork  = 60 * time.Millisecond
	plainBytes = 800
	firstEvent = 120 * time.Millisecond
	eventPause = 25 * time.Millisecond
	events     = 40
)

// work answers the request and reports whether it did so completely.
func (e *engine) work(w http.ResponseWriter, r *http.Request, id string) bool {
	if !strings.HasPrefix(r.URL.Path, "/tags/") {
		if !pause(r, plainWork) {
			return false
		}
		body := plainBody(id)
		w.Header().Set("Weldfall-Engine-Signature", signature(e.id, id, body))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := io.WriteString(w, body)
		return err == nil
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weldfall-Engine-Signature", signature(e.id, id, ""))
	rc := http.NewResponseController(w)
	if !pause(r, firstEvent) {
		return false
	}
	for n := last + 1; n <= events; n++ {
		if _, err := io.WriteString(w, event(id, n)); err != nil || rc.Flush() != nil || !pause(r, eventPause) {
			return false
		}
	}
	return true
}

// pause waits, or returns false if the caller has gone.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// plainBody is the body of the response to a request.
func plainBody(id string) string {
	return (id + " " + strings.Repeat(id, plainBytes/len(id)+1))[:plainBytes]
}

// event is event n of the stream for a request.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %08x\n\n", n, crc32.ChecksumIEEE(fmt.Appendf(nil, "%s %d", id, n)))
}

func signature(engine, id, body string) string {
	return fmt.Sprintf("%s.%s.%08x", engine, id, crc32.ChecksumIEEE([]byte(body)))
}
