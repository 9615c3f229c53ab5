package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/internal/fleettest"
)

// Guards against a response that the end of an entry's drain breaks ending like a complete
// one for HTTP/1.0 callers.
func TestResponseBrokenByEndOfDrainIsIncomplete(t *testing.T) {
	for name, end := range map[string]func(*fleettest.Process){"stopped": (*fleettest.Process).Terminate, "killed": (*fleettest.Process).Kill} {
		t.Run(name, func(t *testing.T) { checkDrainEnd(t, end) })
	}
}

func checkDrainEnd(t *testing.T, end func(*fleettest.Process)) {
	t.Helper()
	f := fleettest.Start(t, fleettest.Spec{Entries: 1, Direct: true})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	part := make([]byte, 100<<10)
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
				if r.URL.Path != "/slow" {
					_, _ = io.WriteString(nc, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part)
				time.Sleep(20 * time.Second)
			}()
		}
	}()
	f.ServiceDaemons = append(f.ServiceDaemons, f.StartDaemon(&fleettest.Process{Name: "raw-desk", Addr: ln.Addr().String()}, "desk", 0))
	f.PutConfig("fleet", "[leave]\ndrain_ms = 1000\n")
	f.WaitReady()
	f.Eventually("drain", func() bool { return fmt.Sprint(f.Entries[0].EffectiveSetting("fleet", "leave.drain_ms")) == "1000" })
	got := make(chan rawResponse, 1)
	go func() { got <- service(f, "/slow").sendRaw(t, "HTTP/1.0") }()
	time.Sleep(500 * time.Millisecond)
	end(f.Entries[0])
	select {
	case s := <-got:
		t.Logf("status %d, %d bytes, %s, %v", s.status, len(s.body), s.framed, s.err)
		if s.status == http.StatusOK && s.framed == framing.UntilClose && s.err == nil {
			t.Errorf("got %d bytes and a proper end, want a broken connection", len(s.body))
		}
	case <-time.After(15 * time.Second):
		t.Error("got no end of the response")
	}
}
