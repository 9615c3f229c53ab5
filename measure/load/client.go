package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon/target"
	"github.com/weldfall/weldfall/engines/events"
)

// message is a message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	MaxTokens     int            `json:"max_tokens"`
	Messages      []message      `json:"messages"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// response is the result of one request.
type response struct {
	status   int
	verdict  string
	reason   string
	content  string
	complete bool
	prompt   int
	cached   int
	tokens   int
	// firstMicros and totalMicros are measured from the start of the request.
	firstMicros, totalMicros int64
	// gapMicros is the mean time between tokens.
	gapMicros int64
	err       error
}

type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code    string `json:"code"`
		Verdict string `json:"verdict"`
	} `json:"error"`
}

// maxErrorBytes limits the size of an error body.
const maxErrorBytes = 64 << 10

// sendTurn sends one streamed chat turn and reads the complete response.
func sendTurn(ctx context.Context, h *http.Client, clk *clock.Clock, url, key string, q chatRequest) response {
	body, err := json.Marshal(q)
	if err != nil {
		return response{err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(url, "/")+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	start := clk.Micros()
	res, err := h.Do(req)
	if err != nil {
		return response{err: err, totalMicros: clk.Micros() - start}
	}
	defer func() { _ = res.Body.Close() }()
	r := response{status: res.StatusCode}
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		var ev event
		if json.Unmarshal(b, &ev) == nil && ev.Error != nil {
			r.verdict, r.reason = ev.Error.Verdict, ev.Error.Code
		}
		r.totalMicros = clk.Micros() - start
		return r
	}
	r.read(res.Body, clk, start)
	return r
}

func (r *response) read(body io.Reader, clk *clock.Clock, start int64) {
	in := events.NewReader(body, target.MaxEvent)
	var last int64
	for {
		ev, err := in.Next()
		if err != nil {
			r.err = fmt.Errorf("the stream ended without its end marker: %w", err)
			break
		}
		if string(ev.Data) == "[DONE]" {
			r.complete, r.verdict = true, "ran"
			break
		}
		var e event
		if json.Unmarshal(ev.Data, &e) != nil {
			continue
		}
		switch {
		case e.Error != nil:
			r.verdict, r.reason = e.Error.Verdict, e.Error.Code
		case e.Usage != nil:
			r.prompt, r.cached = e.Usage.Prompt, e.Usage.Details.Cached
		case len(e.Choices) > 0 && e.Choices[0].Delta.Content != "":
			r.content += e.Choices[0].Delta.Content
			r.tokens++
			last = clk.Micros()
			if r.firstMicros == 0 {
				r.firstMicros = last - start
			}
		}
	}
	if r.tokens > 1 {
		r.gapMicros = (last - start - r.firstMicros) / int64(r.tokens-1)
	}
	r.totalMicros = clk.Micros() - start
}
