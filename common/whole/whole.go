// Package whole reads bodies to their end, within a bound.
package whole

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge means that a body is longer than the bound, which the error names.
var ErrTooLarge = errors.New("too large")

// Read reads a body of the given length, or of unknown length if it is
// negative. A known length must be within the limit.
func Read(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are read", ErrTooLarge, length, limit)
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
