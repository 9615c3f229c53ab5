package chats

import (
	"net/http"
	"strconv"

	"github.com/weldfall/weldfall/callers/failure"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/verdict"
)

// errorBody is the error body of the chat completions protocol, extended by the verdict.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    verdict.Reason  `json:"code"`
	Param   *string         `json:"param"`
	Verdict verdict.Verdict `json:"verdict"`
	Request string          `json:"request"`
	// RetryAfterMS is 0 if a retry does not help.
	RetryAfterMS clock.Millis `json:"retry_after_ms,omitempty"`
}

// FailureFormat formats failures as errors of the chat completions protocol, extended by the
// verdict.
var FailureFormat = failure.Format{
	StatusCodes: failure.StatusCodes{
		ByReason: map[verdict.Reason]int{
			verdict.BadRequest:     http.StatusBadRequest,
			verdict.Unauthorized:   http.StatusUnauthorized,
			verdict.UnknownModel:   http.StatusNotFound,
			verdict.TooLarge:       http.StatusRequestEntityTooLarge,
			verdict.RateLimited:    http.StatusTooManyRequests,
			verdict.Shed:           http.StatusTooManyRequests,
			verdict.Overloaded:     http.StatusTooManyRequests,
			verdict.Duplicate:      http.StatusConflict,
			verdict.UnknownHistory: http.StatusConflict,
			verdict.Deadline:       http.StatusGatewayTimeout,
			verdict.NoEngine:       http.StatusServiceUnavailable,
			verdict.NotReady:       http.StatusServiceUnavailable,
			verdict.NoMemory:       http.StatusServiceUnavailable,
			verdict.Leaving:        http.StatusServiceUnavailable,
			verdict.Unreachable:    http.StatusServiceUnavailable,
			verdict.HeldBack:       http.StatusServiceUnavailable,
			verdict.PartHeldBack:   http.StatusServiceUnavailable,
		},
		NotRun: http.StatusBadGateway, Default: http.StatusBadGateway,
	},
	Body: func(f failure.Failure) any {
		return errorBody{errorDetail{
			Message: f.Filter + ": " + f.Err.Message(), Type: "weldfall_error", Code: f.Err.Reason(),
			Verdict: f.Err.Verdict(), Request: f.RequestID, RetryAfterMS: f.Err.RetryAfter(),
		}}
	},
	Header: func(h http.Header, f failure.Failure) {
		h.Set(HeaderRequestID, f.RequestID)
		h.Set(HeaderVerdict, string(f.Err.Verdict()))
		if wait := f.Err.RetryAfter(); wait > 0 {
			h.Set("Retry-After", strconv.FormatInt(int64(wait+999)/1000, 10))
			h.Set("Retry-After-Ms", strconv.FormatInt(int64(wait), 10))
		}
		if f.Err.Verdict() == verdict.MayHaveRun && f.AtMostOnce {
			// Tells client libraries that retry automatically not to retry this request.
			h.Set("X-Should-Retry", "false")
		}
	},
}
