package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/platform/standin"
)

// asked is one request of a caller and what became of it.
type request struct {
	gate int
	id   string
	path string
	key  string
	// marked is the body of a request that ends engines, "" for others.
	crashBody string
	// tokens is the most that may come out, 0 if the request does not tell.
	tokens      int
	sent, ended time.Time
	// status is 0 if there was no head of an answer.
	status int
	// gaveUp is true when the caller's patience was over.
	gaveUp bool
	// by is how the caller sent it.
	proto proto
	// end is how the answer ended for the caller by its framing, "" if it did not begin.
	ending framing.Completeness
	// whole is true when the answer is told as complete, or ended with its connection and is
	// the request's own.
	complete bool
	// own is true when the body is the whole of the request's own answer; body is empty
	// then. bytes is how long it was.
	bodyMatches bool
	bytes       int
	body        string
	signature   string
	// fault is what the frames must not have had, "" if they were sound.
	fault string
}

// repeatable reports whether the request may run more than once.
func (a request) retryable() bool {
	return strings.HasPrefix(a.path, "/safe/") || strings.HasPrefix(a.path, "/v/") || strings.HasPrefix(a.path, "/resume/")
}

func (a request) stream() bool {
	return strings.HasPrefix(a.path, "/chat/") || strings.HasPrefix(a.path, "/resume/") || a.longStream()
}

func (a request) longStream() bool { return strings.HasPrefix(a.path, longPath) }

// deadline is what the caller tells, and what the route allows.
func (a request) deadline() time.Duration {
	if a.longStream() {
		return standin.LongTimeout
	}
	return requestTimeout
}

// leaving reports whether a gate refused the request since it was stopping.
func (a request) refusedDraining() bool {
	return a.status == http.StatusServiceUnavailable && a.signature == "" && strings.Contains(a.body, `"reason":"leaving"`)
}

// want is the whole answer to a request.
func (a request) wantBody() string {
	if strings.HasSuffix(a.path, longPlain) {
		return "for " + a.id + longPlainRest
	}
	if !a.stream() {
		return "for " + a.id
	}
	events := streamEvents
	if a.longStream() {
		events = longEvents(a.id, a.tokens)
	}
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, a.id, n)
	}
	return b.String()
}

// record is what callers and engines saw.
type record struct {
	mu       sync.Mutex
	requests []request
	// leaving is the bound for leaving engines.
	drainBound time.Duration
	// left has when engines were published as leaving, revoked when keys were
	// taken away, disturbed when the last trouble was over.
	drainedAt       map[string]time.Time
	revokedAt       map[string]time.Time
	lastDisturbance time.Time
	ended           time.Time
	// published has when each version was.
	publishedAt map[int]time.Time
	// stops has when gates were told to stop, troubles what may excuse a cut.
	stops        []plannedStop
	disturbances []disturbance
	// kills are those of gates that were told to stop and did not in time. They excuse no cut.
	lateKills []disturbance
	// hushes are the silences of a hushing play, one after the other.
	storeSilences []interval
	// restarted are the engines that started again, and still serve.
	restarted map[string]bool
	// decoys are engines that only entries of another writer named.
	decoys []*standin.Engine
	// excused counts cuts around a planned stop that break no promise.
	excused    int
	violations []string
}

func (r *record) add(a request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, a)
}

func (r *record) setLastDisturbance(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDisturbance = at
}

func (r *record) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Slack of the judgement for what one machine adds.
const (
	// leaveSlack is how long beyond the bound for leaving engines requests may still reach
	// one after it was published, and the last trouble over: the time to find back to the
	// store, and a second.
	drainSlack = 4 * time.Second
	// recovered is the end of a run in which requests must be served again.
	recoveryWindow = 2500 * time.Millisecond
)

