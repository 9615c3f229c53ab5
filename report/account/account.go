// Package account reports the outcomes of requests from the logs of entries,
// by route, time and cause, so that an operator can explain a period of
// failures. It sees only what entries log: requests that reached no entry are
// missing.
package account

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

const (
	InTime Outcome = "in time"
	// Late responses are complete, but the first bytes or a later event exceeded
	// the latency goal of the route.
	Late Outcome = "late"
	// Failed requests may have run and got no response or an error.
	Failed Outcome = "failed"
	// Refused requests have not run and can be retried.
	Refused Outcome = "refused"
	// Denied requests are invalid or not allowed by the settings in force.
	Denied Outcome = "denied"
	// Aborted responses ended early after they had started.
	Aborted Outcome = "cut"
	// CallerDisconnected requests lost their caller before the response ended.
	CallerDisconnected Outcome = "caller left"
)

// outcomes are in the order of the report's columns.
var outcomes = []Outcome{InTime, Late, Failed, Refused, Aborted, CallerDisconnected, Denied}

// Cause is the reason why a request was not answered in time. Apart from these
// constants, it is the reason that the entry logged for a failure.
type Cause string

const (
	NoCause Cause = ""
	// EngineBroken: the engine closed the connection during an attempt.
	EngineBroken Cause = "engine broke off"
	// EngineCrashed: the engine crashed while it ran the request.
	EngineCrashed Cause = "engine ended"
	// EngineFailed: the engine responded with an error.
	EngineFailed Cause = "engine's own failure"
	// EngineUnresponsive: the engine accepted no connection or stopped sending.
	EngineUnresponsive Cause = "engine dark"
	// EngineFull: the engine refused the request, and others were tried.
	EngineFull Cause = "engine full"
	// EngineResting: the engine refused the request and asked for a rest, and others were tried.
	EngineResting Cause = "engine rests"
	// EnginesClosed: engines that leave or rest were left out, and no other was there.
	EnginesClosed Cause = "engines leave or rest"
	// PromptNotCached: the engine had to prefill the prompt.
	PromptNotCached Cause = "cold prompt"
	// PromptFetched: the engine fetched the cached prompt from another engine.
	PromptFetched Cause = "prompt moved"
	// Contention: the engine had the prompt cached, so the delay comes from
	// other requests on the engine.
	Contention Cause = "behind other requests"
	// StreamPaused: the stream paused for too long after it had started.
	StreamPaused     Cause = "pause in the stream"
	DeadlineExceeded Cause = "no time"
)

// request is one request as its log lines describe it.
type request struct {
	// endedAt is the time of the final line.
	endedAt time.Time
	route   string
	Outcome
	Cause
}

// Account collects the requests of all entries. It is not safe for concurrent
// use.
type Account struct {
	// attemptCauses has the cause of the latest failed attempt by request ID,
	// until the final line of the request.
	attemptCauses map[string]Cause
	// crashed has the IDs of requests whose engine crashed during the attempt
	// that is logged next.
	crashed  map[string]bool
	requests []request
	// tables has the settings versions that requests used or that came into force.
	tables map[int64]*tableUse
	// suspects has the requests during which engines crashed, by digest.
	suspects map[string]*suspect
	// retries is by service.
	retries map[string]*serviceRetries
	// streams has the streams by the attempts that began them.
	streams map[streamKey]*stream
	// workspaces and priorities have the requests by workspace and by priority.
	workspaces, priorities map[string]*demand
	// skipped counts lines that are not logfmt, and those of which a needed field
	// is missing or invalid.
	skipped int
}

// New returns an empty account.
func New() *Account {
	return &Account{attemptCauses: map[string]Cause{}, crashed: map[string]bool{}, tables: map[int64]*tableUse{}, suspects: map[string]*suspect{},
		retries: map[string]*serviceRetries{}, streams: map[streamKey]*stream{}, workspaces: map[string]*demand{}, priorities: map[string]*demand{}}
}

const maxLineBytes = 64 << 10

