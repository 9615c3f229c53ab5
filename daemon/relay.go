package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/common/whole"
	"github.com/weldfall/weldfall/daemon/target"
	"github.com/weldfall/weldfall/engines/events"
	"github.com/weldfall/weldfall/link/wire"
	"github.com/weldfall/weldfall/verdict"
)

const (
	// maxResumes limits the tries to resume a response after the connection broke.
	maxResumes = 5
	// resumeBackoff is the base of the exponential delay between these tries.
	resumeBackoff clock.Millis = 50
	// maxPlainResponse limits a plain chat response, in bytes.
	maxPlainResponse = 32 << 20
	// plainBuffer is the size in bytes of a plain chat response that is read to its end before it
	// is passed on, so that it can be requested again if its connection breaks. A larger one is
	// passed on as it arrives.
	plainBuffer = 128 << 10
	// maxQuoted limits what is quoted of an error response, in bytes.
	maxQuoted = 1 << 10
	// chunkBytes is the size of the frames of a response that is not a stream.
	chunkBytes = 32 << 10
)

// relay sends an attempt to the engine, converts the response to frames and returns the
// result of the attempt.
func (e *engine) relay(a *attempt) wire.Result {
	r := a.run
	req := target.Request{
		Attempt: strconv.FormatUint(r.Attempt, 16), Key: r.Request, Priority: r.Priority,
		Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, AtMostOnce: r.Once != nil,
	}
	if r.Chat != 0 {
		req.CacheKey = strconv.FormatUint(r.Chat, 16)
	}
	res, err := e.client.Do(a.ctx, req)
	if errors.Is(err, target.ErrNotSent) {
		return wire.Result{Verdict: verdict.NotRun, Reason: verdict.Unreachable, Refused: true, Message: err.Error()}
	}
	if err != nil && r.Chat != 0 {
		// The engine may have received the request, so its response may be available.
		res, err = e.resume(a, 0, !r.Stream, 1)
	}
	if err != nil {
		return e.failedResult(a, err)
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case r.Chat == 0:
		return e.relayService(a, res)
	case res.StatusCode != http.StatusOK:
		return e.relayError(a, res)
	case r.Stream:
		return e.relayStream(a, res)
	default:
		return e.relayPlain(a, res)
	}
}

// failedResult returns the result of an attempt that was sent and whose response is lost.
func (e *engine) failedResult(a *attempt, err error) wire.Result {
	if a.ctx.Err() != nil {
		return wire.Result{Verdict: verdict.MayHaveRun, Reason: verdict.CallerGone, Message: "request was canceled while it ran"}
	}
	return wire.Result{
		Verdict: verdict.MayHaveRun, Reason: verdict.EngineFailed, Message: fmt.Sprintf("engine %s: %v", e.id, err), EndedIncarnation: e.endedIncarnation(err),
	}
}

// endedIncarnation returns the hash of the engine's incarnation if it has ended, or zero.
// An engine that no longer knows an attempt has restarted.
func (e *engine) endedIncarnation(err error) uint32 {
	if !errors.Is(err, target.ErrExited) && !errors.Is(err, target.ErrUnknownAttempt) && !e.client.Exited(context.Background()) {
		return 0
	}
	return e.incarnations.recordEnd(e.clk.Now())
}

// relayedHeaders are the response headers that are passed to the caller.
var relayedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control"}

// newHead returns the head of a response with the relayed headers and the current loads.
func (e *engine) newHead(res *http.Response) *wire.Head {
	h := map[string]string{}
	for _, name := range relayedHeaders {
		if v := res.Header.Get(name); v != "" {
			h[name] = v
		}
	}
	return &wire.Head{Status: res.StatusCode, Header: h, Loads: e.loads()}
}

// relayService relays the response of a plain service as it arrives.
func (e *engine) relayService(a *attempt, res *http.Response) wire.Result {
	head := e.newHead(res)
	bodyFraming := framing.OfResponse(res)
	if bodyFraming == framing.UntilClose {
		head.MarkEndsUntilClose()
	}
	for {
		chunk := make([]byte, chunkBytes)
		n, err := readFull(res.Body, chunk)
		if n > 0 || head != nil {
			if !a.appendFrame(head, chunk[:n]) {
				return e.failedResult(a, a.ctx.Err())
			}
			head = nil
		}
		err = checkEnd(a, res, err)
		switch {
		case err == nil:
		case bodyFraming.Completeness(err) == framing.Incomplete:
			return e.failedResult(a, err)
		default:
			return wire.Result{Verdict: verdict.Ran}
		}
	}
}

