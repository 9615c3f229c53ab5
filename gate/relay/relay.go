package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines/attempt"
)

const (
	// plainLimit is the largest answer in bytes that is held until it has ended, so that
	// one that breaks off can be told as a failure. A larger one is passed on as it comes.
	plainLimit = 256 << 10
	// bufferSize is the size of the buffer for what is passed on as it comes, in bytes.
	bufferSize = 8 << 10
)

// Body is the body of an engine's answer.
type Body interface {
	// Read returns io.EOF where the body ends by its framing, or with its connection if it
	// has none.
	io.Reader
	// Buffered returns how many bytes can be read at once.
	Buffered() int
	// Limit sets the time by which the next bytes must come.
	Limit(d clock.Millis)
}

// Exchange is the exchange with an engine of which an answer is part.
type Exchange interface {
	// WantsStream reports whether the answer is to be a stream of events.
	WantsStream() bool
	// TimeLeft returns how long the caller waits.
	TimeLeft() clock.Millis
	// ReadTimeout returns how long the engine may take for the next bytes of a stream.
	ReadTimeout() clock.Millis
	// OnRead is called when bytes of a stream have come.
	OnRead()
	// OnEvents is called before events are written, with how many have come in all engines'
	// answers.
	OnEvents(events int)
	// OnUnbuffered is called when an answer turns out to be too long to be held.
	OnUnbuffered()
}

// Ends of streams that are told as broken off, though their framing does not say so.
var (
	// errInsideEvent means that the engine broke the stream off, whatever its framing says.
	errInsideEvent = fmt.Errorf("the stream ends inside an event: %w", io.ErrUnexpectedEOF)
	// errTooLong means that an event is too long to be held until it is whole.
	errTooLong = errors.New("an event without an end")
	// ErrEndUnconfirmed means that the engine that took up a stream did not say that it is
	// complete, where the reply has begun as one that says so. It is no fault of the engine.
	ErrEndUnconfirmed = errors.New("the rest of the stream ends with its connection")
)

// Relay reads an answer to its end and passes it on. The reply begins as late as it can, so
// that an answer that breaks off early can be told as a failure or taken elsewhere.
func (p *Reply) Relay(ctx context.Context, x Exchange, head *http.Response, body Body) attempt.Outcome {
	p.observed = Observed{Framing: framing.Of(head)}
	switch {
	case x.WantsStream() && head.StatusCode == http.StatusOK && hasEvents(head.Header):
		return p.relayStream(ctx, x, head, body)
	case p.Started():
		return attempt.Broken{Err: fmt.Errorf("status %d in place of the rest of a stream", head.StatusCode)}
	}
	return p.relayPlain(ctx, x, head, body)
}

// hasEvents reports whether a body is a stream of events that can be read.
func hasEvents(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	coding := h.Get("Content-Encoding")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") && (coding == "" || strings.EqualFold(coding, "identity"))
}

// relayPlain holds an answer until it has ended.
func (p *Reply) relayPlain(ctx context.Context, x Exchange, head *http.Response, body Body) attempt.Outcome {
	var held bytes.Buffer
	_, err := io.CopyN(&held, body, plainLimit)
	if err == nil {
		return p.relayLong(ctx, x, head, body, held.Bytes())
	}
	if p.end(err); !errors.Is(err, io.EOF) {
		return brokenOr(ctx, err)
	}
	h := &attempt.Held{Status: head.StatusCode, Header: head.Header, Body: held.Bytes(), End: p.observed.End}
	switch {
	case promises(head.StatusCode):
		return attempt.Broken{Err: fmt.Errorf("status %d without word that the request did not run", head.StatusCode)}
	case head.StatusCode >= http.StatusInternalServerError:
		return attempt.Failed{Answer: h}
	}
	p.WriteBuffered(h)
	return attempt.Answered{End: h.End}
}

// promises reports whether callers take a status for "has not run and never
// will", which only an engine's own word can back.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayLong passes on an answer that is too long to be held.
func (p *Reply) relayLong(ctx context.Context, x Exchange, head *http.Response, body Body, first []byte) attempt.Outcome {
	x.OnUnbuffered()
	p.begin(head.StatusCode, head.Header, p.observed.Framing, head.ContentLength)
	// The head's limit no longer holds: nothing can be taken elsewhere now, and
	// the caller may be slow.
	body.Limit(x.TimeLeft())
	if err := p.write(first); err != nil {
		return attempt.CallerGone{}
	}
	buf := make([]byte, bufferSize)
	for {
		n, err := body.Read(buf)
		if werr := p.write(buf[:n]); werr != nil {
			return attempt.CallerGone{}
		}
		if err == nil {
			continue
		}
		if p.end(err); errors.Is(err, io.EOF) {
			return attempt.Answered{End: p.observed.End}
		}
		// The caller may have what has come, whatever becomes of the rest.
		_ = p.flush()
		return brokenOr(ctx, err)
	}
}

// relayStream passes whole events on as they come. Nothing is written before
// the first of them, so that a stream that breaks off before it can be
// answered as a failure or taken elsewhere.
func (p *Reply) relayStream(ctx context.Context, x Exchange, head *http.Response, body Body) attempt.Outcome {
	buf := make([]byte, bufferSize)
	for {
		body.Limit(x.ReadTimeout())
		n, err := body.Read(buf)
		if n > 0 {
			x.OnRead()
		}
		whole, ok := p.split.Add(buf[:n])
		if !ok {
			err = errTooLong
		}
		if err != nil {
			err = p.endStream(err)
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			// Empty lines and comments.
			whole = append(whole, p.split.Pending()...)
		}
		if err != nil {
			p.split.Drop()
		}
		if (len(whole) > 0 || ended) && !p.passEvents(x, head, whole) {
			return attempt.CallerGone{}
		}
		if (err != nil || body.Buffered() == 0) && !p.flush() {
			return attempt.CallerGone{}
		}
		switch {
		case ended:
			return attempt.Answered{End: p.observed.End}
		case err != nil:
			return brokenOr(ctx, err)
		}
	}
}

// endStream records the end of a stream and returns io.EOF if the reply may end, too.
func (p *Reply) endStream(err error) error {
	p.end(err)
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case p.split.Inside():
		return errInsideEvent
	case p.observed.End == framing.Closed && p.framed == framing.Chunked:
		return ErrEndUnconfirmed
	}
	return io.EOF
}

// end records what is known of an answer by the error that ended its reading.
func (p *Reply) end(err error) {
	p.observed.End = p.observed.Framing.End(err)
	if p.split.Inside() {
		p.observed.End, p.observed.PartialBytes = framing.Incomplete, len(p.split.Pending())
	}
}

// passEvents writes events and reports whether the caller may still take more.
func (p *Reply) passEvents(x Exchange, head *http.Response, whole []byte) bool {
	if !p.Started() {
		f := framing.Chunked
		if p.observed.Framing == framing.UntilClose {
			f = framing.UntilClose
		}
		p.begin(head.StatusCode, head.Header, f, 0)
		p.streams = true
	}
	x.OnEvents(p.split.Count())
	return p.write(whole) == nil
}

// brokenOr is the outcome of a read that failed.
func brokenOr(ctx context.Context, err error) attempt.Outcome {
	if ctx.Err() != nil {
		return attempt.CallerGone{}
	}
	return attempt.Broken{Err: err}
}
