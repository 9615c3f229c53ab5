// Package relay reads an engine's answer to its end, decides what is known of that end, and
// passes the answer on so that its caller can know the same.
package relay

import (
	"net/http"
	"strconv"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/events"
)

// Config sets up a Reply.
type Config struct {
	W http.ResponseWriter
	R *http.Request
	// SetHeaders sets the headers that go before an engine's answer, or a failure of our own if
	// from is nil. It is called once, before the head is written.
	SetHeaders func(to, from http.Header)
	Clock      *clock.Clock
}

// Reply is the answer to a caller. It is that of one engine, unless a stream is taken up at
// another.
type Reply struct {
	cfg Config
	rc  *http.ResponseController
	// status is zero until the head is written.
	status int
	// framed is how the reply is framed, "" until the head is written.
	framed framing.Framing
	// streams is true once events were written, which those of another engine may follow.
	streams bool
	// brokenOff is true once the reply can only be broken off.
	brokenOff bool
	// split holds what the caller has of a stream.
	split events.Splitter
	// unsent is true while the library may hold something that was written.
	unsent bool
	// observed is what is known of the latest engine's answer.
	observed Observed

	// bytes counts those of the body; firstAt and lastAt are when the first and the latest
	// of them were written, and pause is the longest time between two writes.
	bytes           int64
	firstAt, lastAt clock.Millis
	pause           clock.Millis
}

// Observed is what is known of an engine's answer.
type Observed struct {
	// Framing is "" before the answer began.
	Framing framing.Framing
	// End is "" before the answer has ended.
	End framing.End
	// PartialBytes is the number of bytes of the event within which a stream ended.
	PartialBytes int
}

// New returns a reply that has not begun.
func New(cfg Config) *Reply {
	return &Reply{cfg: cfg, rc: http.NewResponseController(cfg.W)}
}

// Started reports whether the head has been written.
func (p *Reply) Started() bool { return p.status != 0 }

// Status returns the status, 0 before the head was written.
func (p *Reply) Status() int { return p.status }

// CanContinue reports whether another engine's answer may be the reply, or the rest of it.
func (p *Reply) CanContinue() bool { return !p.Started() || p.streams && p.split.Numbered() }

// MarkAborted has the reply be broken off when its handler ends.
func (p *Reply) MarkAborted() { p.brokenOff = true }

// Aborted reports whether the reply must be broken off.
func (p *Reply) Aborted() bool { return p.brokenOff }

// Observed returns what is known of the latest engine's answer.
func (p *Reply) Observed() Observed { return p.observed }

// EndForCaller returns what the caller can know of the end of the reply, "" before it began.
func (p *Reply) EndForCaller() framing.End {
	switch {
	case !p.Started():
		return ""
	case p.brokenOff:
		return framing.Incomplete
	case p.framed == framing.UntilClose:
		return framing.Closed
	}
	return framing.Complete
}

// LastEventID returns the id of the latest whole event that was passed on, or "".
func (p *Reply) LastEventID() string { return p.split.LastID() }

// BytesWritten returns how many bytes of the body were written.
func (p *Reply) BytesWritten() int64 { return p.bytes }

// FirstAt returns when the first bytes of the body were written, 0 if none were.
func (p *Reply) FirstAt() clock.Millis { return p.firstAt }

// LastAt returns when the latest bytes of the body were written, 0 if none were.
func (p *Reply) LastAt() clock.Millis { return p.lastAt }

// LongestPause returns the longest time between two writes.
func (p *Reply) LongestPause() clock.Millis { return p.pause }

// WriteBuffered writes an answer that was held until its end.
func (p *Reply) WriteBuffered(h *attempt.Held) {
	f := framing.Length
	if h.End == framing.Closed {
		f = framing.UntilClose
	}
	length := int64(len(h.Body))
	if p.cfg.R.Method == http.MethodHead {
		// The length of what was asked about.
		n, err := strconv.ParseInt(h.Header.Get("Content-Length"), 10, 64)
		if length = n; err != nil {
			f = framing.Chunked
		}
	}
	p.begin(h.Status, h.Header, f, length)
	// A caller that is gone needs no answer; the count of bytes shows it.
	_ = p.write(h.Body)
}

// WriteFailure writes a failure of our own, whose headers are already set.
func (p *Reply) WriteFailure(status int, body []byte) {
	p.begin(status, nil, framing.Length, int64(len(body)))
	// A caller that is gone needs no answer.
	_ = p.write(body)
}

// begin writes the head. The length is that of the body if the reply is framed by it.
func (p *Reply) begin(status int, from http.Header, f framing.Framing, length int64) {
	p.cfg.SetHeaders(p.cfg.W.Header(), from)
	switch f {
	case framing.Length:
		p.cfg.W.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	case framing.UntilClose:
		callers.UntilClose(p.cfg.W, p.cfg.R)
	case framing.Chunked:
	}
	p.status, p.framed = status, callers.Framing(p.cfg.W, p.cfg.R)
	p.cfg.W.WriteHeader(status)
}

// flush sends what was written and reports whether the caller may still take more.
func (p *Reply) flush() bool {
	if !p.unsent {
		return true
	}
	p.unsent = false
	return p.rc.Flush() == nil
}

// write writes bytes of the body.
func (p *Reply) write(b []byte) error {
	p.unsent = true
	n, err := p.cfg.W.Write(b)
	if n == 0 {
		return err
	}
	now := p.cfg.Clock.Now()
	if p.bytes == 0 {
		p.firstAt = now
	} else {
		p.pause = max(p.pause, now-p.lastAt)
	}
	p.lastAt = now
	p.bytes += int64(n)
	return err
}