// judge holds what was seen against the promises.
func (r *record) judge(engines []*standin.Engine, services []string, gateStarts int) {
	ran, reached := map[string][]*standin.Run{}, map[string]bool{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			reached[run.ID] = true
			if run.Executed {
				ran[run.ID] = append(ran[run.ID], run)
			}
		}
	}
	r.addCrashDisturbances(engines)
	served, late := 0, 0
	// failed counts the last requests that were not served by status, 0 where
	// there was no whole answer.
	failed := map[int]int{}
	for _, a := range r.requests {
		r.judgeRequest(a, ran[a.id])
		r.judgeCompleteness(a, ran[a.id])
		if reached[a.id] {
			r.judgeStop(a)
		}
		r.judgeVersion(a)
		// Of the routes of versions half are gone.
		_, ofVersion := a.version()
		if a.sent.After(r.ended.Add(-recoveryWindow)) && a.key == keyKept && !ofVersion && a.crashBody == "" {
			late++
			if a.status == http.StatusOK && a.complete {
				served++
			} else if a.complete {
				failed[a.status]++
			} else {
				failed[0]++
			}
		}
	}
	for id, runs := range ran {
		for _, run := range runs {
			if run.Workspace() != workspace {
				r.addViolation("%s ran for workspace %q, want %q", id, run.Workspace(), workspace)
			}
		}
	}
	if served*10 < late*9 {
		r.addViolation("recovery: %d of the last %d requests were served, the others by status %v", served, late, failed)
	}
	for _, service := range []string{"llm", "api"} {
		r.judgeBudget(service, engines, services, gateStarts)
	}
	for _, e := range engines {
		r.judgeDraining(e)
	}
	r.judgeRestarted(engines, services)
	r.judgeCrashingRequests(engines)
	for _, e := range r.decoys {
		if n := len(e.Runs()); n > 0 {
			r.addViolation("%d requests reached %s, which only entries of another writer named", n, e.ID())
		}
	}
}

func (r *record) judgeRequest(a request, runs []*standin.Run) {
	if a.status == http.StatusOK && a.complete {
		if a.ending == framing.Complete && !a.bodyMatches {
			r.addViolation("%s %s: got %.200q as a whole answer of %d bytes, want its own", a.path, a.id, a.body, a.bytes)
		}
		if !strings.HasSuffix(a.signature, "-"+a.id) {
			r.addViolation("%s %s: got signature %q of another answer", a.path, a.id, a.signature)
		}
	}
	if !a.retryable() && len(runs) > 1 {
		r.addViolation("%s %s ran %d times", a.path, a.id, len(runs))
	}
	if statusMeansNotRun(a.status) && !a.retryable() && len(runs) > 0 {
		r.addViolation("%s %s: got %d, which says not run, and it ran", a.path, a.id, a.status)
	}
	if at, ok := r.revokedAt[a.key]; ok && a.sent.After(at.Add(revocationBound)) && len(runs) > 0 {
		r.addViolation("%s %s ran with a key that was revoked %v before it was sent", a.path, a.id, a.sent.Sub(at))
	}
}

func (a request) service() string {
	if a.stream() {
		return "llm"
	}
	return "api"
}

// judgeBudget looks at each window that ends with a repeat, which is an
// arrival at a service beyond the first of a request. The requests of the
// window, or of one that lies a half or a whole before it, bound the repeats.
func (r *record) judgeBudget(service string, engines []*standin.Engine, services []string, gateStarts int) {
	var requests, repeats []time.Time
	for _, a := range r.requests {
		if a.service() == service {
			requests = append(requests, a.sent)
		}
	}
	byID := map[string][]time.Time{}
	for i, e := range engines {
		for _, run := range e.Runs() {
			if services[i] == service {
				byID[run.ID] = append(byID[run.ID], run.ArrivedAt)
			}
		}
	}
	for _, times := range byID {
		slices.SortFunc(times, time.Time.Compare)
		repeats = append(repeats, times[1:]...)
	}
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(repeats, time.Time.Compare)
	for _, end := range repeats {
		n := 0
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			n = max(n, within(requests, end.Add(-before)))
		}
		got := within(repeats, end)
		if most := int(retryRatio*float64(n)) + min(retryExtra, gateStarts*extraPerGate); got > most {
			r.addViolation("budget of %s: %d repeats in %v of %d requests, want at most %d", service, got, retryWindow, n, most)
			return
		}
	}
}

// within counts the sorted times of the window that ends at end.
func within(times []time.Time, end time.Time) int {
	from, _ := slices.BinarySearchFunc(times, end.Add(-retryWindow), time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, end.Add(1), time.Time.Compare)
	return to - from
}

func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *record) judgeDraining(e *standin.Engine) {
	at, ok := r.drainedAt[e.ID()]
	if !ok {
		return
	}
	until := r.drainDeadline(at)
	for _, run := range e.Runs() {
		if run.ArrivedAt.After(until) {
			r.addViolation("%s reached %s %v after it was published as leaving", run.ID, e.ID(), run.ArrivedAt.Sub(at))
			return
		}
	}
}
