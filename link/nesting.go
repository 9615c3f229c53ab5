package link

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the largest nesting of arrays and maps in a frame, that of encoding/json.
const maxNesting = 10_000

// checkNesting returns an error if a frame is nested deeper than maxNesting. The library
// recurses without a limit, also for values that are not used, and a message of MaxMessage
// bytes could exceed the stack, which ends the process.
func checkNesting(data []byte) error {
	if len(data) <= maxNesting {
		// Each level takes a byte.
		return nil
	}
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	// open has the number of values that are left in each open array and map.
	for open := []int{1}; len(open) > 0; {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		n, err := enter(dec)
		if err != nil {
			return err
		}
		if n > 0 {
			open = append(open, n)
		}
		if len(open) > maxNesting {
			return fmt.Errorf("nested deeper than the limit of %d levels", maxNesting)
		}
	}
	return nil
}

// enter reads the head of an array or map and returns the number of values in it, or skips
// another value.
func enter(dec *msgpack.Decoder) (n int, err error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return dec.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err = dec.DecodeMapLen()
		return 2 * n, err
	}
	return 0, dec.Skip()
}
