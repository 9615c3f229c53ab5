package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/table"
)

const (
	// plainLimit is the largest answer in bytes that is held until it is
	// whole, so that one that breaks off can be told as a failure. A larger
	// one is passed on as it comes.
	plainLimit = 256 << 10
	// relayBuffer is the size of the buffer for a stream, in bytes.
	relayBuffer = 8 << 10
	// drainLimit bounds what is read of an answer that nobody wants, in bytes.
	drainLimit = 64 << 10
	// resumeSilence is how long a resumable stream may at least pause before it
	// is taken up elsewhere: under the two seconds after which callers abandon
	// a stream.
	resumeSilence clock.Millis = 1000
	// resumePauses is how many of the longest pauses that are on time it may
	// pause; callers abandon it after eight.
	resumePauses = 2.5
)

// drain reads the rest of an answer, so that its connection can be kept.
func drain(a *upstream.Answer) {
	// An answer that cannot be read to its end costs its connection.
	_, _ = io.CopyN(io.Discard, a, drainLimit)
}

// relay passes the answer on to the caller.
func (g *Gate) relay(ctx context.Context, c *call, e engines.Info, a *upstream.Answer) attempt.Outcome {
	c.framed, c.ended, c.partial = a.Framing(), "", 0
	mediaType, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	if a.StatusCode == http.StatusOK && c.route.Kind == table.Stream && strings.TrimSpace(mediaType) == "text/event-stream" {
		return g.relayStream(ctx, c, e, a)
	}
	if c.began {
		return attempt.Broken{Err: fmt.Errorf("status %d in place of the rest of a stream", a.StatusCode)}
	}
	return g.relayPlain(ctx, c, a)
}

// relayPlain holds an answer until it is whole.
func (g *Gate) relayPlain(ctx context.Context, c *call, a *upstream.Answer) attempt.Outcome {
	var body bytes.Buffer
	_, err := io.CopyN(&body, a, plainLimit)
	if err == nil {
		return g.relayLong(ctx, c, a, body.Bytes())
	}
	if c.noteEnd(err); !errors.Is(err, io.EOF) {
		return brokenOr(ctx, err)
	}
	h := &attempt.Held{Status: a.StatusCode, Header: a.Header, Body: body.Bytes(), End: c.ended}
	switch {
	case promises(a.StatusCode):
		return attempt.Broken{Err: fmt.Errorf("status %d without word that the request did not run", a.StatusCode)}
	case a.StatusCode >= http.StatusInternalServerError:
		return attempt.Failed{Answer: h}
	}
	g.pass(c, h)
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

// brokenOr is the outcome of a read that failed.
func brokenOr(ctx context.Context, err error) attempt.Outcome {
	if ctx.Err() != nil {
		return attempt.CallerGone{}
	}
	return attempt.Broken{Err: err}
}

// pass writes an answer that was held to the caller.
func (g *Gate) pass(c *call, h *attempt.Held) {
	g.copyHead(c, h.Header)
	if h.End == framing.Closed {
		callers.UntilClose(c.w)
	} else {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(h.Body)))
	}
	g.begin(c, h.Status)
	// A caller that is gone needs no answer; the account shows the bytes.
	_ = c.write(h.Body, g.clk.Now())
}

// relayLong passes on an answer that is too long to be held.
func (g *Gate) relayLong(ctx context.Context, c *call, a *upstream.Answer, first []byte) attempt.Outcome {
	g.durations.Long(c.route.Name)
	g.copyHead(c, a.Header)
	switch c.framed {
	case framing.Length:
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	case framing.UntilClose:
		callers.UntilClose(c.w)
	case framing.Chunked:
	}
	g.begin(c, a.StatusCode)
	// The head's limit no longer holds: nothing can be taken elsewhere now, and
	// the caller may be slow.
	a.Limit(c.left(g.clk.Now()))
	if err := c.write(first, g.clk.Now()); err != nil {
		return attempt.CallerGone{}
	}
	buf := make([]byte, relayBuffer)
	for {
		n, err := a.Read(buf)
		if werr := c.write(buf[:n], g.clk.Now()); werr != nil {
			return attempt.CallerGone{}
		}
		if err == nil {
			continue
		}
		if c.noteEnd(err); errors.Is(err, io.EOF) {
			return attempt.Answered{End: c.ended}
		}
		return brokenOr(ctx, err)
	}
}