// ReadLog reads the log of one process. It counts and skips lines that are not
// key=value. It fails if r does or if a line is too long.
func (a *Account) ReadLog(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		fields, err := parseLine(s.Text())
		if err != nil {
			a.skipped++
			continue
		}
		a.recordLine(fields)
	}
	if err := s.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a line is longer than %d bytes; check that the file is a log", maxLineBytes)
	} else if err != nil {
		return err
	}
	return nil
}

// parseLine returns the fields of a line by key.
func parseLine(line string) (map[string]string, error) {
	d := logfmt.NewDecoder(strings.NewReader(line))
	fields := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields, d.Err()
}

// recordLine handles a line by its event.
func (a *Account) recordLine(f map[string]string) {
	id := f["request"]
	switch f["msg"] {
	case "attempt_ended":
		a.attemptCauses[id] = causeOfAttempt(f)
		if a.crashed[id] {
			a.attemptCauses[id] = EngineCrashed
			delete(a.crashed, id)
		}
		a.recordRetry(f)
	case "repeats":
		a.recordBudget(f)
	case "struck":
		// The line of the attempt follows, unless the crash was found later from
		// the engine list.
		if f["ground"] != "listed" {
			a.crashed[id] = true
		}
		a.recordStrike(f)
	case "part_suspected":
		a.recordStrike(f)
	case "held_back":
		a.recordHeldBack(f)
	case "answered", "failed":
		a.finishRequest(id, f)
	case "table_in_force":
		a.recordInForce(f)
	}
}

func (a *Account) finishRequest(id string, f map[string]string) {
	attemptCause := a.attemptCauses[id]
	delete(a.attemptCauses, id)
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["route"] == "" {
		// Without a route, the line is not about a request of a caller.
		a.skipped++
		return
	}
	a.recordSent(f, at)
	r := request{endedAt: at, route: f["route"]}
	r.Outcome = outcomeOf(f)
	switch r.Outcome {
	case Late:
		r.Cause = causeOfLate(f, attemptCause)
	case Failed, Refused, Aborted:
		r.Cause = causeOfFailure(f, attemptCause)
	}
	a.requests = append(a.requests, r)
	a.recordDemand(r.Outcome, f)
	a.recordStream(id, f)
	a.recordVersion(f, at)
}

// outcomeOf returns the outcome that a final line describes.
func outcomeOf(f map[string]string) Outcome {
	status, _ := strconv.Atoi(f["status"])
	switch {
	case f["reason"] == "caller_gone":
		return CallerDisconnected
	case f["cut"] == "true":
		return Aborted
	case f["msg"] == "failed" && status >= 400 && status < 500:
		return Denied
	case f["verdict"] == "not_run":
		return Refused
	case f["msg"] == "failed", status >= 500:
		return Failed
	case f["late"] != "":
		return Late
	}
	return InTime
}

// causeOfAttempt returns the cause that the line of a failed attempt tells.
func causeOfAttempt(f map[string]string) Cause {
	switch f["outcome"] {
	case "failed":
		return EngineFailed
	case "refused":
		if f["rest_ms"] != "" && f["rest_ms"] != "0" {
			return EngineResting
		}
		return EngineFull
	case "unsent", "silent":
		return EngineUnresponsive
	}
	return EngineBroken
}

// causeOfLate returns the cause of a late response, given the cause of the last
// failed attempt.
func causeOfLate(f map[string]string, attemptCause Cause) Cause {
	switch {
	case attemptCause != NoCause:
		return attemptCause
	case f["late"] == "pause":
		return StreamPaused
	case f["fetched"] == "true":
		return PromptFetched
	case f["kept"] == "false" && f["how"] != "load":
		return PromptNotCached
	}
	return Contention
}

// causeOfFailure returns the cause of a failed request: that of the last failed
// attempt or the reason of the entry.
func causeOfFailure(f map[string]string, attemptCause Cause) Cause {
	switch reason := f["reason"]; {
	case reason == "deadline":
		return DeadlineExceeded
	case reason == "no_engine" && f["closed"] != "" && attemptCause == NoCause:
		return EnginesClosed
	case attemptCause != NoCause:
		return attemptCause
	case reason != "":
		return Cause(reason)
	}
	return EngineFailed
}
