package quarantine_test

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// fleet simulates a deployment: entries that exchange reports of suspects, engines that crash,
// and clients.
type fleet struct {
	rng             *rand.Rand
	now             clock.Millis
	queue           events
	scheduled       int
	entries         []*entry
	engines         []*engine
	lastIncarnation uint32
	// crashes holds the times at which engines crashed under the poison request.
	crashes []clock.Millis
	// arrivals holds the times at which it reached engines, from entries that did not start
	// recently.
	arrivals []clock.Millis
	// served, refused and broken count the other requests by digest.
	served, refused, broken map[quarantine.Digest]int
	// servedAt holds the times at which requests were first served.
	servedAt map[quarantine.Digest]clock.Millis
	// requests is the number of requests with a prompt so far, and onPartCrash records the crash
	// of the engine of one.
	requests    uint64
	onPartCrash func(r *partRun)
	// messageDelay is the most that a message between entries is late beside its latency.
	messageDelay clock.Millis
}

type entry struct {
	list *quarantine.List
	// disconnected entries exchange no messages with others. They know it if isolated is set.
	disconnected, isolated bool
	// startedAt is when the entry was restarted, zero if never.
	startedAt clock.Millis
	// sending is true while a message is scheduled.
	sending bool
}

type engine struct {
	incarnation uint32
	// upAt is when the engine becomes available again after a crash.
	upAt    clock.Millis
	running []*run
}

// run is a request at an engine.
type run struct {
	digest      quarantine.Digest
	entry       *entry
	engine      *engine
	incarnation uint32
	trial       bool
	// retries is the number of times that the client will retry the request.
	retries  int
	duration clock.Millis
	// owner is the request with a prompt that this is a run of, nil if it has no prompt.
	owner *partRun
}

// Parameters of the simulation.
const (
	restartTime     clock.Millis = 500
	crashDelay      clock.Millis = 60
	compareInterval clock.Millis = 400
	fanout                       = 3
	// listLag is the time until the list of engines reports a crash.
	listLag clock.Millis = 1500
)

// poison is the digest of the request that crashes engines.
var poison = digestOf(1)

func digestOf(n uint64) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], n)
	return d
}

func newFleet(seed uint64, entries, engines int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: 1000, served: map[quarantine.Digest]int{}, refused: map[quarantine.Digest]int{},
		broken: map[quarantine.Digest]int{}, servedAt: map[quarantine.Digest]clock.Millis{},
	}
	for range entries {
		e := &entry{list: quarantine.NewList(f.rng.Uint32)}
		f.entries = append(f.entries, e)
		f.after(clock.Millis(f.rng.IntN(int(compareInterval))), func() { f.startComparing(e) })
	}
	for range engines {
		f.lastIncarnation++
		f.engines = append(f.engines, &engine{incarnation: f.lastIncarnation})
	}
	return f
}

// events is a heap of scheduled events, the earliest first.
type events []event

type event struct {
	at clock.Millis
	// seq is the order in which events were scheduled.
	seq int
	do  func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// after schedules do after a delay.
func (f *fleet) after(delay clock.Millis, do func()) {
	f.scheduled++
	heap.Push(&f.queue, event{at: f.now + delay, seq: f.scheduled, do: do})
}

// advance processes the events of the next d milliseconds.
func (f *fleet) advance(d clock.Millis) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = max(f.now, e.at)
		e.do()
	}
	f.now = end
}

// every calls do now and then once per period, until the given time.
func (f *fleet) every(period clock.Millis, until clock.Millis, do func()) {
	if f.now >= until {
		return
	}
	do()
	f.after(period, func() { f.every(period, until, do) })
}

// latency returns a random latency of a message.
func (f *fleet) latency() clock.Millis { return clock.Millis(1 + f.rng.IntN(8)) }

func notLost(uint32) bool { return false }

// flush sends the pending reports of an entry to random peers.
func (f *fleet) flush(e *entry) {
	if e.sending || !e.list.HasPending() {
		return
	}
	e.sending = true
	f.after(1, func() {
		e.sending = false
		packed := e.list.TakePending(quarantine.MaxReports, f.now).Pack()
		for _, i := range f.rng.Perm(len(f.entries))[:min(fanout+1, len(f.entries))] {
			f.send(e, f.entries[i], packed)
		}
		f.flush(e)
	})
}

// send delivers reports to another entry, unless one of the two is disconnected.
func (f *fleet) send(from, to *entry, packed string) {
	delay := f.latency()
	if f.messageDelay > 0 {
		delay += clock.Millis(f.rng.IntN(int(f.messageDelay)))
	}
	f.after(delay, func() {
		reports, err := quarantine.Unpack(packed)
		if err != nil {
			panic(err)
		}
		if from == to || from.disconnected || to.disconnected {
			return
		}
		for _, r := range reports {
			to.list.Merge(r, notLost, f.now)
		}
		f.flush(to)
	})
}

