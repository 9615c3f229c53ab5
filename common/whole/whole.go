// Package whole reads complete bodies of limited size.
package whole

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge means that a body exceeds the limit. Errors that wrap it give the limit.
var ErrTooLarge = errors.New("too large")

// Read returns the complete body of the given length, or of unknown length if it
// is negative. It fails with ErrTooLarge if the body exceeds the limit, without
// reading it if the length is known.
func Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrTooLarge, length, limit)
	}
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return body, err
}