// checkEnd returns err, or why a response whose reading it ended did not end by its sender's will.
func checkEnd(a *attempt, res *http.Response, err error) error {
	end := framing.End{Framing: framing.OfResponse(res), Err: err, Sending: framing.Sent}
	if end.AtClose() {
		end.Sender = target.Sender(a.ctx, res)
	}
	return end.CheckedErr()
}

// readFull reads until p is full or r returns an error. Unlike io.ReadFull it returns the
// error of r unchanged, so that a short last chunk differs from a truncated body.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// relayError relays an error response if the request caused it. Otherwise, the attempt has
// failed.
func (e *engine) relayError(a *attempt, res *http.Response) wire.Result {
	p, err := readPlain(res)
	if err != nil {
		return e.failedResult(a, err)
	}
	if res.StatusCode >= 500 || res.StatusCode == http.StatusTooManyRequests {
		return e.failedResult(a, fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(p.body[:min(len(p.body), maxQuoted)])))
	}
	head := e.newHead(res)
	if !p.complete(res) {
		if !p.more {
			if err := checkEnd(a, res, io.EOF); !errors.Is(err, io.EOF) {
				return e.failedResult(a, err)
			}
		}
		head.MarkEndsUntilClose()
	}
	return e.relayBody(a, res, head, p)
}

// plain is a plain response, or its beginning.
type plain struct {
	body []byte
	// more is true if the response is longer than body.
	more bool
}

// readPlain reads a plain response to its end, or its first plainBuffer bytes.
func readPlain(res *http.Response) (plain, error) {
	if res.ContentLength > maxPlainResponse {
		return plain{}, fmt.Errorf("%w: %d bytes exceed the limit of %d", whole.ErrTooLarge, res.ContentLength, maxPlainResponse)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, plainBuffer))
	if err != nil || len(body) < plainBuffer {
		return plain{body: body}, err
	}
	return plain{body: body, more: true}, nil
}

// complete reports whether a response that was read to its end is known to be complete, either by
// its framing or because it is a JSON object, of which no prefix is one.
func (p plain) complete(res *http.Response) bool {
	if framing.OfResponse(res) != framing.UntilClose {
		return true
	}
	return !p.more && bytes.HasPrefix(bytes.TrimSpace(p.body), []byte("{")) && json.Valid(p.body)
}

// relayBody relays a plain response and the rest of it that was not read yet.
func (e *engine) relayBody(a *attempt, res *http.Response, head *wire.Head, p plain) wire.Result {
	if !a.appendBody(head, p.body) {
		return e.failedResult(a, a.ctx.Err())
	}
	if !p.more {
		return wire.Result{Verdict: verdict.Ran, Usage: parseUsage(p.body)}
	}
	n := int64(len(p.body))
	// tail is the end of the response, which has the usage.
	tail := append(make([]byte, 0, 2*chunkBytes), p.body[max(0, len(p.body)-chunkBytes):]...)
	// The frames hold it until they are acknowledged.
	p.body = nil
	for err := error(nil); err == nil; {
		chunk := make([]byte, chunkBytes)
		var m int
		m, err = readFull(res.Body, chunk)
		err = checkEnd(a, res, err)
		if n += int64(m); n > maxPlainResponse {
			err = fmt.Errorf("%w: more than %d bytes", whole.ErrTooLarge, maxPlainResponse)
		}
		if framing.OfResponse(res).Completeness(err) == framing.Incomplete && err != nil {
			return e.failedResult(a, err)
		}
		if m > 0 && !a.appendFrame(nil, chunk[:m]) {
			return e.failedResult(a, a.ctx.Err())
		}
		tail = tail[:copy(tail, tail[max(0, len(tail)-chunkBytes):])]
		tail = append(tail, chunk[:m]...)
	}
	return wire.Result{Verdict: verdict.Ran, Usage: lastUsage(tail)}
}

