package relay

import (
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
	// bufferLimit is the maximum size in bytes of a response that is buffered until its end,
	// so that a failure can be returned if it breaks off. Larger responses are passed on as
	// they arrive.
	bufferLimit = 256 << 10
	// firstBuffer is the size in bytes of the buffer that most of these responses fit into.
	firstBuffer = 4 << 10
	// bufferSize is the size in bytes of the buffer for data that is passed on as it arrives.
	bufferSize = 8 << 10
)

// Body is the body of an engine's response.
type Body interface {
	// Read returns io.EOF at the end given by the framing of the body, or at the end of the
	// connection if it has no framing.
	io.Reader
	// Buffered returns how many bytes can be read without waiting.
	Buffered() int
	// SetReadTimeout sets the time within which the next bytes must arrive.
	SetReadTimeout(d clock.Millis)
}

// Exchange is the exchange with an engine that a response belongs to.
type Exchange interface {
	// WantsStream reports whether the response should be a stream of events.
	WantsStream() bool
	// TimeLeft returns how long the caller still waits.
	TimeLeft() clock.Millis
	// ReadTimeout returns how long the engine may take for the next bytes of a stream, zero if
	// its time is over.
	ReadTimeout() clock.Millis
	// OnRead is called when bytes of a stream have arrived.
	OnRead()
	// BeforeEvents is called before events are written, or the end of a stream. The events
	// are discarded if it returns an error.
	BeforeEvents(ctx context.Context) error
	// OnEvents is called before events are written, with the total number of events so far in
	// the responses of all engines.
	OnEvents(events int)
	// OnContent is called when events with content have arrived, rather than comments or empty
	// lines alone.
	OnContent()
	// OnUnbuffered is called when a response is too large to be buffered.
	OnUnbuffered()
}

// Streams that are reported as broken, though their framing does not show it.
var (
	// errInsideEvent means that a stream ended within an event, whatever its framing says.
	errInsideEvent = fmt.Errorf("the stream ended within an event: %w", io.ErrUnexpectedEOF)
	// errTooLong means that an event is too large to be buffered.
	errTooLong = errors.New("the event is too large to buffer")
	// ErrEndUnconfirmed means that the engine that continued a stream did not mark its end,
	// while the framing of the reply has an end mark. It is no fault of the engine.
	ErrEndUnconfirmed = errors.New("the continued stream ended with its connection, without an end mark")
)

// Relay reads a response to its end and passes it on. The reply begins as late as possible,
// so that a response that breaks off early can be reported as a failure or retried
// elsewhere.
func (p *Reply) Relay(ctx context.Context, x Exchange, resp *http.Response, body Body) attempt.Outcome {
	p.observed = Observed{Framing: framing.OfResponse(resp)}
	switch {
	case x.WantsStream() && resp.StatusCode == http.StatusOK && hasEvents(resp.Header):
		return p.relayStream(ctx, x, resp, body)
	case p.Started():
		return attempt.Broken{Err: fmt.Errorf("status %d in response to the continuation of a stream", resp.StatusCode)}
	}
	return p.relayBuffered(ctx, x, resp, body)
}

// hasEvents reports whether the body is a stream of events that can be parsed.
func hasEvents(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	coding := h.Get("Content-Encoding")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") && (coding == "" || strings.EqualFold(coding, "identity"))
}

// relayBuffered buffers a response until it has ended.
func (p *Reply) relayBuffered(ctx context.Context, x Exchange, resp *http.Response, body Body) attempt.Outcome {
	buf, err := readBuffered(body)
	if err == nil {
		return p.relayUnbuffered(ctx, x, resp, body, buf)
	}
	if p.end(err); !errors.Is(err, io.EOF) {
		return brokenOrGone(ctx, err)
	}
	h := &attempt.BufferedResponse{Status: resp.StatusCode, Header: resp.Header, Body: buf, End: p.observed.End}
	switch {
	case impliesNotRun(resp.StatusCode):
		return attempt.Broken{Err: fmt.Errorf("status %d without the header that says that the request did not run", resp.StatusCode)}
	case resp.StatusCode >= http.StatusInternalServerError:
		return attempt.Failed{Response: h}
	}
	p.WriteBuffered(h)
	return attempt.Answered{End: h.End}
}

