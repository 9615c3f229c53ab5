package wire_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/weldfall/weldfall/link/wire"
)

// oldHead is a Head, and oldFrame a Frame, as processes have them that know nothing of how
// answers end.
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

// Processes of both kinds stand side by side while a fleet is replaced.
func TestEndsUntilCloseIsCompatibleWithOlderProcesses(t *testing.T) {
	head := &wire.Head{Status: 200, Header: map[string]string{"A": "b"}}
	head.MarkEndsUntilClose()
	data := encode(t, wire.Frame{Attempt: 1, Head: head})
	var old oldFrame
	if err := msgpack.Unmarshal(data, &old); err != nil {
		t.Fatalf("got %v for an older process, want the frame", err)
	}
	// net/http ends an answer with this header with its connection.
	if got := old.Head.Header["Transfer-Encoding"]; got != "identity" {
		t.Errorf("got Transfer-Encoding %q for an older process, want identity", got)
	}
	var same wire.Frame
	if err := msgpack.Unmarshal(data, &same); err != nil || !same.Head.EndsUntilClose() {
		t.Errorf("got %+v, %v, want an answer that ends with its connection", same.Head, err)
	}
	var younger wire.Frame
	if err := msgpack.Unmarshal(encode(t, oldFrame{Head: &oldHead{Status: 200}}), &younger); err != nil || younger.Head.EndsUntilClose() {
		t.Errorf("got %+v, %v from an older process, want an answer of which that is not known", younger.Head, err)
	}
}
