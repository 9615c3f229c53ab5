package wire_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/weldfall/weldfall/link/wire"
)

// oldHead and oldFrame are Head and Frame in processes that do not know EndsUntilClose.
type (
	oldHead struct {
		Status int
		Header map[string]string
		Loads  []wire.Load
	}
	oldFrame struct {
		Attempt uint64
		Seq     int
		Count   int
		Head    *oldHead
		Data    []byte
	}
)

func encode(t *testing.T, v any) []byte {
	t.Helper()
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// Old and new processes run side by side during a rolling upgrade.
func TestEndsUntilCloseIsCompatibleWithOlderProcesses(t *testing.T) {
	head := &wire.Head{Status: 200, Header: map[string]string{"A": "b"}}
	head.MarkEndsUntilClose()
	data := encode(t, wire.Frame{Attempt: 1, Head: head})
	var old oldFrame
	if err := msgpack.Unmarshal(data, &old); err != nil {
		t.Fatalf("got %v for an older process, want the frame", err)
	}
	// net/http ends a response with this header with its connection.
	if got := old.Head.Header["Transfer-Encoding"]; got != "identity" {
		t.Errorf("got Transfer-Encoding %q for an older process, want identity", got)
	}
	var same wire.Frame
	if err := msgpack.Unmarshal(data, &same); err != nil || !same.Head.EndsUntilClose() {
		t.Errorf("got %+v, %v, want a response that ends with its connection", same.Head, err)
	}
	var newer wire.Frame
	if err := msgpack.Unmarshal(encode(t, oldFrame{Head: &oldHead{Status: 200}}), &newer); err != nil || newer.Head.EndsUntilClose() {
		t.Errorf("got %+v, %v from an older process, want a response not marked to end with its connection", newer.Head, err)
	}
}