// restart replaces an entry by an empty one, which compares with a peer at once.
func (f *fleet) restart(e *entry) {
	*e = entry{list: quarantine.NewList(f.rng.Uint32), startedAt: f.now}
	f.compare(e)
}

// startComparing makes an entry compare with peers periodically.
func (f *fleet) startComparing(e *entry) {
	f.compare(e)
	f.after(compareInterval, func() { f.startComparing(e) })
}

// compare exchanges samples with a random peer if the checksums differ.
func (f *fleet) compare(e *entry) {
	o := f.entries[f.rng.IntN(len(f.entries))]
	if o.list.Checksum(f.now) == e.list.Checksum(f.now) {
		return
	}
	f.send(e, o, e.list.Sample(4, f.now).Pack())
	f.send(o, e, o.list.Sample(16, f.now).Pack())
}

// available returns the engines that are not down.
func (f *fleet) available() []*engine {
	var out []*engine
	for _, e := range f.engines {
		if f.now >= e.upAt {
			out = append(out, e)
		}
	}
	return out
}

// submit sends a request to an entry.
func (f *fleet) submit(e *entry, d quarantine.Digest, duration clock.Millis, retries int) {
	engines := f.available()
	if len(engines) == 0 {
		f.refused[d]++
		return
	}
	r := &run{digest: d, entry: e, retries: retries, duration: duration}
	switch e.list.Admit(quarantine.Subjects{d}, e.isolated, f.now).(type) {
	case quarantine.Held:
		f.refused[d]++
	case quarantine.Trial:
		f.flush(e)
		f.after(quarantine.ClaimSettleTime, func() { f.startTrial(r) })
	case quarantine.Allowed:
		f.start(r, engines[f.rng.IntN(len(engines))])
	}
}

// startTrial starts a claimed trial on the least loaded engine, unless another entry won the
// claim.
func (f *fleet) startTrial(r *run) {
	engines := f.available()
	if len(engines) == 0 || !r.entry.list.OwnsTrial(r.digest, f.now) {
		f.refused[r.digest]++
		r.entry.list.EndTrial(r.digest, f.now)
		f.flush(r.entry)
		return
	}
	target := engines[0]
	for _, o := range engines {
		if len(o.running) < len(target.running) {
			target = o
		}
	}
	r.entry.list.StartTrial(r.digest, target.incarnation, f.now)
	f.flush(r.entry)
	r.trial = true
	f.start(r, target)
}

func (f *fleet) start(r *run, e *engine) {
	r.engine, r.incarnation = e, e.incarnation
	e.running = append(e.running, r)
	if r.digest == poison {
		// Entries that started recently may not have received the reports yet.
		if r.entry.startedAt == 0 || f.now-r.entry.startedAt > spreadTime {
			f.arrivals = append(f.arrivals, f.now)
		}
		f.after(crashDelay, func() { f.crashUnder(r) })
		return
	}
	f.after(r.duration, func() { f.finish(r) })
}

func (f *fleet) finish(r *run) {
	i := slices.Index(r.engine.running, r)
	if i < 0 {
		return
	}
	r.engine.running = slices.Delete(r.engine.running, i, i+1)
	f.served[r.digest]++
	if f.served[r.digest] == 1 {
		f.servedAt[r.digest] = f.now
	}
	r.entry.list.RecordSuccess(r.digest, f.now)
	f.flush(r.entry)
}

func (f *fleet) crashUnder(r *run) {
	if slices.Contains(r.engine.running, r) {
		f.crashes = append(f.crashes, f.now)
		f.crash(r.engine)
	}
}

// crash crashes an engine, which breaks its requests.
func (f *fleet) crash(e *engine) {
	running := e.running
	incarnation := e.incarnation
	f.after(listLag, func() {
		for _, o := range f.entries {
			o.list.ConfirmCrash(incarnation, f.now)
		}
	})
	f.lastIncarnation++
	e.running, e.incarnation, e.upAt = nil, f.lastIncarnation, f.now+restartTime
	for _, r := range running {
		if r.owner != nil {
			f.after(f.latency(), func() { f.onPartCrash(r.owner) })
			continue
		}
		f.broken[r.digest]++
		f.after(f.latency(), func() {
			r.entry.list.RecordCrash(quarantine.Attempt{Digest: r.digest, Fingerprint: 1, Incarnation: r.incarnation, Trial: r.trial}, f.now)
			f.flush(r.entry)
		})
		if r.retries > 0 {
			f.after(10+f.latency(), func() { f.submit(f.randomEntry(), r.digest, r.duration, r.retries-1) })
		}
	}
}

// randomEntry returns a random entry.
func (f *fleet) randomEntry() *entry { return f.entries[f.rng.IntN(len(f.entries))] }

// lateArrivals counts the arrivals later than d after the third crash.
func (f *fleet) lateArrivals(d clock.Millis) int {
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at > f.crashes[2]+d {
			n++
		}
	}
	return n
}
