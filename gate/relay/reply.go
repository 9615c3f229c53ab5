// Package relay reads the response of an engine to its end, determines whether it is
// complete, and passes it on in a way that lets the caller know the same.
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

// Config configures a Reply.
type Config struct {
	W http.ResponseWriter
	R *http.Request
	// SetHeaders sets the headers of the reply from those of the engine's response. from is
	// nil for a failure of this process. It is called once, before the header is written.
	SetHeaders func(to, from http.Header)
	Clock      *clock.Clock
}

// Reply is the response to a caller. It comes from one engine, unless a stream is continued
// by another one.
type Reply struct {
	cfg Config
	rc  *http.ResponseController
	// status is zero until the header is written.
	status int
	// framing is the framing of the reply, "" until the header is written.
	framing framing.Framing
	// streaming is true once events were written, so that events of another engine may follow.
	streaming bool
	// aborted is true once the reply can only be aborted.
	aborted bool
	// splitter tracks the events that the caller has received.
	splitter events.Splitter
	// unsent is true while net/http may buffer written data.
	unsent bool
	// observed describes the response of the latest engine.
	observed Observed

	// bytes is the number of body bytes written. firstAt and lastAt are when the first and
	// the latest of them were written. pause is the longest time between two writes.
	bytes           int64
	firstAt, lastAt clock.Millis
	pause           clock.Millis
}

// Observed describes the response of an engine.
type Observed struct {
	// Framing is "" before the response has begun.
	Framing framing.Framing
	// End is "" before the response has ended.
	End framing.Completeness
	// PartialBytes is the number of bytes of an event that a stream ended within.
	PartialBytes int
}

// New returns a reply that has not begun.
func New(cfg Config) *Reply {
	return &Reply{cfg: cfg, rc: http.NewResponseController(cfg.W)}
}

// Started reports whether the header has been written.
func (p *Reply) Started() bool { return p.status != 0 }

// Status returns the status code, 0 before the header is written.
func (p *Reply) Status() int { return p.status }

// CanContinue reports whether the response of another engine may become the reply or the
// rest of it.
func (p *Reply) CanContinue() bool { return !p.Started() || p.streaming && p.splitter.Resumable() }

// MarkAborted marks the reply to be aborted when its handler returns.
func (p *Reply) MarkAborted() { p.aborted = true }

// Aborted reports whether the reply must be aborted.
func (p *Reply) Aborted() bool { return p.aborted }

// Observed describes the response of the latest engine.
func (p *Reply) Observed() Observed { return p.observed }

// EndForCaller returns how the reply ends from the caller's point of view, "" before it has
// begun.
func (p *Reply) EndForCaller() framing.Completeness {
	switch {
	case !p.Started():
		return ""
	case p.aborted:
		return framing.Incomplete
	case p.framing == framing.UntilClose:
		return framing.Closed
	}
	return framing.Complete
}

// LastEventID returns the ID of the latest complete event that was passed on, or "".
func (p *Reply) LastEventID() string { return p.splitter.LastID() }

// BytesWritten returns the number of body bytes written.
func (p *Reply) BytesWritten() int64 { return p.bytes }

// FirstAt returns when the first body bytes were written, 0 if none were.
func (p *Reply) FirstAt() clock.Millis { return p.firstAt }

// LastAt returns when the latest body bytes were written, 0 if none were.
func (p *Reply) LastAt() clock.Millis { return p.lastAt }

// LongestPause returns the longest time between two writes of the body.
func (p *Reply) LongestPause() clock.Millis { return p.pause }

// WriteBuffered writes a response that was buffered until its end.
func (p *Reply) WriteBuffered(h *attempt.BufferedResponse) {
	f := framing.Length
	if h.End == framing.Closed {
		f = framing.UntilClose
	}
	length := int64(len(h.Body))
	if p.cfg.R.Method == http.MethodHead {
		// The length of the resource, whose body is not sent.
		n, err := strconv.ParseInt(h.Header.Get("Content-Length"), 10, 64)
		if length = n; err != nil {
			f = framing.Chunked
		}
	}
	p.begin(h.Status, h.Header, f, length)
	// The caller may have gone; the number of bytes written shows it.
	_ = p.write(h.Body)
}

// WriteFailure writes a failure of this process, whose headers are already set.
func (p *Reply) WriteFailure(status int, body []byte) {
	p.begin(status, nil, framing.Length, int64(len(body)))
	// The caller may have gone.
	_ = p.write(body)
}

// begin writes the header. length is the length of the body if the reply is framed by it.
func (p *Reply) begin(status int, from http.Header, f framing.Framing, length int64) {
	p.cfg.SetHeaders(p.cfg.W.Header(), from)
	switch f {
	case framing.Length:
		p.cfg.W.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	case framing.UntilClose:
		callers.SetUntilClose(p.cfg.W, p.cfg.R)
	case framing.Chunked:
	}
	p.status, p.framing = status, callers.ResponseFraming(p.cfg.W, p.cfg.R)
	p.cfg.W.WriteHeader(status)
}

// flush sends buffered data and reports whether the caller still accepts it.
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
