package soak

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// stream is a stream that a caller received over one or several requests.
type stream struct {
	id string
	// events are the whole events that it received.
	events []event
	// attempts are its requests, in order.
	attempts []streamAttempt
}

// event is a whole event of a stream.
type event struct{ id, version string }

// streamAttempt is a request that begins or resumes a stream.
type streamAttempt struct {
	request
	// events is the number of events that it received.
	events int
	// expected is true if at least two engines of the version that began the stream were in
	// service when it was sent.
	expected bool
}

const (
	// resumingCallers is the number of additional callers per gate that resume streams.
	resumingCallers = 3
	// maxAttempts is how many requests a caller makes for a stream.
	maxAttempts = 4
	// maxResumeDelay limits the time from the end of a request to the next one.
	maxResumeDelay = 300 * time.Millisecond
	resumingFrom   = 1 << 36
)

// callResuming requests streams until the run ends. The caller leaves some of them, and
// resumes each that did not end, at another gate or the same one.
func (w *deployment) callResuming(g, c int) {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(resumingFrom+g*resumingCallers+c)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerPatience}
	defer client.CloseIdleConnections()
	for n := 0; w.ctx.Err() == nil; n++ {
		w.rec.addStream(w.receive(client, fmt.Sprintf("s%dc%dn%d", g, c, n), rng))
	}
}

// receive requests a stream until it is complete, or until maxAttempts.
func (w *deployment) receive(client *http.Client, id string, rng *rand.Rand) stream {
	s := stream{id: id}
	for n := range maxAttempts {
		a := streamAttempt{request: request{gate: w.gateFor(s, rng), id: fmt.Sprintf("%st%d", id, n), path: "/resume/" + id, key: keyValid, sent: time.Now()}}
		if len(s.events) > 0 {
			a.expected = w.inService(s.events[0].version) >= 2
		}
		leaveAfter := math.MaxInt
		if rng.IntN(2) == 0 {
			leaveAfter = 1 + rng.IntN(streamEvents-1)
		}
		got, done := w.receivePart(client, &a, s, leaveAfter)
		a.events, a.ended = len(got), time.Now()
		s.events, s.attempts = append(s.events, got...), append(s.attempts, a)
		if done || w.ctx.Err() != nil {
			break
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxResumeDelay))))
	}
	time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
	return s
}

// gateFor draws the gate for the next request of a stream. Callers resume half of the streams at
// gates that are cut off, if there are any.
func (w *deployment) gateFor(s stream, rng *rand.Rand) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(s.events) > 0 && len(w.outOfStep) > 0 && rng.IntN(2) == 0 {
		return w.outOfStep[rng.IntN(len(w.outOfStep))]
	}
	return rng.IntN(len(w.gates))
}

// receivePart sends one request for the rest of a stream and returns the events that it
// brings. The caller leaves after some of them. done is true if the stream is complete.
func (w *deployment) receivePart(client *http.Client, a *streamAttempt, s stream, leaveAfter int) (got []event, done bool) {
	req, err := w.request(w.gates[a.gate].callersAddr, a.request)
	if err != nil {
		return nil, false
	}
	if len(s.events) > 0 {
		req.Header.Set("Last-Event-Id", s.events[len(s.events)-1].id)
		req.Header.Set("Resumes", s.origin().id)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = res.Body.Close() }()
	if a.status = res.StatusCode; a.status != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		a.body = string(body)
		return nil, false
	}
	lines := bufio.NewReader(res.Body)
	var now event
	for len(got) < leaveAfter {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return got, true
		}
		if err != nil {
			return got, false
		}
		field, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch field {
		case "id":
			now.id = value
		case "event":
			now.version = value
		case "":
			got, now = append(got, now), event{}
		}
	}
	return got, false
}

// origin returns the attempt that brought the first event, the zero value if none did.
func (s stream) origin() request {
	for _, a := range s.attempts {
		if a.events > 0 {
			return a.request
		}
	}
	return request{}
}

func (r *record) addStream(s stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams = append(r.streams, s)
}

// judgeStreams checks that each stream holds the events of one version, without a gap, and
// that most streams which callers resume continue while engines of their version serve.
func (r *record) judgeStreams() {
	for _, s := range r.streams {
		var versions []string
		for i, e := range s.events {
			versions = append(versions, e.version)
			if want := fmt.Sprint(i + 1); e.id != want {
				r.addViolation("stream %s: got event %s after %d events, want %s", s.id, e.id, i, want)
				break
			}
		}
		slices.Sort(versions)
		if versions = slices.Compact(versions); len(versions) > 1 {
			r.addViolation("stream %s: got events of the versions %v, %s, want one version", s.id, versions, s)
		}
		for i, a := range s.attempts {
			switch {
			case r.gateDisturbed(a.request):
			case i == 0:
				r.begun.add(a.events > 0)
			case a.expected && !r.originCutOff(s, a.request):
				r.resumed.add(a.events > 0)
			}
		}
	}
	if r.resumed.total >= minResumed && r.resumed.share() < minResumedShare*r.begun.share() {
		r.addViolation("resumed streams: %d of %d continued while engines of their version served, of new ones %d of %d began", r.resumed.good, r.resumed.total, r.begun.good, r.begun.total)
	}
}

// gateDisturbed reports whether a disturbance of the gate or of the store could affect the
// request, or a stop of the gate.
func (r *record) gateDisturbed(a request) bool {
	disturbed := slices.ContainsFunc(r.disturbances, func(t disturbance) bool {
		return !slices.Contains([]Kind{Release, RestartEngines, EngineFault, SilentEngineConns}, t.kind) && t.affects(a)
	})
	return disturbed || slices.ContainsFunc(r.stops, func(s plannedStop) bool { return s.overlaps(a) })
}

// originCutOff reports whether the gate at which a stream began was cut off, so that the gate of
// a later attempt could not ask it for the version.
func (r *record) originCutOff(s stream, a request) bool {
	begun := s.origin()
	begun.ended = a.ended
	return slices.ContainsFunc(r.disturbances, func(t disturbance) bool { return t.kind == CutOff && t.affects(begun) })
}

const (
	// minResumed is the number of resumed streams from which their share counts, and
	// minResumedShare its least value as a part of the share of new streams.
	minResumed      = 12
	minResumedShare = 0.5
)

// tally counts good ones among all.
type tally struct{ good, total int }

func (t *tally) add(good bool) {
	t.total++
	if good {
		t.good++
	}
}

func (t tally) share() float64 { return float64(t.good) / float64(max(1, t.total)) }

// String returns the attempts of the stream as reports show them.
func (s stream) String() string {
	var b strings.Builder
	n := 0
	for _, a := range s.attempts {
		fmt.Fprintf(&b, "%s at gate %d: status %d, events", a.id, a.gate, a.status)
		for range a.events {
			fmt.Fprintf(&b, " %s", s.events[n].version)
			n++
		}
		b.WriteString("; ")
	}
	return b.String()
}

// splitVersions removes the lines from a stream by which events name their versions, and
// returns these versions, sorted.
func splitVersions(body string) (rest string, versions []string) {
	if !strings.Contains(body, versionLine) {
		return body, nil
	}
	var b strings.Builder
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, versionLine); ok {
			versions = append(versions, strings.TrimSpace(v))
			continue
		}
		b.WriteString(line)
	}
	slices.Sort(versions)
	return b.String(), slices.Compact(versions)
}

// versionLine is the start of the line by which an event names the version of its engine.
const versionLine = "event: "