// relayStream passes whole events on as they come. Nothing is written before
// the first of them, so that a stream that breaks off before it can be
// answered as a failure or taken elsewhere.
func (g *Gate) relayStream(ctx context.Context, c *call, e engines.Info, a *upstream.Answer) attempt.Outcome {
	buf := make([]byte, relayBuffer)
	for {
		a.Limit(g.streamLimit(c))
		n, err := a.Read(buf)
		if n > 0 {
			g.heard(e.Incarnation(), "")
		}
		whole, ok := c.split.Add(buf[:n])
		if !ok {
			return attempt.Broken{Err: errors.New("an event without an end")}
		}
		if err != nil {
			c.noteEnd(err)
		}
		ended := errors.Is(err, io.EOF)
		if ended && c.split.Inside() {
			ended, err = false, errInsideEvent
		}
		if ended && c.ended == framing.Closed && c.told == framing.Chunked {
			ended, err = false, errUnconfirmed
		}
		if ended {
			whole = append(whole, c.split.Pending()...)
			c.split.Drop()
		}
		if len(whole) > 0 || ended {
			if !g.passEvents(c, a, whole, a.Buffered() == 0 || err != nil) {
				return attempt.CallerGone{}
			}
		}
		if ended {
			g.learnRest(c)
			return attempt.Answered{End: c.ended}
		}
		if err != nil {
			c.split.Drop()
			return brokenOr(ctx, err)
		}
	}
}

// Ends of streams that are told as broken off, though their framing does not say so.
var (
	// errInsideEvent means that the engine broke the stream off, whatever its framing says.
	errInsideEvent = fmt.Errorf("the stream ends inside an event: %w", io.ErrUnexpectedEOF)
	// errUnconfirmed means that the engine that took up a stream did not say that it is
	// complete. The caller's message began as one that says so.
	errUnconfirmed = fmt.Errorf("the rest of the stream ends with its connection: %w", io.ErrUnexpectedEOF)
)

// streamLimit is how long the engine may take for its next bytes.
func (g *Gate) streamLimit(c *call) clock.Millis {
	left := c.left(g.clk.Now())
	if c.route.Repeatable() && c.ran < c.route.Attempts {
		return min(left, max(resumeSilence, clock.Millis(resumePauses*float64(c.route.PauseGoal))))
	}
	return left
}

// passEvents writes events and reports whether the caller took them.
func (g *Gate) passEvents(c *call, a *upstream.Answer, whole []byte, flush bool) bool {
	if !c.began {
		g.copyHead(c, a.Header)
		if c.framed == framing.UntilClose {
			callers.UntilClose(c.w)
		}
		g.begin(c, a.StatusCode)
	}
	now := g.clk.Now()
	g.learnPace(c, now)
	if err := c.write(whole, now); err != nil {
		return false
	}
	return !flush || c.rc.Flush() == nil
}

// learnPace records when the first event came, and how long each run of events
// took.
func (g *Gate) learnPace(c *call, now clock.Millis) {
	n := c.split.Count()
	switch {
	case n == 0:
		return
	case c.runFrom == 0:
		g.durations.First(c.route.Name, now-c.start)
		g.learnReading(c, now)
	case n-c.runFrom < duration.Run:
		return
	default:
		g.durations.Pace(c.route.Name, c.expected.Service, duration.Run*(now-c.runAt)/clock.Millis(n-c.runFrom))
	}
	c.runFrom, c.runAt = n, now
}

// learnRest records how long the events took that came after the last run.
func (g *Gate) learnRest(c *call) {
	if n := c.split.Count() - c.runFrom; c.runFrom > 0 && n > 0 {
		g.durations.Rest(c.route.Name, c.expected.Service, n, c.lastAt-c.runAt)
	}
}

// copyHead sets the engine's headers on the answer.
func (g *Gate) copyHead(c *call, from http.Header) {
	dropped := connectionNames(from)
	to := c.w.Header()
	for k, v := range from {
		if !hopByHop[k] && !g.internal[k] && !dropped[k] {
			to[k] = v
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// Without it the library would guess one.
		to["Content-Type"] = nil
	}
}

// begin writes the head of the answer.
func (g *Gate) begin(c *call, status int) {
	c.began, c.status, c.told = true, status, callers.Framing(c.w, c.r)
	if g.leave.begun() {
		c.w.Header().Set("Connection", "close")
	}
	c.bound(g.clk.Now())
	c.w.WriteHeader(status)
}
