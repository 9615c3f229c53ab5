// Package framing determines how an HTTP message is delimited and whether one that has
// ended is complete (RFC 9112, sections 6.3 and 8).
package framing

import (
	"errors"
	"fmt"
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

// Sending is how far the request to which a message responds was written.
type Sending string

const (
	// Sent means that all of the request was written.
	Sent Sending = "done"
	// SendFailed means that writing the request failed.
	SendFailed Sending = "failed"
	// SendPending means that the request was still being written.
	SendPending Sending = "pending"
)

// Sender is what is known of the process that sent a message when its connection ended.
type Sender string

const (
	// SenderStands means that the process has outlasted the message.
	SenderStands Sender = "stands"
	// SenderEnded means that it has ended, so that the kernel closed the connection.
	SenderEnded Sender = "ended"
	// SenderDisconnected means that its other connections ended with that of the message, as they do
	// when it ends.
	SenderDisconnected Sender = "disconnected"
	// SenderLeaves means that it had said that it ends. It may refuse connections while it finishes
	// its messages.
	SenderLeaves Sender = "leaves"
	// SenderUnknown means that nothing shows whether it has outlasted the message.
	SenderUnknown Sender = "unknown"
)

// Errors of messages that end with a connection without having been ended by their sender.
var (
	ErrUnsent      = fmt.Errorf("the connection closed and the request was not written: %w", io.ErrUnexpectedEOF)
	ErrSenderEnded = fmt.Errorf("the connection closed as the process of its sender ended: %w", io.ErrUnexpectedEOF)
	// ErrSenderUnproven is no fault of the sender as far as is known.
	ErrSenderUnproven = fmt.Errorf("the connection closed and nothing shows that the process of its sender did not end: %w", io.ErrUnexpectedEOF)
)

// End is what is known of the end of a message.
type End struct {
	Framing Framing
	// Err is the error that ended reading the body, io.EOF at its end or at the end of the
	// connection.
	Err error
	// Sending is how far the request was written by then.
	Sending Sending
	// Sender is what is known of the sender by then, "" if nobody looked.
	Sender Sender
}

// AtClose reports whether the message ended with its connection, so that the end depends on more
// than the framing.
func (e End) AtClose() bool { return e.Framing == UntilClose && errors.Is(e.Err, io.EOF) }

// CheckedErr returns Err, or an error that wraps io.ErrUnexpectedEOF if the end of the connection
// does not show that the sender ended the message. A connection that is reset while the request is
// written may look closed: a socket reports its error once, which the write may have received. The
// connections of a process that ends are closed by the kernel, whatever it had still to send.
func (e End) CheckedErr() error {
	switch {
	case !e.AtClose():
		return e.Err
	case e.Sending != Sent:
		return ErrUnsent
	case e.Sender == SenderEnded:
		return ErrSenderEnded
	case e.Sender != "" && e.Sender != SenderStands:
		return ErrSenderUnproven
	}
	return e.Err
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

// Completeness returns the completeness of a body whose reading ended with err, which
// End.CheckedErr has checked.
func (f Framing) Completeness(err error) Completeness {
	switch {
	case !errors.Is(err, io.EOF):
		return Incomplete
	case f == UntilClose:
		return Closed
	}
	return Complete
}
