// Package framing says how a message tells where it ends, and what is known of one that
// has ended (RFC 9112, sections 6.3 and 8).
package framing

import (
	"errors"
	"io"
	"net/http"
)

// Framing is how a message tells where its body ends.
type Framing string

const (
	// Length is a body of a known length, which may be none.
	Length Framing = "length"
	// Chunked is a body whose last chunk ends it.
	Chunked Framing = "chunked"
	// UntilClose is a body that ends with its connection.
	UntilClose Framing = "close"
)

// OfResponse returns the framing of an answer.
func OfResponse(res *http.Response) Framing {
	switch {
	case len(res.TransferEncoding) > 0:
		return Chunked
	case res.ContentLength >= 0 || res.Body == http.NoBody:
		return Length
	}
	return UntilClose
}

// Completeness is what is known of a message that has ended.
type Completeness string

const (
	// Complete means that the sender's framing says that this is all.
	Complete Completeness = "complete"
	// Closed means that the message ended with its connection: whether it is complete is
	// not known.
	Closed Completeness = "closed"
	// Incomplete means that the message broke off.
	Incomplete Completeness = "incomplete"
)

// Completeness returns what the error that ended the reading of a body says.
func (f Framing) Completeness(err error) Completeness {
	switch {
	case !errors.Is(err, io.EOF):
		return Incomplete
	case f == UntilClose:
		return Closed
	}
	return Complete
}
