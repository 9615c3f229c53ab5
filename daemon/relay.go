package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	// resumeTries is how often a broken engine link is taken up again.
	resumeTries = 5
	// resumeWait is the wait before the second try; it doubles.
	resumeWait clock.Millis = 50
	// maxPlain bounds a plain chat answer in bytes.
	maxPlain = 32 << 20
	// pieceBytes is the size of the pieces of an answer that is no stream.
	pieceBytes = 32 << 10
)

// relay sends an attempt to the engine and turns the answer into frames. It
// returns the result of the attempt.
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
		// The engine may have the request: it is asked before that is said.
		res, err = e.resume(a, 0, !r.Stream, 1)
	}
	if err != nil {
		return e.lost(a, err)
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case r.Chat == 0:
		return e.relayService(a, res)
	case res.StatusCode != http.StatusOK:
		return e.relayRefusal(a, res)
	case r.Stream:
		return e.relayStream(a, res)
	default:
		return e.relayPlain(a, res)
	}
}

// lost is the result when the answer of a request that was sent is lost.
func (e *engine) lost(a *attempt, err error) wire.Result {
	if a.ctx.Err() != nil {
		return wire.Result{Verdict: verdict.MayHaveRun, Reason: verdict.CallerGone, Message: "given up while it ran"}
	}
	return wire.Result{
		Verdict: verdict.MayHaveRun, Reason: verdict.EngineFailed, Message: fmt.Sprintf("engine %s: %v", e.id, err), EndedIncarnation: e.endedLife(err),
	}
}

// endedLife returns the mark of the engine's life if that is over, else zero. An engine
// that does not know an attempt which it had has started again meanwhile.
func (e *engine) endedLife(err error) uint32 {
	if !errors.Is(err, target.ErrExited) && !errors.Is(err, target.ErrUnknownAttempt) && !e.client.Exited(context.Background()) {
		return 0
	}
	return e.lives.end(e.clk.Now())
}

// relayedHeaders are passed from an answer to the caller.
var relayedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control"}

func (e *engine) headOf(res *http.Response) *wire.Head {
	h := map[string]string{}
	for _, name := range relayedHeaders {
		if v := res.Header.Get(name); v != "" {
			h[name] = v
		}
	}
	return &wire.Head{Status: res.StatusCode, Header: h, Loads: e.loads()}
}

// relayService passes the answer of a plain service on as it comes.
func (e *engine) relayService(a *attempt, res *http.Response) wire.Result {
	head := e.headOf(res)
	framed := framing.OfResponse(res)
	if framed == framing.UntilClose {
		head.MarkEndsUntilClose()
	}
	for {
		piece := make([]byte, pieceBytes)
		n, err := fill(res.Body, piece)
		if n > 0 || head != nil {
			a.add(head, piece[:n])
			head = nil
		}
		switch {
		case err == nil:
		case framed.Completeness(err) == framing.Incomplete:
			return e.lost(a, err)
		default:
			return wire.Result{Verdict: verdict.Ran}
		}
	}
}

// fill reads until p is full or r ends. Unlike io.ReadFull it returns the error of r as it
// is: a short last piece does not look like a body that was cut.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}

// relayRefusal passes the error of an engine on when the request is at fault;
// otherwise it is the engine's failure.
func (e *engine) relayRefusal(a *attempt, res *http.Response) wire.Result {
	body, err := whole.Read(res.Body, res.ContentLength, maxPlain)
	if err != nil {
		return e.lost(a, err)
	}
	if res.StatusCode >= 500 || res.StatusCode == http.StatusTooManyRequests {
		return e.lost(a, fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(body)))
	}
	head := e.headOf(res)
	if !knownWhole(res, body) {
		head.MarkEndsUntilClose()
	}
	a.addHeld(head, body)
	return wire.Result{Verdict: verdict.Ran}
}

// knownWhole reports whether a body that was read to its end is known to be whole: by its
// framing, or as a JSON object, of which no part is one.
func knownWhole(res *http.Response, body []byte) bool {
	return framing.OfResponse(res) != framing.UntilClose || bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) && json.Valid(body)
}

