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
	rng     *rand.Rand
	now     clock.Millis
	queue   events
	entered int
	entries []*entry
	engines []*engine
	lives   uint32
	// ends are the times at which engines ended under the marked request.
	ends []clock.Millis
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
	deaf, alone bool
	// since is when it started.
	since clock.Millis
	// waking is true while news are about to be told.
	waking bool
}

type engine struct {
	life uint32
	// back is when the engine is there again, if it is not.
	back    clock.Millis
	running []*run
}

// run is a request at an engine.
type run struct {
	digest quarantine.Digest
	at     *entry
	on     *engine
	life   uint32
	trial  bool
	// again is how many more times its caller sends it, if it breaks off.
	again int
	lasts clock.Millis
}

// Figures of the simulation.
const (
	fleetDown clock.Millis = 500
	endsAfter clock.Millis = 60
	askEvery  clock.Millis = 400
	fleetFan               = 3
	// listLag is how late the list of engines says that one is gone.
	listLag clock.Millis = 1500
)

// marked is the digest of the request that ends engines.
var marked = digestOf(1)

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
		f.at(clock.Millis(f.rng.IntN(int(askEvery))), func() { f.askOn(e) })
	}
	for range engines {
		f.lives++
		f.engines = append(f.engines, &engine{life: f.lives})
	}
	return f
}

// events are what is to happen, the earliest first.
type events []event

type event struct {
	at clock.Millis
	// n is the place in which events were entered.
	n  int
	do func()
}

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].n, e[j].n)) < 0
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
func (f *fleet) at(later clock.Millis, do func()) {
	f.entered++
	heap.Push(&f.queue, event{at: f.now + later, n: f.entered, do: do})
}

// run lets so much time go by.
func (f *fleet) run(d clock.Millis) {
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
	f.at(period, func() { f.every(period, until, do) })
}

// hop is how long a message takes.
func (f *fleet) hop() clock.Millis { return clock.Millis(1 + f.rng.IntN(8)) }

func notLost(uint32) bool { return false }

// tell sends the news of an entry to some others.
func (f *fleet) tell(e *entry) {
	if e.waking || !e.list.HasPending() {
		return
	}
	e.waking = true
	f.at(1, func() {
		e.waking = false
		text := e.list.TakePending(quarantine.MaxReports, f.now).Pack()
		for _, i := range f.rng.Perm(len(f.entries))[:min(fleetFan+1, len(f.entries))] {
			f.send(e, f.entries[i], text)
		}
		f.tell(e)
	})
}

// send brings news to another entry, unless one of the two is deaf.
func (f *fleet) send(from, to *entry, text string) {
	f.at(f.hop(), func() {
		news, err := quarantine.Unpack(text)
		if err != nil {
			panic(err)
		}
		if from == to || from.deaf || to.deaf {
			return
		}
		for _, it := range news {
			to.list.Merge(it, notLost, f.now)
		}
		f.tell(to)
	})
}

// restart makes an entry forget everything. It asks another at once.
func (f *fleet) restart(e *entry) {
	*e = entry{list: quarantine.NewList(f.rng.Uint32), since: f.now}
	f.ask(e)
}

// askOn has an entry ask others from now on.
func (f *fleet) askOn(e *entry) {
	f.ask(e)
	f.at(askEvery, func() { f.askOn(e) })
}

// ask is a question to another entry by chance, and its answer.
func (f *fleet) ask(e *entry) {
	o := f.entries[f.rng.IntN(len(f.entries))]
	if o.list.Checksum(f.now) == e.list.Checksum(f.now) {
		return
	}
	f.send(e, o, e.list.Sample(4, f.now).Pack())
	f.send(o, e, o.list.Sample(16, f.now).Pack())
}

// up returns the engines that are there, the least busy first if alone is true.
func (f *fleet) up() []*engine {
	var out []*engine
	for _, e := range f.engines {
		if f.now >= e.back {
			out = append(out, e)
		}
	}
	return out
}

// come has a request come to an entry.
func (f *fleet) come(e *entry, d quarantine.Digest, lasts clock.Millis, again int) {
	up := f.up()
	if len(up) == 0 {
		f.refused[d]++
		return
	}
	r := &run{digest: d, at: e, again: again, lasts: lasts}
	switch e.list.Admit(d, e.alone, f.now).(type) {
	case quarantine.Held:
		f.refused[d]++
	case quarantine.Trial:
		f.tell(e)
		f.at(quarantine.ClaimSettleTime, func() { f.try(r) })
	case quarantine.Allowed:
		f.start(r, up[f.rng.IntN(len(up))])
	}
}

// try starts a trial, unless another entry claimed it as well.
func (f *fleet) try(r *run) {
	up := f.up()
	if len(up) == 0 || !r.at.list.OwnsTrial(r.digest, f.now) {
		f.refused[r.digest]++
		r.at.list.EndTrial(r.digest, f.now)
		f.tell(r.at)
		return
	}
	on := up[0]
	for _, o := range up {
		if len(o.running) < len(on.running) {
			on = o
		}
	}
	r.at.list.StartTrial(r.digest, on.life, f.now)
	f.tell(r.at)
	r.trial = true
	f.start(r, on)
}

func (f *fleet) start(r *run, on *engine) {
	r.on, r.life = on, on.life
	on.running = append(on.running, r)
	if r.digest == marked {
		// What an entry does not know that has just started does not count.
		if r.at.since == 0 || f.now-r.at.since > contact {
			f.arrivals = append(f.arrivals, f.now)
		}
		f.at(endsAfter, func() { f.endUnder(r) })
		return
	}
	f.at(r.lasts, func() { f.finish(r) })
}

func (f *fleet) finish(r *run) {
	at := slices.Index(r.on.running, r)
	if at < 0 {
		return
	}
	r.on.running = slices.Delete(r.on.running, at, at+1)
	f.served[r.digest]++
	if f.served[r.digest] == 1 {
		f.servedAt[r.digest] = f.now
	}
	r.at.list.RecordSuccess(r.digest, f.now)
	f.tell(r.at)
}

func (f *fleet) endUnder(r *run) {
	if slices.Contains(r.on.running, r) {
		f.ends = append(f.ends, f.now)
		f.end(r.on)
	}
}

// end ends an engine and breaks off what it runs.
func (f *fleet) end(e *engine) {
	running := e.running
	life := e.life
	f.at(listLag, func() {
		for _, o := range f.entries {
			o.list.ConfirmCrash(life)
		}
	})
	f.lives++
	e.running, e.life, e.back = nil, f.lives, f.now+fleetDown
	for _, r := range running {
		f.broken[r.digest]++
		f.at(f.hop(), func() {
			r.at.list.RecordCrash(quarantine.Attempt{Digest: r.digest, Fingerprint: 1, Incarnation: r.life, Trial: r.trial}, f.now)
			f.tell(r.at)
		})
		if r.again > 0 {
			f.at(10+f.hop(), func() { f.come(f.any(), r.digest, r.lasts, r.again-1) })
		}
	}
}

// any is an entry by chance.
func (f *fleet) any() *entry { return f.entries[f.rng.IntN(len(f.entries))] }

// late counts the arrivals later than a time after the third end.
func (f *fleet) late(after clock.Millis) int {
	if len(f.ends) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at > f.ends[2]+after {
			n++
		}
	}
	return n
}
