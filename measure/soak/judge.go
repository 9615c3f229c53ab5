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
type asked struct {
	gate int
	id   string
	path string
	key  string
	// marked is the body of a request that ends engines, "" for others.
	marked string
	// tokens is the most that may come out, 0 if the request does not tell.
	tokens      int
	sent, ended time.Time
	// status is 0 if there was no head of an answer.
	status int
	// gaveUp is true when the caller's patience was over.
	gaveUp bool
	// by is how the caller sent it.
	by proto
	// end is how the answer ended for the caller by its framing, "" if it did not begin.
	end framing.Completeness
	// whole is true when the answer is told as complete, or ended with its connection and is
	// the request's own.
	whole bool
	// own is true when the body is the whole of the request's own answer; body is empty
	// then. bytes is how long it was.
	own       bool
	bytes     int
	body      string
	signature string
	// fault is what the frames must not have had, "" if they were sound.
	fault string
}

// repeatable reports whether the request may run more than once.
func (a asked) repeatable() bool {
	return strings.HasPrefix(a.path, "/safe/") || strings.HasPrefix(a.path, "/v/") || strings.HasPrefix(a.path, "/resume/")
}

func (a asked) stream() bool {
	return strings.HasPrefix(a.path, "/chat/") || strings.HasPrefix(a.path, "/resume/") || a.long()
}

func (a asked) long() bool { return strings.HasPrefix(a.path, longPath) }

// deadline is what the caller tells, and what the route allows.
func (a asked) deadline() time.Duration {
	if a.long() {
		return standin.LongTimeout
	}
	return askTimeout
}

// leaving reports whether a gate refused the request since it was stopping.
func (a asked) leaving() bool {
	return a.status == http.StatusServiceUnavailable && a.signature == "" && strings.Contains(a.body, `"reason":"leaving"`)
}

// want is the whole answer to a request.
func (a asked) want() string {
	if strings.HasSuffix(a.path, longPlain) {
		return "for " + a.id + longPlainRest
	}
	if !a.stream() {
		return "for " + a.id
	}
	events := streamEvents
	if a.long() {
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
	mu    sync.Mutex
	asked []asked
	// leaving is the bound for leaving engines.
	leaving time.Duration
	// left has when engines were published as leaving, revoked when keys were
	// taken away, disturbed when the last trouble was over.
	left      map[string]time.Time
	revoked   map[string]time.Time
	disturbed time.Time
	ended     time.Time
	// published has when each version was.
	published map[int]time.Time
	// stops has when gates were told to stop, troubles what may excuse a cut.
	stops    []stopped
	troubles []trouble
	// kills are those of gates that were told to stop and did not in time. They excuse no cut.
	kills []trouble
	// hushes are the silences of a hushing play, one after the other.
	hushes []span
	// restarted are the engines that started again, and still serve.
	restarted map[string]bool
	// decoys are engines that only entries of another writer named.
	decoys []*standin.Engine
	// excused counts cuts around a planned stop that break no promise.
	excused int
	broken  []string
}

func (r *record) add(a asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, a)
}

func (r *record) setDisturbed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = at
}

func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// Slack of the judgement for what one machine adds.
const (
	// leaveSlack is how long beyond the bound for leaving engines requests may still reach
	// one after it was published, and the last trouble over: the time to find back to the
	// store, and a second.
	leaveSlack = 4 * time.Second
	// recovered is the end of a run in which requests must be served again.
	recovered = 2500 * time.Millisecond
)

// judge holds what was seen against the promises.
func (r *record) judge(engines []*standin.Engine, services []string, gateLives int) {
	ran, reached := map[string][]*standin.Run{}, map[string]bool{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			reached[run.ID] = true
			if run.Executed {
				ran[run.ID] = append(ran[run.ID], run)
			}
		}
	}
	r.noteCrashes(engines)
	served, late := 0, 0
	// failed counts the last requests that were not served by status, 0 where
	// there was no whole answer.
	failed := map[int]int{}
	for _, a := range r.asked {
		r.judgeOne(a, ran[a.id])
		r.judgeEnd(a, ran[a.id])
		if reached[a.id] {
			r.judgeStop(a)
		}
		r.judgeVersion(a)
		// Of the routes of versions half are gone.
		_, ofVersion := a.version()
		if a.sent.After(r.ended.Add(-recovered)) && a.key == keyKept && !ofVersion && a.marked == "" {
			late++
			if a.status == http.StatusOK && a.whole {
				served++
			} else if a.whole {
				failed[a.status]++
			} else {
				failed[0]++
			}
		}
	}
	for id, runs := range ran {
		for _, run := range runs {
			if run.Workspace() != workspace {
				r.breaks("%s ran for workspace %q, want %q", id, run.Workspace(), workspace)
			}
		}
	}
	if served*10 < late*9 {
		r.breaks("recovery: %d of the last %d requests were served, the others by status %v", served, late, failed)
	}
	for _, service := range []string{"llm", "api"} {
		r.judgeBudget(service, engines, services, gateLives)
	}
	for _, e := range engines {
		r.judgeLeaving(e)
	}
	r.judgeRestarted(engines, services)
	r.judgeEnding(engines)
	for _, e := range r.decoys {
		if n := len(e.Runs()); n > 0 {
			r.breaks("%d requests reached %s, which only entries of another writer named", n, e.ID())
		}
	}
}

func (r *record) judgeOne(a asked, runs []*standin.Run) {
	if a.status == http.StatusOK && a.whole {
		if a.end == framing.Complete && !a.own {
			r.breaks("%s %s: got %.200q as a whole answer of %d bytes, want its own", a.path, a.id, a.body, a.bytes)
		}
		if !strings.HasSuffix(a.signature, "-"+a.id) {
			r.breaks("%s %s: got signature %q of another answer", a.path, a.id, a.signature)
		}
	}
	if !a.repeatable() && len(runs) > 1 {
		r.breaks("%s %s ran %d times", a.path, a.id, len(runs))
	}
	if promised(a.status) && !a.repeatable() && len(runs) > 0 {
		r.breaks("%s %s: got %d, which says not run, and it ran", a.path, a.id, a.status)
	}
	if at, ok := r.revoked[a.key]; ok && a.sent.After(at.Add(revocation)) && len(runs) > 0 {
		r.breaks("%s %s ran with a key that was revoked %v before it was sent", a.path, a.id, a.sent.Sub(at))
	}
}

func (a asked) service() string {
	if a.stream() {
		return "llm"
	}
	return "api"
}

// judgeBudget looks at each window that ends with a repeat, which is an
// arrival at a service beyond the first of a request. The requests of the
// window, or of one that lies a half or a whole before it, bound the repeats.
func (r *record) judgeBudget(service string, engines []*standin.Engine, services []string, gateLives int) {
	var requests, repeats []time.Time
	for _, a := range r.asked {
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
		if most := int(retryRatio*float64(n)) + min(retryExtra, gateLives*extraPerGate); got > most {
			r.breaks("budget of %s: %d repeats in %v of %d requests, want at most %d", service, got, retryWindow, n, most)
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

func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *record) judgeLeaving(e *standin.Engine) {
	at, ok := r.left[e.ID()]
	if !ok {
		return
	}
	until := r.mayGet(at)
	for _, run := range e.Runs() {
		if run.ArrivedAt.After(until) {
			r.breaks("%s reached %s %v after it was published as leaving", run.ID, e.ID(), run.ArrivedAt.Sub(at))
			return
		}
	}
}
