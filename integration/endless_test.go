package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
)

const (
	// endlessRequests is the number of requests at once that get a response without end.
	endlessRequests = 40
	// endlessTime is how long callers let them go on.
	endlessTime = 5 * time.Second
	// blockPause is the time between two blocks of 64 KiB, so that a fault does not take the
	// machine's memory.
	blockPause = 5 * time.Millisecond
	// maxGrowth is the most by which the memory of a process may grow meanwhile, in bytes.
	maxGrowth = 20 << 20
)

// endlessTarget sends a head and then a block again and again, until its connection fails.
// The heads are those by path; one under "" is for all others.
func endlessTarget(t *testing.T, heads map[string]string) (addr string) {
	t.Helper()
	block := strings.Repeat("x", 64<<10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				head, ok := heads[r.URL.Path]
				if !ok {
					head, ok = heads[""]
				}
				if !ok {
					_, _ = io.WriteString(nc, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					return
				}
				_, err = io.WriteString(nc, head)
				for err == nil {
					time.Sleep(blockPause)
					_, err = io.WriteString(nc, block)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a process that runs out of memory as a target sends bytes without end: daemons kept
// all of a response until its end, and entries up to 8 MiB for each caller that reads slowly.
func TestServiceResponsesWithoutEndTakeLittleMemory(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Engines: 1, Direct: true})
	addr := endlessTarget(t, map[string]string{
		"/close":   "HTTP/1.1 200 OK\r\n\r\n",
		"/length":  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"/chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1999999999\r\n",
		"/failure": "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"/head":    "HTTP/1.1 200 OK\r\nX: ",
		"/none":    "",
	})
	d := f.StartDaemon(&fleettest.Process{Name: "endless", Addr: addr}, "desk", 0)
	f.ServiceDaemons = append(f.ServiceDaemons, d)
	f.WaitReady()
	paths := []string{"/close", "/length", "/chunked", "/failure", "/head", "/none"}
	testEndless(t, f, d, func(n int) request { return service(f, paths[n%len(paths)]) }, func(n int) request {
		return chat(f.Entries[0], chatBody(false, 5, fmt.Sprint(n)))
	})
}

// Like TestServiceResponsesWithoutEndTakeLittleMemory for an engine all of whose responses are
// without end, those to the daemon's own questions included.
func TestChatResponsesWithoutEndTakeLittleMemory(t *testing.T) {
	for name, head := range map[string]string{
		"close":   "HTTP/1.1 200 OK\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1999999999\r\n",
		"list":    "HTTP/1.1 200 OK\r\n\r\n[",
		"refusal": "HTTP/1.1 422 Unprocessable\r\n\r\n",
		"failure": "HTTP/1.1 500 Internal Server Error\r\n\r\n",
		"event":   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: ",
	} {
		t.Run(name, func(t *testing.T) {
			f := fleettest.Start(t, fleettest.Spec{Entries: 1, Services: 1, Direct: true})
			d := f.StartDaemon(&fleettest.Process{Name: "endless", Addr: endlessTarget(t, map[string]string{"": head})}, "drafting", 0)
			f.EngineDaemons = append(f.EngineDaemons, d)
			f.WaitReady()
			testEndless(t, f, d, func(n int) request {
				return chat(f.Entries[0], chatBody(n%4 < 2, 5, fmt.Sprint(n)))
			}, func(n int) request { return service(f, fmt.Sprintf("/other-%d", n)) })
		})
	}
}

// testEndless sends requests whose responses have no end, and others beside them, and checks how much
// memory the daemon d of the endless target and the entry take.
func testEndless(t *testing.T, f *fleettest.Fleet, d *fleettest.Process, endless, other func(n int) request) {
	t.Helper()
	processes := []*fleettest.Process{d, f.Entries[0]}
	before := map[string]int64{}
	for _, p := range processes {
		before[p.Name] = p.PeakMemory()
	}
	var wg sync.WaitGroup
	for n := range endlessRequests {
		wg.Go(func() {
			q := endless(n)
			nc, err := net.Dial("tcp", q.entry.CallerAddr)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = nc.Close() }()
			_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", q.path, q.key, len(q.body), q.body)
			_ = nc.SetReadDeadline(time.Now().Add(endlessTime))
			if n%2 == 0 {
				// A caller that reads nothing.
				time.Sleep(endlessTime)
				return
			}
			_, _ = io.Copy(io.Discard, nc)
		})
	}
	start := time.Now()
	served := 0
	for n := 0; time.Since(start) < endlessTime; n++ {
		got := other(n).sendRaw(t, "HTTP/1.1")
		if got.status != http.StatusOK {
			t.Errorf("request %d beside them: got status %d by %v, want 200", n, got.status, got.err)
		}
		served++
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	for _, p := range processes {
		growth := p.PeakMemory() - before[p.Name]
		t.Logf("%s: %d MiB more at the peak; %d other requests", p.Name, growth>>20, served)
		if growth > maxGrowth {
			t.Errorf("%s: got %d MiB more at the peak, want at most %d", p.Name, growth>>20, maxGrowth>>20)
		}
	}
}
