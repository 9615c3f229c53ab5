// Package account tells from the logs of entries what became of callers'
// requests, by kind, by moment and by cause, so that an operator can say why a
// bad hour was bad. It knows only what entries log: a caller who never reached
// one is not in it.
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

// Outcome is what became of a request, as its caller sees it.
type Outcome string

const (
	InTime Outcome = "in time"
	// Late answers are whole, and their first bytes or a later event came after
	// the route's goal.
	Late Outcome = "late"
	// Failed requests may have run and have no answer, or a failure.
	Failed Outcome = "failed"
	// Refused requests have not run and may come back.
	Refused Outcome = "refused"
	// Denied requests are wrong or not allowed by the settings in force.
	Denied Outcome = "denied"
	// Aborted answers were broken off after they had begun.
	Aborted Outcome = "cut"
	// CallerDisconnected requests are those whose caller left first.
	CallerDisconnected Outcome = "caller left"
)

// outcomes in the order of the report.
var outcomes = []Outcome{InTime, Late, Failed, Refused, Aborted, CallerDisconnected, Denied}

// Cause is why a request was not answered in time.
type Cause string

const (
	NoCause Cause = ""
	// EngineBroken is an engine that ended the connection in mid-exchange.
	EngineBroken Cause = "engine broke off"
	// EngineCrashed is an engine that ended while it had the request.
	EngineCrashed Cause = "engine ended"
	// EngineFailed is an engine that answered with a failure of its own.
	EngineFailed Cause = "engine's own failure"
	// EngineUnresponsive is an engine that took no connection or fell silent.
	EngineUnresponsive Cause = "engine dark"
	// EngineFull is an engine that refused, after which others were asked.
	EngineFull Cause = "engine full"
	// PromptNotCached is a prompt that the engine had to read.
	PromptNotCached Cause = "cold prompt"
	// PromptFetched is a prompt that the engine took from another.
	PromptFetched Cause = "prompt moved"
	// Contention is a request whose prompt the engine keeps: what held it up are
	// the prompts and requests beside it.
	Contention Cause = "behind other requests"
	// StreamPaused is a stream with too long a pause after it had begun.
	StreamPaused Cause = "pause in the stream"
	// DeadlineExceeded is a deadline that passed.
	DeadlineExceeded Cause = "no time"
)

// request is what is known of one request from its lines.
type request struct {
	// at is when its final line was written.
	at   time.Time
	kind string
	Outcome
	Cause
}

// Account collects the requests of all entries. It is not safe for concurrent
// use.
type Account struct {
	// attempts has the cause of the latest failed attempt of a request whose
	// final line has not come.
	attempts map[string]Cause
	// ended has the requests whose engine ended with the attempt that is told of next.
	ended    map[string]bool
	requests []request
	// tables are the versions of the settings by which requests ran or that came
	// into force.
	tables map[int64]*tableUse
	// suspects are the requests under which engines ended, by their digests.
	suspects map[string]*suspect
	// repeats are by service.
	repeats map[string]*repeats
	// skipped counts lines that are no log lines.
	skipped int
}

// New returns an empty account.
func New() *Account {
	return &Account{attempts: map[string]Cause{}, ended: map[string]bool{}, tables: map[int64]*tableUse{}, suspects: map[string]*suspect{},
		repeats: map[string]*repeats{}}
}

// longestLine bounds a log line, in bytes.
const longestLine = 64 << 10

// ReadLog takes the log of one process. Lines that are not key=value are counted
// and passed over.
func (a *Account) ReadLog(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		fields, err := parse(s.Text())
		if err != nil {
			a.skipped++
			continue
		}
		a.take(fields)
	}
	if err := s.Err(); errors.Is(err, bufio.ErrTooLong) {
		return fmt.Errorf("a line is longer than %d bytes: is this a log?", longestLine)
	} else if err != nil {
		return err
	}
	return nil
}

// parse reads the fields of a line.
func parse(line string) (map[string]string, error) {
	d := logfmt.NewDecoder(strings.NewReader(line))
	fields := map[string]string{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields, d.Err()
}

// take takes the fields of a line.
func (a *Account) take(f map[string]string) {
	id := f["request"]
	switch f["msg"] {
	case "attempt_ended":
		a.attempts[id] = causeOfAttempt(f["outcome"])
		if a.ended[id] {
			a.attempts[id] = EngineCrashed
			delete(a.ended, id)
		}
		a.repeated(f)
	case "repeats":
		a.budget(f)
	case "struck":
		// The line of the attempt itself follows, unless its engine's end is known late.
		if f["ground"] != "listed" {
			a.ended[id] = true
		}
		a.struck(f)
	case "held_back":
		a.heldBack(f)
	case "answered", "failed":
		a.finish(id, f)
	case "table_in_force":
		a.inForce(f)
	}
}

func (a *Account) finish(id string, f map[string]string) {
	before := a.attempts[id]
	delete(a.attempts, id)
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["route"] == "" {
		// Without a route it is nothing that a caller was owed.
		a.skipped++
		return
	}
	a.sent(f, at)
	r := request{at: at, kind: f["route"]}
	r.Outcome = outcomeOf(f)
	switch r.Outcome {
	case Late:
		r.Cause = causeOfLate(f, before)
	case Failed, Refused, Aborted:
		r.Cause = causeOfFailure(f, before)
	}
	a.requests = append(a.requests, r)
	a.ranBy(f, at)
}

// outcomeOf judges a final line.
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

// causeOfAttempt maps the outcome of an attempt.
func causeOfAttempt(outcome string) Cause {
	switch outcome {
	case "failed":
		return EngineFailed
	case "refused":
		return EngineFull
	case "unsent", "silent":
		return EngineUnresponsive
	}
	return EngineBroken
}

// causeOfLate tells what held an answer up.
func causeOfLate(f map[string]string, before Cause) Cause {
	switch {
	case before != NoCause:
		return before
	case f["late"] == "pause":
		return StreamPaused
	case f["fetched"] == "true":
		return PromptFetched
	case f["kept"] == "false" && f["how"] != "load":
		return PromptNotCached
	}
	return Contention
}

// causeOfFailure tells why there is no answer: what the last engine did, or
// the entry's own reason.
func causeOfFailure(f map[string]string, before Cause) Cause {
	switch reason := f["reason"]; {
	case reason == "deadline":
		return DeadlineExceeded
	case before != NoCause:
		return before
	case reason != "":
		return Cause(reason)
	}
	return EngineFailed
}
