package origin_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/internal/heaptest"
)

// version returns the version that a book has for a request, "" if it has none and
// "ambiguous" if its records contradict each other.
func version(b *origin.Book, request string, now clock.Millis) string {
	r, ambiguous := b.Find(1, origin.NewKey("ws", request), now)
	switch {
	case ambiguous:
		return "ambiguous"
	case r == nil:
		return ""
	}
	return r.Version
}

// with returns a record of the same stream by another call or attempt.
func with(r origin.Record, call uint32, attempt uint8, version string) origin.Record {
	r.Call, r.Attempt, r.Version = call, attempt, version
	return r
}

// ofService returns the record with another service.
func ofService(r origin.Record, service uint32) origin.Record {
	r.Service = service
	return r
}

// The latest attempt of a call is right, in whatever order its records arrive. Calls with
// the same ID that began at different versions cannot be distinguished.
func TestBookMergesRecords(t *testing.T) {
	first := record("a", "v1")
	for _, tc := range []struct {
		name    string
		records []origin.Record
		want    string
	}{
		{"none", nil, ""},
		{"one", []origin.Record{first}, "v1"},
		{"another attempt", []origin.Record{first, with(first, 7, 2, "v2")}, "v2"},
		{"another attempt, in reverse", []origin.Record{with(first, 7, 2, "v2"), first}, "v2"},
		{"the same twice", []origin.Record{first, first}, "v1"},
		{"resumed at its version", []origin.Record{first, with(first, 8, 1, "v1")}, "v1"},
		{"the ID used again", []origin.Record{first, with(first, 8, 1, "v2")}, "ambiguous"},
		{"the ID used again, and again", []origin.Record{first, with(first, 8, 1, "v2"), first}, "ambiguous"},
		{"the ID used again at another service", []origin.Record{first, ofService(with(first, 8, 1, "v1"), 4)}, "ambiguous"},
		{"another attempt at another service", []origin.Record{first, ofService(with(first, 7, 2, "v2"), 4)}, "v2"},
		{"no version", []origin.Record{with(first, 7, 1, "")}, ""},
	} {
		b := origin.NewBook()
		for _, r := range tc.records {
			b.Hold(r, 0)
		}
		if got := version(b, "a", 0); got != tc.want {
			t.Errorf("%s: got version %q, want %q", tc.name, got, tc.want)
		}
	}
}

// A record ends when its stream can no longer be resumed, and each attempt that resumes
// the stream extends it.
func TestBookForgetsExpiredRecords(t *testing.T) {
	b := origin.NewBook()
	r := record("a", "v1")
	b.Hold(r, 0)
	if got := version(b, "a", 999); got != "v1" {
		t.Errorf("got version %q before the end, want v1", got)
	}
	b.Hold(with(r, 8, 1, "v1"), 900)
	if got := version(b, "a", 1899); got != "v1" {
		t.Errorf("got version %q of an extended record, want v1", got)
	}
	if got := version(b, "a", 1900); got != "" {
		t.Errorf("got version %q after the end, want none", got)
	}
	b.Hold(with(r, 9, 1, "v2"), 2000)
	if got := version(b, "a", 2000); got != "v2" {
		t.Errorf("got version %q of an ID used again later, want v2", got)
	}
	b.Sweep(3000)
	if got := b.Len(); got != 0 {
		t.Errorf("got %d records after a sweep, want none", got)
	}
}

// A workspace whose callers begin many streams must not displace the records of others,
// and the memory is limited.
func TestBookIsLimitedByWorkspace(t *testing.T) {
	const perWorkspace, total = 4096, 16384
	b := origin.NewBook()
	b.Hold(record("a", "v1"), 0)
	for workspace := range uint32(8) {
		for i := range 2 * perWorkspace {
			r := record(fmt.Sprintf("%d of %d", i, workspace), "v2")
			r.Workspace = 2 + workspace
			b.Hold(r, 0)
		}
	}
	if got := b.Len(); got > total {
		t.Errorf("got %d records, want at most %d", got, total)
	}
	if got := version(b, "a", 0); got != "v1" {
		t.Errorf("got version %q of a workspace with one stream, want v1", got)
	}
	if r, _ := b.Find(2, origin.NewKey("ws", "a"), 0); r != nil {
		t.Errorf("got the record %v of another workspace, want none", r)
	}
	if got := len(b.All(0)); got != b.Len() {
		t.Errorf("got %d of all records, want %d", got, b.Len())
	}
}

// The streams that this entry began at a service are known apart from those it holds.
func TestBookKnowsTheStreamsThatBeganHere(t *testing.T) {
	b := origin.NewBook()
	b.Begin(record("a", "v1"), "llm", 0)
	b.Begin(record("b", "v1"), "other", 0)
	b.Hold(record("c", "v1"), 0)
	got := b.Begun(func(service string) bool { return service == "llm" }, 400)
	if len(got) != 1 || got[0].Key != record("a", "").Key || got[0].TTL != 600 {
		t.Errorf("got %v, want the record of a with 600 ms left", got)
	}
}

// The limit of a book rests on the memory of a record.
func TestMemoryOfARecord(t *testing.T) {
	const workspaces, records = 4, 4096
	got := heaptest.BytesPerItem(workspaces*records, func() *origin.Book {
		b := origin.NewBook()
		for i := range workspaces * records {
			b.Begin(origin.Record{
				Key: origin.NewKey("ws", fmt.Sprint(i)), Workspace: uint32(i % workspaces), Call: uint32(i), Attempt: 1,
				Version: strings.Clone("v1.2"), TTL: 60_000,
			}, "llm", 0)
		}
		return b
	})
	t.Logf("%.0f bytes a record", got)
	if got > 300 {
		t.Errorf("got %.0f bytes a record, want at most 300", got)
	}
}
