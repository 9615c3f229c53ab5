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

// request is a request of a caller and its outcome.
type request struct {
	gate int
	id   string
	path string
	key  string
	// crashBody is the body of a request that crashes engines, "" for others.
	crashBody string
	// crashPart is a part of its prompt that crashes engines, "" for none.
	crashPart string
	// tokens is the maximum number of output tokens that the request states, 0 if it states
	// none.
	tokens      int
	sent, ended time.Time
	// status is 0 if no response head arrived.
	status int
	// gaveUp reports whether the caller's timeout expired.
	gaveUp bool
	// proto is how the caller sent it.
	proto proto
	// ending is how the response ended by its framing, "" if none began.
	ending framing.Completeness
	// written is when a raw caller had sent the last byte, zero if it could not.
	written time.Time
	// closing is true if an earlier response on the connection announced its end.
	closing bool
	// complete is true if the framing marks the response as complete, or if the response
	// ended with its connection and has the expected body.
	complete bool
	// bodyMatches is true if the body is the expected one; body is empty then. bytes is its
	// length.
	bodyMatches bool
	bytes       int
	body        string
	// versions are the software versions that the events of a stream name.
	versions  []string
	signature string
	// fault is an error in the framing, "" if there is none.
	fault string
}

// retryable reports whether the request may run more than once.
func (a request) retryable() bool {
	return strings.HasPrefix(a.path, "/safe/") || strings.HasPrefix(a.path, "/v/") || strings.HasPrefix(a.path, "/resume/")
}

func (a request) stream() bool {
	return strings.HasPrefix(a.path, "/chat/") || strings.HasPrefix(a.path, "/resume/") || a.longStream()
}

func (a request) longStream() bool { return strings.HasPrefix(a.path, longPath) }

// deadline is the deadline that the caller sends and that the route allows.
func (a request) deadline() time.Duration {
	if a.longStream() {
		return standin.LongTimeout
	}
	return requestTimeout
}

// refusedDraining reports whether a gate refused the request because it was stopping.
func (a request) refusedDraining() bool {
	return a.status == http.StatusServiceUnavailable && a.signature == "" && strings.Contains(a.body, `"reason":"leaving"`)
}