// readBuffered reads bufferLimit bytes, or less and the error that ended reading. Unlike a
// bytes.Buffer, it never allocates more than bufferLimit.
func readBuffered(r io.Reader) ([]byte, error) {
	buf := make([]byte, 0, firstBuffer)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) == bufferLimit {
				return buf, nil
			}
			grown := make([]byte, len(buf), min(4*cap(buf), bufferLimit))
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		if buf = buf[:len(buf)+n]; err != nil {
			return buf, err
		}
	}
}

// impliesNotRun reports whether callers take the status as a promise that the request did
// not run and never will. Only an engine that marks its response so can make that promise.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// relayUnbuffered passes on a response that is too large to be buffered.
func (p *Reply) relayUnbuffered(ctx context.Context, x Exchange, resp *http.Response, body Body, first []byte) attempt.Outcome {
	x.OnUnbuffered()
	p.begin(resp.StatusCode, resp.Header, p.observed.Framing, resp.ContentLength)
	// The timeout for the header no longer applies: the request cannot be retried any more,
	// and the caller may be slow.
	body.SetReadTimeout(x.TimeLeft())
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
		// Pass on what has arrived, whatever happens to the rest.
		_ = p.flush()
		return brokenOrGone(ctx, err)
	}
}

// relayStream passes on complete events as they arrive. Nothing is written before the first
// complete event, so that a stream that breaks off earlier can be reported as a failure or
// retried elsewhere.
func (p *Reply) relayStream(ctx context.Context, x Exchange, resp *http.Response, body Body) attempt.Outcome {
	buf := make([]byte, bufferSize)
	for {
		body.SetReadTimeout(x.ReadTimeout())
		n, err := body.Read(buf)
		if n > 0 {
			x.OnRead()
		}
		content := p.splitter.ContentCount()
		complete, ok := p.splitter.Split(buf[:n])
		if p.splitter.ContentCount() > content {
			x.OnContent()
		}
		if !ok {
			err = errTooLong
		}
		if err != nil {
			err = p.endStream(err)
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			// The rest can only be empty lines and comments.
			complete = append(complete, p.splitter.Pending()...)
		}
		if err != nil {
			p.splitter.DropPending()
		}
		if len(complete) > 0 || ended {
			if err := x.BeforeEvents(ctx); err != nil {
				p.splitter.DropUnpassed()
				return attempt.Broken{Err: err}
			}
			if !p.passEvents(x, resp, complete) {
				return attempt.CallerGone{}
			}
			p.splitter.MarkPassed()
		}
		if (err != nil || body.Buffered() == 0) && !p.flush() {
			return attempt.CallerGone{}
		}
		switch {
		case ended:
			return attempt.Answered{End: p.observed.End}
		case err != nil:
			return brokenOrGone(ctx, err)
		}
	}
}

// endStream records the end of a stream and returns io.EOF if the reply may end, too.
func (p *Reply) endStream(err error) error {
	p.end(err)
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case p.splitter.MidEvent():
		return errInsideEvent
	case p.observed.End == framing.Closed && p.framing == framing.Chunked:
		return ErrEndUnconfirmed
	}
	return io.EOF
}

// end records how a response ended from the error that ended reading it.
func (p *Reply) end(err error) {
	p.observed.End = p.observed.Framing.Completeness(err)
	if p.splitter.MidEvent() {
		p.observed.End, p.observed.PartialBytes = framing.Incomplete, len(p.splitter.Pending())
	}
}

// passEvents writes events and reports whether the caller still accepts data.
func (p *Reply) passEvents(x Exchange, resp *http.Response, complete []byte) bool {
	if !p.Started() {
		f := framing.Chunked
		if p.observed.Framing == framing.UntilClose {
			f = framing.UntilClose
		}
		p.begin(resp.StatusCode, resp.Header, f, 0)
		p.streaming = true
	}
	x.OnEvents(p.splitter.Count())
	return p.write(complete) == nil
}

// brokenOrGone returns the outcome of a failed read.
func brokenOrGone(ctx context.Context, err error) attempt.Outcome {
	if ctx.Err() != nil {
		return attempt.CallerGone{}
	}
	return attempt.Broken{Err: err}
}
