package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/internal/heldconns"
)

const (
	// processDescriptors is the number of descriptors that an entry may open, and heldConns that of
	// the connections of callers that send too little.
	processDescriptors, heldConns = 128, 200
	// maxProcessDescriptors bounds the descriptors of the entry beside them. The rest is for daemons,
	// the platform, other entries and the admin pages.
	maxProcessDescriptors = 112
)

// Guards against an entry that serves nobody, and is not ready, while callers hold more connections
// than it has descriptors, whatever little they send on them.
func TestConnectionsThatSendTooLittleKeepNobodyOutOfAnEntry(t *testing.T) {
	head := func(path, more string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n", path, fleettest.Key("planning", "ws0"), more)
	}
	for _, tc := range []struct{ name, send string }{
		{"nothing", ""},
		{"one request, then rest", head("/services/desk/x", "Content-Length: 0\r\n")},
		{"one request to an unknown path", head("/nowhere/x", "Content-Length: 0\r\n")},
		{"half a head", "POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthor"},
		{"half a body", head("/services/desk/x", "Content-Length: 100\r\n") + "half"},
		{"half a body to an unknown path", head("/nowhere/x", "Content-Length: 100\r\n") + "half"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := fleettest.Start(t, fleettest.Spec{Services: 1, Entries: 1})
			t.Setenv(heldconns.DescriptorsEnv, strconv.Itoa(processDescriptors))
			e := f.StartEntry(1)
			f.Entries = append(f.Entries, e)
			f.WaitReady()
			held := heldconns.Start(e.CallerAddr, tc.send, heldConns)
			defer held.Stop()
			// Until the entry has as many connections as it takes.
			most := 0
			for range 150 {
				most = max(most, e.OpenDescriptors())
				time.Sleep(10 * time.Millisecond)
			}
			q := service(f, "/ordinary")
			q.entry = e
			if got := q.send(); got.status != http.StatusOK {
				t.Errorf("ordinary request: got %d %s %v, want 200", got.status, got.body, got.err)
			}
			if !e.Ready() {
				t.Error("got an entry that is not ready")
			}
			most = max(most, e.OpenDescriptors())
			t.Logf("%d descriptors at most", most)
			if most > maxProcessDescriptors {
				t.Errorf("got %d open descriptors, want at most %d of %d", most, maxProcessDescriptors, processDescriptors)
			}
			if e.Ended() {
				t.Error("the process has ended")
			}
		})
	}
}

// Guards against an entry that calls a request malformed whose body gave way to other connections:
// callers repeat no such request.
func TestBodyThatGivesWayAtAnEntryIsNotMalformed(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Services: 1, Entries: 1})
	t.Setenv(heldconns.DescriptorsEnv, strconv.Itoa(processDescriptors))
	e := f.StartEntry(1)
	f.Entries = append(f.Entries, e)
	f.WaitReady()
	half := fmt.Sprintf("POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", fleettest.Key("planning", "ws0"))
	nc, err := net.Dial("tcp", e.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, err := io.WriteString(nc, half); err != nil {
		t.Fatal(err)
	}
	held := heldconns.Start(e.CallerAddr, half, heldConns)
	defer held.Stop()
	_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	if res.StatusCode < http.StatusInternalServerError || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("got status %d, Retry-After %q, %q, want a refusal of an entry without room that closes the connection", res.StatusCode, res.Header.Get("Retry-After"), body)
	}
}
