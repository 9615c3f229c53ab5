package integration_test

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/fleet/member"
	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/standin/engine"
)

// schedule is a row of faults: what happens, and what mends it.
type schedule struct {
	name  string
	fault func(f *fleettest.Fleet)
	mend  func(f *fleettest.Fleet)
}

func heal(f *fleettest.Fleet)   { f.Net.Heal() }
func nothing(*fleettest.Fleet)  {}
func mode(m string) fault       { return func(f *fleettest.Fleet) { f.SetPlatformMode(m) } }
func all(faults ...fault) fault { return func(f *fleettest.Fleet) { run(f, faults) } }

type fault func(f *fleettest.Fleet)

func run(f *fleettest.Fleet, faults []fault) {
	for _, x := range faults {
		x(f)
	}
}

func killEngineDaemon(f *fleettest.Fleet)  { f.EngineDaemons[0].Kill() }
func killServiceDaemon(f *fleettest.Fleet) { f.ServiceDaemons[0].Kill() }
func killEngine(f *fleettest.Fleet)        { f.Engines[1].Kill() }
func killEntry(f *fleettest.Fleet)         { f.Entries[1].Kill() }
func freezeServiceDaemon(f *fleettest.Fleet) {
	f.ServiceDaemons[0].Freeze()
}
func thawServiceDaemon(f *fleettest.Fleet) { f.ServiceDaemons[0].Thaw() }
func freezeEngineDaemon(f *fleettest.Fleet) {
	f.EngineDaemons[0].Freeze()
}
func thawEngineDaemon(f *fleettest.Fleet) { f.EngineDaemons[0].Thaw() }
func freezeEntry(f *fleettest.Fleet)      { f.Entries[1].Freeze() }
func thawEntry(f *fleettest.Fleet)        { f.Entries[1].Thaw() }
func resetLinks(f *fleettest.Fleet) {
	for _, d := range f.EngineDaemons {
		f.Net.Reset(fleettest.Any, d.Name)
	}
}
func resetEngineLinks(f *fleettest.Fleet) {
	for _, e := range f.Engines {
		f.Net.Reset(fleettest.Any, e.Name)
	}
}
func flapList(f *fleettest.Fleet) {
	for range 3 {
		f.UnlistInstance(f.EngineDaemons[0])
		f.UnlistInstance(f.ServiceDaemons[0])
		wait(100)
		f.ListInstance(f.EngineDaemons[0], member.Live)
		f.ListInstance(f.ServiceDaemons[0], member.Live)
		wait(100)
	}
}
func operators(f *fleettest.Fleet) {
	for i := range 10 {
		f.PutConfig("planning", fmt.Sprintf("[limits]\ndeadline_ms = %d\n", 100_000+i))
		f.PutConfig("planning", "[limits]\ndeadline_ms = \"broken\"\n")
	}
}
func splitFleet(f *fleettest.Fleet) {
	f.Net.Partition(
		[]string{"entry-1", "engine-0-daemon", "desk-0-daemon"},
		[]string{"entry-0", "engine-1-daemon", "engine-2-daemon", "engine-3-daemon", "desk-1-daemon", "desk-2-daemon"},
	)
}