// usageBody is the part of a chat response that has the usage.
type usageBody struct {
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func parseUsage(body []byte) wire.Usage {
	var u usageBody
	if json.Unmarshal(body, &u) != nil || u.Usage == nil {
		return wire.Usage{}
	}
	return wire.Usage{Prompt: u.Usage.Prompt, Completion: u.Usage.Completion, Cached: u.Usage.Details.Cached}
}

// usageName is the name of the usage in a chat response.
var usageName = []byte(`"usage"`)

// lastUsage returns the usage in a chat response of which body is the end.
func lastUsage(body []byte) wire.Usage {
	i := bytes.LastIndex(body, usageName)
	if i < 0 {
		return wire.Usage{}
	}
	value := bytes.TrimLeft(body[i+len(usageName):], " \t\r\n:")
	var usage json.RawMessage
	if json.NewDecoder(bytes.NewReader(value)).Decode(&usage) != nil {
		return wire.Usage{}
	}
	return parseUsage(slices.Concat([]byte("{"), usageName, []byte(":"), usage, []byte("}")))
}

// readChat is readPlain for a chat response, which is not complete if it ends with its connection and
// is no JSON object.
func readChat(res *http.Response) (plain, error) {
	p, err := readPlain(res)
	if err == nil && !p.more && !p.complete(res) {
		err = fmt.Errorf("connection closed after %d bytes: %w", len(p.body), io.ErrUnexpectedEOF)
	}
	return p, err
}

// relayPlain relays a plain chat response once it is complete, or once it is known to be long.
func (e *engine) relayPlain(a *attempt, res *http.Response) wire.Result {
	p, err := readChat(res)
	for try := 0; err != nil && !errors.Is(err, whole.ErrTooLarge) && try < maxResumes; try++ {
		var resumed *http.Response
		if resumed, err = e.resume(a, 0, true, try); err != nil {
			break
		}
		defer func() { _ = resumed.Body.Close() }()
		if p, err = readChat(resumed); err == nil {
			_ = res.Body.Close()
			res.Body, res.ContentLength, res.TransferEncoding = resumed.Body, resumed.ContentLength, resumed.TransferEncoding
		}
	}
	if err != nil {
		return e.failedResult(a, err)
	}
	head := e.newHead(res)
	if p.more && !p.complete(res) {
		head.MarkEndsUntilClose()
	}
	return e.relayBody(a, res, head, p)
}

// resume resumes a response after the connection to the engine broke. It waits before all
// tries but the first.
func (e *engine) resume(a *attempt, from int, plain bool, try int) (*http.Response, error) {
	if try > 0 && !clock.Sleep(a.ctx, resumeBackoff<<try) {
		return nil, a.ctx.Err()
	}
	return e.client.Resume(a.ctx, strconv.FormatUint(a.run.Attempt, 16), from, plain)
}

var (
	doneData   = []byte("[DONE]")
	usageField = []byte(`"usage":{`)
	dataPrefix = []byte("data: ")
	blankLine  = []byte("\n\n")
)

// relayStream relays the events of a stream. If the connection breaks, it resumes the stream
// at the first missing event. It drops the final [DONE] event, which the entry writes after
// the last frame.
func (e *engine) relayStream(a *attempt, res *http.Response) wire.Result {
	head := e.newHead(res)
	var usage wire.Usage
	next, tries := 0, 0
	body := res.Body
	defer func() { _ = body.Close() }()
	for r := events.NewReader(body, target.MaxEvent); ; {
		ev, err := r.Next()
		if err != nil {
			resumed, err := e.reconnect(a, next, &tries, err)
			if err != nil {
				return e.failedResult(a, err)
			}
			_ = body.Close()
			body = resumed.Body
			r = events.NewReader(body, target.MaxEvent)
			continue
		}
		if ev.Number >= 0 && ev.Number != next {
			if ev.Number < next {
				continue
			}
			return e.failedResult(a, fmt.Errorf("got event %d, want event %d", ev.Number, next))
		}
		next, tries = next+1, 0
		if bytes.Equal(ev.Data, doneData) {
			return wire.Result{Verdict: verdict.Ran, Usage: usage}
		}
		if bytes.Contains(ev.Data, usageField) {
			usage = parseUsage(ev.Data)
			if !a.run.WantUsage {
				continue
			}
		}
		if !a.appendFrame(head, eventFrame(ev.Data)) {
			return e.failedResult(a, a.ctx.Err())
		}
		head = nil
	}
}

// reconnect resumes a stream after its connection broke. It tries again unless the engine
// has exited or doesn't know the attempt.
func (e *engine) reconnect(a *attempt, next int, tries *int, cause error) (*http.Response, error) {
	for *tries < maxResumes && a.ctx.Err() == nil {
		*tries++
		res, err := e.resume(a, next, false, *tries-1)
		if err == nil {
			return res, nil
		}
		if errors.Is(err, target.ErrUnknownAttempt) || errors.Is(err, target.ErrExited) {
			return nil, err
		}
		cause = err
	}
	return nil, cause
}

// eventFrame returns an event with the given data in the format of a stream.
func eventFrame(data []byte) []byte {
	out := make([]byte, 0, len(dataPrefix)+len(data)+len(blankLine))
	out = append(out, dataPrefix...)
	out = append(out, data...)
	return append(out, blankLine...)
}

// cancel cancels an attempt at the engine.
func (e *engine) cancel(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout.Duration())
	defer cancel()
	_, _ = e.client.Cancel(ctx, strconv.FormatUint(a.run.Attempt, 16))
}
