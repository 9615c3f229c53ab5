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

// fleet is a deployment without network: entries that tell each other of suspects,
// engines that end, and callers.
type fleet struct {
	rng             *rand.Rand
	now             clock.Millis
	queue           events
	scheduled       int
	entries         []*entry
	engines         []*engine
	lastIncarnation uint32
	// ends are the times at which engines ended under the marked request.
	crashes []clock.Millis
	// arrivals are the times at which it reached engines, from entries that have been
	// there for a while.
	arrivals []clock.Millis
	// served and refused count the others by digest.
	served, refused, broken map[quarantine.Digest]int
	// servedAt is when each was first served.
	servedAt map[quarantine.Digest]clock.Millis
}

type entry struct {
	list *quarantine.List
	// deaf entries neither hear others nor are heard; they know it if alone is true.
	disconnected, isolated bool
	// since is when it started.
	startedAt clock.Millis
	// waking is true while news are about to be told.
	sending bool
}

type engine struct {
	incarnation uint32
	// back is when the engine is there again, if it is not.
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
	// again is how many more times its caller sends it, if it breaks off.
	retries  int
	duration clock.Millis
}

// Figures of the simulation.
const (
	restartTime     clock.Millis = 500
	crashDelay      clock.Millis = 60
	compareInterval clock.Millis = 400
	fanout                       = 3
	// listLag is how late the list of engines says that one is gone.
	listLag clock.Millis = 1500
)

// marked is the digest of the request that ends engines.
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

// events are what is to happen, the earliest first.
type events []event

type event struct {
	at clock.Millis
	// n is the place in which events were entered.
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

// at has f called so much later.
func (f *fleet) after(later clock.Millis, do func()) {
	f.scheduled++
	heap.Push(&f.queue, event{at: f.now + later, seq: f.scheduled, do: do})
}

// run lets so much time go by.
func (f *fleet) advance(d clock.Millis) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = max(f.now, e.at)
		e.do()
	}
	f.now = end
}

// every has f called from now on.
func (f *fleet) every(period clock.Millis, until clock.Millis, do func()) {
	if f.now >= until {
		return
	}
	do()
	f.after(period, func() { f.every(period, until, do) })
}

// hop is how long a message takes.
func (f *fleet) latency() clock.Millis { return clock.Millis(1 + f.rng.IntN(8)) }

func notLost(uint32) bool { return false }

// tell sends the news of an entry to some others.
func (f *fleet) flush(e *entry) {
	if e.sending || !e.list.HasPending() {
		return
	}
	e.sending = true
	f.after(1, func() {
		e.sending = false
		text := e.list.TakePending(quarantine.MaxReports, f.now).Pack()
		for _, i := range f.rng.Perm(len(f.entries))[:min(fanout+1, len(f.entries))] {
			f.send(e, f.entries[i], text)
		}
		f.flush(e)
	})
}

// send brings news to another entry, unless one of the two is deaf.
func (f *fleet) send(from, to *entry, text string) {
	f.after(f.latency(), func() {
		news, err := quarantine.Unpack(text)
		if err != nil {
			panic(err)
		}
		if from == to || from.disconnected || to.disconnected {
			return
		}
		for _, it := range news {
			to.list.Merge(it, notLost, f.now)
		}
		f.flush(to)
	})
}

// restart makes an entry forget everything. It asks another at once.
func (f *fleet) restart(e *entry) {
	*e = entry{list: quarantine.NewList(f.rng.Uint32), startedAt: f.now}
	f.compare(e)
}

// askOn has an entry ask others from now on.
func (f *fleet) startComparing(e *entry) {
	f.compare(e)
	f.after(compareInterval, func() { f.startComparing(e) })
}

// ask is a question to another entry by chance, and its answer.
func (f *fleet) compare(e *entry) {
	o := f.entries[f.rng.IntN(len(f.entries))]
	if o.list.Checksum(f.now) == e.list.Checksum(f.now) {
		return
	}
	f.send(e, o, e.list.Sample(4, f.now).Pack())
	f.send(o, e, o.list.Sample(16, f.now).Pack())
}

// up returns the engines that are there, the least busy first if alone is true.
func (f *fleet) available() []*engine {
	var out []*engine
	for _, e := range f.engines {
		if f.now >= e.upAt {
			out = append(out, e)
		}
	}
	return out
}

// come has a request come to an entry.
func (f *fleet) submit(e *entry, d quarantine.Digest, lasts clock.Millis, again int) {
	up := f.available()
	if len(up) == 0 {
		f.refused[d]++
		return
	}
	r := &run{digest: d, entry: e, retries: again, duration: lasts}
	switch e.list.Admit(d, e.isolated, f.now).(type) {
	case quarantine.Held:
		f.refused[d]++
	case quarantine.Trial:
		f.flush(e)
		f.after(quarantine.ClaimSettleTime, func() { f.startTrial(r) })
	case quarantine.Allowed:
		f.start(r, up[f.rng.IntN(len(up))])
	}
}

// try starts a trial, unless another entry claimed it as well.
func (f *fleet) startTrial(r *run) {
	up := f.available()
	if len(up) == 0 || !r.entry.list.OwnsTrial(r.digest, f.now) {
		f.refused[r.digest]++
		r.entry.list.EndTrial(r.digest, f.now)
		f.flush(r.entry)
		return
	}
	on := up[0]
	for _, o := range up {
		if len(o.running) < len(on.running) {
			on = o
		}
	}
	r.entry.list.StartTrial(r.digest, on.incarnation, f.now)
	f.flush(r.entry)
	r.trial = true
	f.start(r, on)
}

func (f *fleet) start(r *run, on *engine) {
	r.engine, r.incarnation = on, on.incarnation
	on.running = append(on.running, r)
	if r.digest == poison {
		// What an entry does not know that has just started does not count.
		if r.entry.startedAt == 0 || f.now-r.entry.startedAt > spreadTime {
			f.arrivals = append(f.arrivals, f.now)
		}
		f.after(crashDelay, func() { f.crashUnder(r) })
		return
	}
	f.after(r.duration, func() { f.finish(r) })
}

func (f *fleet) finish(r *run) {
	at := slices.Index(r.engine.running, r)
	if at < 0 {
		return
	}
	r.engine.running = slices.Delete(r.engine.running, at, at+1)
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

// end ends an engine and breaks off what it runs.
func (f *fleet) crash(e *engine) {
	running := e.running
	life := e.incarnation
	f.after(listLag, func() {
		for _, o := range f.entries {
			o.list.ConfirmCrash(life)
		}
	})
	f.lastIncarnation++
	e.running, e.incarnation, e.upAt = nil, f.lastIncarnation, f.now+restartTime
	for _, r := range running {
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

// any is an entry by chance.
func (f *fleet) randomEntry() *entry { return f.entries[f.rng.IntN(len(f.entries))] }

// late counts the arrivals later than a time after the third end.
func (f *fleet) lateArrivals(after clock.Millis) int {
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at > f.crashes[2]+after {
			n++
		}
	}
	return n
}