var schedules = []schedule{
	{"nothing", nothing, nothing},
	{"kill engine daemon", killEngineDaemon, nothing},
	{"kill service daemon", killServiceDaemon, nothing},
	{"kill engine", killEngine, nothing},
	{"kill entry", killEntry, nothing},
	{"freeze engine daemon", freezeEngineDaemon, thawEngineDaemon},
	{"freeze service daemon", freezeServiceDaemon, thawServiceDaemon},
	{"freeze entry", freezeEntry, thawEntry},
	{"cut entry to daemon", func(f *fleettest.Fleet) { f.Net.CutBoth("entry-0", "engine-0-daemon") }, heal},
	{"cut entry to service daemon one way", func(f *fleettest.Fleet) { f.Net.Cut("entry-0", "desk-0-daemon") }, heal},
	{"cut service daemon to entries one way", func(f *fleettest.Fleet) { f.Net.Cut("desk-0-daemon", fleettest.Any) }, heal},
	{"cut daemon to engine", func(f *fleettest.Fleet) { f.Net.CutBoth("engine-0-daemon", "engine-0") }, heal},
	{"cut daemon from service one way", func(f *fleettest.Fleet) { f.Net.Cut("desk-0", "desk-0-daemon") }, heal},
	{"delay answers", func(f *fleettest.Fleet) { f.Net.Delay("engine-0-daemon", fleettest.Any, 300) }, heal},
	{"reset links to daemons", all(resetLinks, func(*fleettest.Fleet) { wait(300) }, resetLinks), nothing},
	{"reset links to engines", all(resetEngineLinks, func(*fleettest.Fleet) { wait(300) }, resetEngineLinks), nothing},
	{"split fleet", splitFleet, heal},
	{"platform down", mode("down"), mode("ok")},
	{"platform stale", mode("stale"), mode("ok")},
	{"flapping list", flapList, nothing},
	{"operators race", operators, nothing},
	{"platform down and kill service daemon", all(mode("down"), killServiceDaemon), mode("ok")},
	{"platform stale and flapping list", all(mode("stale"), flapList), mode("ok")},
	{"freeze service daemon and kill entry", all(freezeServiceDaemon, killEntry), thawServiceDaemon},
	{"split fleet and kill engine daemon", all(splitFleet, killEngineDaemon), heal},
	{"reset links and freeze engine daemon", all(resetLinks, freezeEngineDaemon, resetEngineLinks), thawEngineDaemon},
	{"kill two service daemons", all(killServiceDaemon, func(f *fleettest.Fleet) { f.ServiceDaemons[1].Kill() }), nothing},
}

func wait(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }

// workload sends chats and keyed service calls while faults go on, and keeps
// what each caller was told.
type workload struct {
	f    *fleettest.Fleet
	t    *testing.T
	stop atomic.Bool
	wg   sync.WaitGroup

	mu sync.Mutex
	// chats and calls are what callers sent and got.
	chats []told
	calls map[string][]answer
	whole int
}

type told struct {
	body   string
	tokens int
	stream bool
	answer answer
}

func newWorkload(t *testing.T, f *fleettest.Fleet) *workload {
	return &workload{f: f, t: t, calls: map[string][]answer{}}
}

// wholeSoFar counts the whole answers to chats.
func (w *workload) wholeSoFar() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.chats {
		if c.answer.whole {
			n++
		}
	}
	return n
}

func (w *workload) entry(r *rand.Rand) *fleettest.Process {
	return w.f.Entries[r.IntN(len(w.f.Entries))]
}

// chat sends turns of one chat after the other until the end.
func (w *workload) chat(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var turns []string
	for n := 0; !w.stop.Load(); n++ {
		if len(turns) > 5 {
			turns = nil
		}
		turns = append(turns, fmt.Sprintf("chat %d turn %d %s", seed, n, strings.Repeat("x", r.IntN(400))))
		c := told{tokens: 5 + r.IntN(40), stream: n%3 != 0}
		c.body = chatBody(c.stream, c.tokens, turns...)
		c.answer = chat(w.entry(r), c.body).send()
		w.mu.Lock()
		w.chats = append(w.chats, c)
		w.mu.Unlock()
		if !c.answer.whole {
			turns = nil
			wait(20)
			continue
		}
		turns = append(turns, c.answer.content)
	}
}

// call sends service calls that may not be repeated, each several times
// through any entry, as a caller does who did not get an answer.
func (w *workload) call(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 0; !w.stop.Load(); n++ {
		key := uuid7(r)
		q := request{path: "/services/desk/fees", key: fleettest.Key("vigia", "ws0"), body: key, headers: map[string]string{"Idempotency-Key": key}}
		repeats := 1 + r.IntN(3)
		var wg sync.WaitGroup
		for range repeats {
			q.entry = w.entry(r)
			once := q
			wg.Go(func() {
				a := once.send()
				w.mu.Lock()
				defer w.mu.Unlock()
				w.calls[key] = append(w.calls[key], a)
			})
			wait(r.IntN(30))
		}
		wg.Wait()
	}
}

// uuid7 makes a UUID of version 7 (RFC 9562) for now.
func uuid7(r *rand.Rand) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], uint64(clock.System().Wall())<<16)
	binary.BigEndian.PutUint64(b[8:], r.Uint64())
	b[6] = 0x70 | byte(r.IntN(16))
	b[7] = byte(r.IntN(256))
	b[8] = b[8]&0x3f | 0x80
	return hex.EncodeToString(b[:])
}

