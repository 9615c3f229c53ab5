// Package verdict classifies failed requests by whether they may have run.
// Every error that can reach a caller carries a Verdict.
package verdict

import (
	"errors"
	"fmt"

	"github.com/weldfall/weldfall/common/clock"
)

// Verdict is whether a request may have run.
type Verdict string

const (
	// NotRun is used only if it is certain that no engine or service has
	// started the request, in this attempt or an earlier one.
	NotRun Verdict = "not_run"
	// MayHaveRun is used whenever NotRun is not certain.
	MayHaveRun Verdict = "may_have_run"
	// Ran is used if the complete response is known.
	Ran Verdict = "ran"
)

// Reason is the machine-readable cause of a failure.
type Reason string

const (
	BadRequest     Reason = "bad_request"
	Unauthorized   Reason = "unauthorized"
	UnknownModel   Reason = "unknown_model"
	TooLarge       Reason = "too_large"
	HeaderTooLarge Reason = "header_too_large"
	RateLimited    Reason = "rate_limited"
	Overloaded     Reason = "overloaded"
	Shed           Reason = "shed"
	OverBound      Reason = "over_bound"
	NotCached      Reason = "not_cached"
	Leaving        Reason = "leaving"
	NoEngine       Reason = "no_engine"
	Unreachable    Reason = "unreachable"
	Deadline       Reason = "deadline"
	CallerGone     Reason = "caller_gone"
	LinkLost       Reason = "link_lost"
	EngineFailed   Reason = "engine_failed"
	Duplicate      Reason = "duplicate_key"
	UnknownHistory Reason = "unknown_history"
	NotReady       Reason = "not_ready"
	NoRoute        Reason = "no_route"
	// NoRoom means that the engines are too busy for a request of its urgency.
	NoRoom Reason = "no_room"
	// NoMemory means that the memory for bodies of requests is used up.
	NoMemory      Reason = "no_memory"
	HeldBack      Reason = "held_back"
	PartHeldBack  Reason = "part_held_back"
	UnknownOrigin Reason = "unknown_origin"
	VersionGone   Reason = "version_gone"
)

// Error is a failure with its verdict. It wraps its cause.
type Error struct {
	verdict Verdict
	reason  Reason
	// retryAfter is zero if a retry does not help.
	retryAfter clock.Millis
	cause      error
}

// New returns an error with verdict v, reason r and the cause formatted as by
// fmt.Errorf.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{verdict: v, reason: r, cause: fmt.Errorf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d clock.Millis) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %v", e.verdict, e.reason, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Verdict returns whether the request may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Reason returns the machine-readable cause.
func (e *Error) Reason() Reason { return e.reason }

// RetryAfter returns the delay after which a retry may succeed, zero if a retry does not
// help.
func (e *Error) RetryAfter() clock.Millis { return e.retryAfter }

// Message returns the text of the cause, without verdict and reason.
func (e *Error) Message() string { return e.cause.Error() }

// From returns the Error that err wraps. An error without one counts as
// MayHaveRun, since nothing excludes it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{verdict: MayHaveRun, reason: LinkLost, cause: err}
}
