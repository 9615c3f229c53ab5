package whole_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/whole"
)

func TestRead(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length int64
		want   string
		err    error
	}{
		{"known length", 4, "body", nil},
		{"unknown length", -1, "body", nil},
		{"truncated", 5, "", io.ErrUnexpectedEOF},
		{"length over the limit", 9, "", whole.ErrTooLarge},
	} {
		got, err := whole.Read(strings.NewReader("body"), tc.length, 8)
		if !errors.Is(err, tc.err) || (err == nil && string(got) != tc.want) {
			t.Errorf("%s: got %q and %v, want %q and %v", tc.name, got, err, tc.want, tc.err)
		}
	}
	for _, length := range []int64{-1, 11} {
		_, err := whole.Read(strings.NewReader("a long body"), length, 8)
		if !errors.Is(err, whole.ErrTooLarge) || !strings.Contains(err.Error(), "8") {
			t.Errorf("got %v for a body over the limit, want %v with the limit", err, whole.ErrTooLarge)
		}
	}
}
