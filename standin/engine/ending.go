package engine

import "net/http"

// Ending is how an answer tells where it ends.
type Ending string

const (
	// Framed is by a length or a last chunk.
	Framed Ending = "framed"
	// UntilClose is by the end of the connection alone.
	UntilClose Ending = "until_close"
	// Truncated is as UntilClose, but the connection is closed in the middle: of an event, if
	// the answer is a stream, after the first one.
	Truncated Ending = "cut_off"
)

// EndingFor returns how an answer to an attempt ends by a function that may be nil.
func EndingFor(f func(attempt string) Ending, attempt string) Ending {
	if f == nil {
		return Framed
	}
	return f(attempt)
}

// SetFraming has an answer whose head is not yet written be framed as it ends.
func (e Ending) SetFraming(w http.ResponseWriter) {
	if e == UntilClose || e == Truncated {
		// The library sends neither a length nor chunks, and not this header.
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// Truncate returns how much of a body is sent, or of the event in which a stream ends.
func (e Ending) Truncate(body []byte) []byte {
	if e == Truncated {
		return body[:len(body)/2]
	}
	return body
}
