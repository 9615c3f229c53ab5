package engine

import "net/http"

// Ending is how a response ends.
type Ending string

const (
	// Framed responses have a length or a last chunk.
	Framed Ending = "framed"
	// UntilClose responses end with their connection.
	UntilClose Ending = "until_close"
	// Truncated responses are like UntilClose, but the connection is closed halfway through
	// the body, or halfway through the second event of a stream.
	Truncated Ending = "cut_off"
)

// EndingFor returns the ending that f gives for an attempt, Framed if f is nil.
func EndingFor(f func(attempt string) Ending, attempt string) Ending {
	if f == nil {
		return Framed
	}
	return f(attempt)
}

// SetFraming prepares the framing of a response. It must be called before the header is written.
func (e Ending) SetFraming(w http.ResponseWriter) {
	if e == UntilClose || e == Truncated {
		// With this value net/http sends neither a length nor chunks, and omits the
		// header.
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// Truncate returns the part of a body, or of a later event of a stream, that is sent.
func (e Ending) Truncate(body []byte) []byte {
	if e == Truncated {
		return body[:len(body)/2]
	}
	return body
}