// wantBody returns the complete body of the response to a request.
func (a request) wantBody() string {
	if strings.HasSuffix(a.path, longPlainSuffix) {
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

// record holds what callers and engines observed.
type record struct {
	mu       sync.Mutex
	requests []request
	// drainBound limits how long new requests may still reach a draining engine.
	drainBound time.Duration
	// drainedAt is when an engine was published as draining, revokedAt when a key was
	// revoked, lastDisturbance the end of the last disturbance.
	drainedAt       map[string]time.Time
	revokedAt       map[string]time.Time
	lastDisturbance time.Time
	ended           time.Time
	// publishedAt is when each config version was published.
	publishedAt map[int]time.Time
	// stops are the planned stops of gates; disturbances may excuse a broken response.
	stops        []plannedStop
	disturbances []disturbance
	// lateKills are kills of gates that did not stop within their grace period. They excuse
	// no broken response.
	lateKills []disturbance
	// storeSilences are the silences of a hushing play, in order.
	storeSilences []interval
	// sound is true if no engine misbehaves: every request must get its response.
	sound bool
	// restarted are the engines that restarted and still serve.
	restarted map[string]bool
	// decoys are engines that only foreign entries name.
	decoys []*standin.Engine
	// streams are the streams of callers that resume them. begun and resumed count the
	// undisturbed requests that began them and that resumed them.
	streams        []stream
	begun, resumed tally
	// excused counts responses that a planned stop was allowed to break.
	excused    int
	violations []string
}

func (r *record) addRequest(a request) {
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

// Allowances for running everything on one machine.
const (
	// drainSlack is how long beyond drainBound requests may still reach a draining engine
	// after it was published and the last disturbance ended: the time to reconnect to the
	// store, and a second.
	drainSlack = 4 * time.Second
	// recoveryWindow is the end of a run in which requests must be served again.
	recoveryWindow = 2500 * time.Millisecond
)

// judge checks the observations against the guarantees.
func (r *record) judge(engines []*standin.Engine, services []string, gateStarts int) {
	ran, reached := map[string][]*standin.Run{}, map[string]bool{}
	for _, e := range engines {
		for _, run := range callerRuns(e) {
			reached[run.ID] = true
			if run.Executed {
				ran[run.ID] = append(ran[run.ID], run)
			}
		}
	}
	r.addCrashDisturbances(engines)
	served, late := 0, 0
	// failed counts, by status, the requests of the recovery window that were not served; 0
	// stands for an incomplete response.
	failed := map[int]int{}
	for _, a := range r.requests {
		r.judgeRequest(a, ran[a.id])
		r.judgeCompleteness(a, ran[a.id])
		if r.sound {
			r.judgeWhole(a, reached[a.id])
		} else if reached[a.id] {
			r.judgeStop(a)
		}
		r.judgeVersion(a)
		// Half of the version routes have been withdrawn.
		_, ofVersion := a.version()
		if a.sent.After(r.ended.Add(-recoveryWindow)) && a.key == keyValid && !ofVersion && a.crashBody == "" {
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
	r.judgeStreams()
	r.judgeCrashingRequests(engines)
	r.judgeCrashingParts(engines)
	for _, e := range r.decoys {
		if n := len(e.Runs()); n > 0 {
			r.addViolation("%d requests reached %s, which only foreign entries name", n, e.ID())
		}
	}
}

func (r *record) judgeRequest(a request, runs []*standin.Run) {
	if len(a.versions) > 1 {
		r.addViolation("%s %s: got events of the versions %v, want one version", a.path, a.id, a.versions)
	}
	if a.status == http.StatusOK && a.complete {
		if a.ending == framing.Complete && !a.bodyMatches {
			r.addViolation("%s %s: got %.200q as a complete response of %d bytes, want the response to this request", a.path, a.id, a.body, a.bytes)
		}
		if !strings.HasSuffix(a.signature, "-"+a.id) {
			r.addViolation("%s %s: got signature %q of another response", a.path, a.id, a.signature)
		}
	}
	if !a.retryable() && len(runs) > 1 {
		r.addViolation("%s %s ran %d times", a.path, a.id, len(runs))
	}
	if statusMeansNotRun(a.status) && !a.retryable() && len(runs) > 0 {
		r.addViolation("%s %s: got status %d, which means that it did not run, but it ran", a.path, a.id, a.status)
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

// judgeBudget checks the retry budget. A retry is an arrival of a request at a service
// after its first. The retries in each window that ends with a retry are bounded by the
// requests of that window, or of the window that lies a half or a whole window earlier.
func (r *record) judgeBudget(service string, engines []*standin.Engine, services []string, gateStarts int) {
	var requests, retries []time.Time
	for _, a := range r.requests {
		if a.service() == service {
			requests = append(requests, a.sent)
		}
	}
	for _, s := range r.streams {
		for _, a := range s.attempts {
			if a.service() == service {
				requests = append(requests, a.sent)
			}
		}
	}
	byID := map[string][]time.Time{}
	for i, e := range engines {
		for _, run := range callerRuns(e) {
			if services[i] == service {
				byID[run.ID] = append(byID[run.ID], run.ArrivedAt)
			}
		}
	}
	for _, times := range byID {
		slices.SortFunc(times, time.Time.Compare)
		retries = append(retries, times[1:]...)
	}
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	for _, end := range retries {
		n := 0
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			n = max(n, within(requests, end.Add(-before)))
		}
		got := within(retries, end)
		if limit := int(retryRatio*float64(n)) + min(retryExtra, gateStarts*extraPerGate); got > limit {
			r.addViolation("retry budget of %s: got %d retries in %v for %d requests, want at most %d", service, got, retryWindow, n, limit)
			return
		}
	}
}

// within counts the sorted times in the retryWindow that ends at end.
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
			r.addViolation("%s reached %s %v after it was published as draining", run.ID, e.ID(), run.ArrivedAt.Sub(at))
			return
		}
	}
}
