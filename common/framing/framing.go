// Package framing determines how an HTTP message is delimited and whether one that has
// ended is complete (RFC 9112, sections 6.3 and 8).
package framing

import (
	"errors"
	"io"
	"net/http"
)

// Framing is how the end of a message body is determined.
type Framing string

const (
	// Length is a body of known length, which may be zero.
	Length Framing = "length"
	// Chunked is a body that ends with its last chunk.
	Chunked Framing = "chunked"
	// UntilClose is a body that ends with its connection.
	UntilClose Framing = "close"
)

// OfResponse returns the framing of a response.
func OfResponse(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunked
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return Length
	}
	return UntilClose
}

// Completeness is whether a message that has ended is known to be complete.
type Completeness string

const (
	// Complete means that the message is complete by its framing.
	Complete Completeness = "complete"
	// Closed means that the message ended with its connection, so that it is unknown
	// whether it is complete.
	Closed Completeness = "closed"
	// Incomplete means that the message was truncated.
	Incomplete Completeness = "incomplete"
)

// Completeness returns the completeness of a body whose reading ended with err.
func (f Framing) Completeness(err error) Completeness {
	switch {
	case !errors.Is(err, io.EOF):
		return Incomplete
	case f == UntilClose:
		return Closed
	}
	return Complete
}