type usageBody struct {
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func usageOf(body []byte) wire.Usage {
	var u usageBody
	if json.Unmarshal(body, &u) != nil || u.Usage == nil {
		return wire.Usage{}
	}
	return wire.Usage{Prompt: u.Usage.Prompt, Completion: u.Usage.Completion, Cached: u.Usage.Details.Cached}
}

// plainOf reads a plain chat answer. One that ends with its connection has broken off unless
// it is complete by its own syntax.
func plainOf(res *http.Response) ([]byte, error) {
	body, err := whole.Read(res.Body, res.ContentLength, maxPlain)
	if err == nil && !knownWhole(res, body) {
		err = fmt.Errorf("the connection ended after %d bytes: %w", len(body), io.ErrUnexpectedEOF)
	}
	return body, err
}

// relayPlain passes a plain chat answer on when the whole is here.
func (e *engine) relayPlain(a *attempt, res *http.Response) wire.Result {
	body, err := plainOf(res)
	for try := 0; err != nil && !errors.Is(err, whole.ErrTooLarge) && try < resumeTries; try++ {
		var again *http.Response
		if again, err = e.resume(a, 0, true, try); err != nil {
			break
		}
		body, err = plainOf(again)
		_ = again.Body.Close()
	}
	if err != nil {
		return e.lost(a, err)
	}
	a.addHeld(e.headOf(res), body)
	return wire.Result{Verdict: verdict.Ran, Usage: usageOf(body)}
}

// resume takes a broken link to the engine up again.
func (e *engine) resume(a *attempt, from int, plain bool, try int) (*http.Response, error) {
	if try > 0 && !clock.Sleep(a.ctx, resumeWait<<try) {
		return nil, a.ctx.Err()
	}
	return e.client.Resume(a.ctx, strconv.FormatUint(a.run.Attempt, 16), from, plain)
}

var (
	doneMark   = []byte("[DONE]")
	usageMark  = []byte(`"usage":{`)
	dataPrefix = []byte("data: ")
	blankLine  = []byte("\n\n")
)

// relayStream passes the events of a stream on and takes a broken link up
// again at the event that is missing. The end mark is left out: the entry
// writes it when every frame has arrived.
func (e *engine) relayStream(a *attempt, res *http.Response) wire.Result {
	head := e.headOf(res)
	var usage wire.Usage
	next, tries := 0, 0
	body := res.Body
	defer func() { _ = body.Close() }()
	for in := events.NewReader(body, target.MaxEvent); ; {
		ev, err := in.Next()
		if err != nil {
			again, err := e.reconnect(a, next, &tries, err)
			if err != nil {
				return e.lost(a, err)
			}
			_ = body.Close()
			body = again.Body
			in = events.NewReader(body, target.MaxEvent)
			continue
		}
		if ev.Number >= 0 && ev.Number != next {
			if ev.Number < next {
				continue
			}
			return e.lost(a, fmt.Errorf("event %d came where %d was due", ev.Number, next))
		}
		next, tries = next+1, 0
		if bytes.Equal(ev.Data, doneMark) {
			return wire.Result{Verdict: verdict.Ran, Usage: usage}
		}
		if bytes.Contains(ev.Data, usageMark) {
			usage = usageOf(ev.Data)
			if !a.run.WantUsage {
				continue
			}
		}
		a.add(head, frameOf(ev.Data))
		head = nil
	}
}

// reconnect resumes a stream after a broken link, a few times.
func (e *engine) reconnect(a *attempt, next int, tries *int, cause error) (*http.Response, error) {
	for *tries < resumeTries && a.ctx.Err() == nil {
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

func frameOf(data []byte) []byte {
	out := make([]byte, 0, len(dataPrefix)+len(data)+len(blankLine))
	out = append(out, dataPrefix...)
	out = append(out, data...)
	return append(out, blankLine...)
}

// stop cancels an attempt at the engine.
func (e *engine) stop(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout.Duration())
	defer cancel()
	_, _ = e.client.Cancel(ctx, strconv.FormatUint(a.run.Attempt, 16))
}