// judge compares what callers were told with what really ran.
func (w *workload) judge() {
	w.t.Helper()
	byCaller, byRequest := map[string]int{}, map[string]int{}
	for _, p := range append(append([]*fleettest.Process(nil), w.f.Services...), w.f.Engines...) {
		for _, r := range w.f.StartedRuns(p) {
			byCaller[r.CallerKey]++
			byRequest[r.Key]++
		}
	}
	w.judgeCalls(byCaller)
	w.judgeChats(byRequest)
}

func (w *workload) judgeCalls(ran map[string]int) {
	w.t.Helper()
	unanswered, unknown := 0, 0
	for key, answers := range w.calls {
		runs, whole, notRun := ran[key], 0, 0
		for _, a := range answers {
			if a.whole {
				whole++
				if !strings.Contains(a.body, fmt.Sprintf(`"bytes":%d`, len(key))) {
					w.t.Errorf("key %s: got the answer %s, want its own", key, a.body)
				}
			}
			if a.verdict == "not_run" {
				notRun++
			}
		}
		if whole == 0 {
			unanswered++
			if runs == 0 {
				unknown++
			}
		}
		if runs > 1 || whole > 1 {
			w.t.Errorf("key %s: got %d runs and %d answers, want at most one", key, runs, whole)
		}
		if notRun == len(answers) && runs > 0 {
			w.t.Errorf("key %s: got %d runs after not_run alone", key, runs)
		}
	}
	w.t.Logf("%d keys, %d without an answer, %d of them had not run", len(w.calls), unanswered, unknown)
}

func (w *workload) judgeChats(ran map[string]int) {
	w.t.Helper()
	whole, failed := 0, map[string]int{}
	for _, c := range w.chats {
		want := engine.Content([]byte(c.body), c.tokens)
		a := c.answer
		switch {
		case a.whole && a.content != want:
			w.t.Errorf("got another answer than the engine made:\n%s\nwant\n%s", a.content, want)
		case a.whole:
			whole++
		case !strings.HasPrefix(want, a.content):
			w.t.Errorf("a cut answer: got %s, want a beginning of %s", a.content, want)
		default:
			failed[a.verdict+" "+a.reason]++
		}
		if a.verdict == "not_run" && ran[requestOf(a)] > 0 {
			w.t.Errorf("request %s: told not_run (%s), but it ran", requestOf(a), a.reason)
		}
	}
	w.whole = whole
	w.t.Logf("%d chats, %d whole, others %v", len(w.chats), whole, failed)
}

func requestOf(a answer) string {
	if a.header == nil {
		return "none"
	}
	return a.header.Get("X-Request-Id")
}

// recovered waits until requests through every entry that lives succeed.
func (w *workload) recovered() {
	w.t.Helper()
	for _, e := range w.f.Entries {
		if e.Exited() {
			continue
		}
		w.f.Eventually("answer through "+e.Name, func() bool {
			return chat(e, chatBody(false, 3, "after")).send().whole
		})
	}
}

// faultTime is how long a fault lasts, and how long the load goes on after.
const faultTime = 1800

// leastWhole is how many whole answers show that the load goes on.
const leastWhole = 50

func TestPromisesHoldUnderFaults(t *testing.T) {
	limit := make(chan struct{}, 3)
	for i, s := range schedules {
		t.Run(strings.ReplaceAll(s.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			f := fleettest.Start(t, fleettest.Spec{
				Engines: 4, Services: 3, Entries: 2, Fleet: "[limits]\ndeadline_ms = 20000\n",
				EngineArgs: []string{"--gap-ms", "3", "--lag-ms", "500"}, ServiceArgs: []string{"--delay-ms", "40"},
			})
			w := newWorkload(t, f)
			defer func() {
				w.stop.Store(true)
				w.wg.Wait()
			}()
			for k := range uint64(8) {
				w.wg.Go(func() { w.chat(uint64(i)*100 + k) })
			}
			// Witnesses that have just started cannot vouch for older keys.
			wait(5200)
			for k := range uint64(4) {
				w.wg.Go(func() { w.call(uint64(i)*100 + k) })
			}
			wait(500)
			s.fault(f)
			wait(faultTime)
			s.mend(f)
			wait(faultTime)
			// How fast the load goes on is the machine's matter.
			f.Eventually("whole answers", func() bool { return w.wholeSoFar() >= leastWhole })
			w.stop.Store(true)
			w.wg.Wait()
			w.recovered()
			w.judge()
			if w.whole < leastWhole {
				t.Errorf("got %d whole answers, want the load to go on", w.whole)
			}
			http.DefaultClient.CloseIdleConnections()
		})
	}
}
