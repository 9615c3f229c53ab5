package locality_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/locality"
)

var settings = locality.Settings{MegabyteMillis: 100, MinAdvantageMillis: locality.DefaultMinAdvantageMillis, WayMillis: locality.DefaultWayMillis}

// respond records n responses, 20 ms apart, and returns the time after the last.
func respond(s *locality.Spill, own bool, took clock.Millis, n int, now clock.Millis) clock.Millis {
	for range n {
		now += 20
		s.Observe(own, took, 1000, now)
	}
	return now
}

func TestRequestsStayWhileTheHallIsNoSlower(t *testing.T) {
	s := locality.New(settings)
	now := respond(s, true, 20, 50, 0)
	respond(s, false, 22, 50, now)
	if got := s.Share(); got != 0 {
		t.Errorf("got share %v, want 0", got)
	}
}

// The share that leaves begins at one advantage and ends at a smaller one.
func TestLeavingHasHysteresis(t *testing.T) {
	s := locality.New(settings)
	now := respond(s, true, 20, 100, 0)
	now = respond(s, true, 60, 100, now)
	begun := s.Share()
	if begun < 0.3 {
		t.Fatalf("got share %v when responses take three times as long, want at least 0.3", begun)
	}
	// The share is kept at an advantage between the least one and half of it.
	for _, c := range []struct {
		other clock.Millis
		keeps bool
	}{{57, true}, {60, false}} {
		cfg := settings
		cfg.MinAdvantageMillis = 4
		s := locality.New(cfg)
		now := respond(s, true, 20, 100, 0)
		now = respond(s, true, 60, 100, now)
		for range 4000 {
			now += 10
			s.Observe(true, 60, 1000, now)
			s.Observe(false, c.other, 1000, now)
		}
		if got := s.Share(); (got > 0.1) != c.keeps {
			t.Errorf("other halls at %d ms: got share %v, want it kept: %v", c.other, got, c.keeps)
		}
	}
	respond(s, true, 20, 400, now)
	if got := s.Share(); got > 0.01 {
		t.Errorf("got share %v after the hall recovered, want none", got)
	}
}

func TestRejectionElsewhereHalvesTheShare(t *testing.T) {
	s := locality.New(settings)
	now := respond(s, true, 20, 100, 0)
	now = respond(s, true, 60, 100, now)
	before := s.Share()
	s.ObserveRejected(false, now)
	if got := s.Share(); got > before/2 {
		t.Errorf("got share %v after a rejection, want at most half of %v", got, before)
	}
}

// Requests leave a hall whose engine fails some of them, though the others are as quick as
// ever.
func TestFailuresCountAsTime(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(s *locality.Spill, now clock.Millis)
	}{
		{"failed", func(s *locality.Spill, now clock.Millis) { s.ObserveFailed(true, now) }},
		{"rejected", func(s *locality.Spill, now clock.Millis) { s.ObserveRejected(true, now) }},
		{"gone", func(s *locality.Spill, now clock.Millis) { s.ObserveGone(true, 600, now) }},
	} {
		s := locality.New(settings)
		now := respond(s, true, 20, 100, 0)
		for range 100 {
			c.fail(s, now+10)
			now = respond(s, true, 20, 1, now)
		}
		if got := s.Share(); got < 0.3 {
			t.Errorf("%s: got share %v with half of the requests lost, want at least 0.3", c.name, got)
		}
	}
}

func TestDecideByRoom(t *testing.T) {
	fresh := locality.New(settings)
	slow := locality.New(settings)
	respond(slow, true, 100, 100, respond(slow, true, 20, 100, 0))
	usual, short := locality.New(settings), locality.New(settings)
	respond(usual, true, 60, 100, 0)
	respond(short, true, 10, 100, 0)
	for _, c := range []struct {
		name   string
		spill  *locality.Spill
		room   locality.Room
		random float64
		want   locality.Reason
	}{
		{"no engine here", fresh, locality.Room{OtherSlots: 6}, 0.9, locality.LeftEmpty},
		{"no engine elsewhere", slow, locality.Room{OwnSlots: 6}, 0, locality.Stayed},
		{"full here", fresh, locality.Room{OwnSlots: 6, OtherSlots: 6, OwnLoad: 1}, 0.9, locality.LeftFull},
		{"full everywhere", fresh, locality.Room{OwnSlots: 6, OtherSlots: 6, OwnLoad: 1, OtherLoad: 1}, 0.9, locality.Stayed},
		{"a request more here", usual, locality.Room{OwnSlots: 6, OtherSlots: 6, OwnLoad: 2. / 6, OtherLoad: 1. / 6}, 0.9, locality.LeftLoaded},
		{"a request more where work is short", short, locality.Room{OwnSlots: 6, OtherSlots: 6, OwnLoad: 2. / 6, OtherLoad: 1. / 6}, 0.9, locality.Stayed},
		{"a request less here", usual, locality.Room{OwnSlots: 6, OtherSlots: 6, OwnLoad: 1. / 6, OtherLoad: 2. / 6}, 0.9, locality.Stayed},
		{"slow here", slow, locality.Room{OwnSlots: 6, OtherSlots: 6}, 0.4, locality.LeftSlow},
		{"slow here, but few slots elsewhere", slow, locality.Room{OwnSlots: 6, OtherSlots: 2}, 0.4, locality.Stayed},
	} {
		if got := c.spill.Decide(c.room, c.random); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// fleet simulates entries and engines that report no load, in three halls.
type fleet struct {
	rng     *rand.Rand
	now     clock.Millis
	events  []event
	engines []*engine
	// work is the mean time of a request at an engine, less five milliseconds.
	work float64
	// spills has the state of each entry, nil if entries heed no halls.
	spills []*locality.Spill
	halls  []int
	// took has the response times by hall of the entry.
	took             [3][]float64
	sent, left, full int
}

type event struct {
	at clock.Millis
	do func()
}

type engine struct {
	hall, running int
	gone          bool
	queue         []func()
	// sent counts the requests in flight by entry; an entry knows only its own.
	sent [27]int
}

// least returns one of the engines with the fewest requests of an entry, and how many.
func (f *fleet) least(in []*engine, entry int) (*engine, int) {
	f.rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
	e := slices.MinFunc(in, func(a, b *engine) int { return cmp.Compare(a.sent[entry], b.sent[entry]) })
	return e, e.sent[entry]
}

const (
	slots    = 6
	maxQueue = 24
	// way is the time to another hall and back.
	way = 2
)

func newFleet(seed uint64, heed bool, engines [3]int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), work: 15}
	for h, n := range engines {
		for range n {
			f.engines = append(f.engines, &engine{hall: h})
		}
	}
	for i := range 27 {
		f.halls = append(f.halls, i%3)
		f.spills = append(f.spills, nil)
		if heed {
			f.spills[i] = locality.New(settings)
		}
	}
	return f
}

func (f *fleet) schedule(t clock.Millis, do func()) {
	i, _ := slices.BinarySearchFunc(f.events, t+1, func(e event, t clock.Millis) int { return cmp.Compare(e.at, t) })
	f.events = slices.Insert(f.events, i, event{t, do})
}

// run sends perSecond requests for the given time, half of them in the first hall, and ends
// when all are answered. change is called after a third of the time.
func (f *fleet) run(perSecond float64, length clock.Millis, change func()) {
	for at := 0.0; at < float64(length); at += f.rng.ExpFloat64() * 1000 / perSecond {
		hall := 0
		if f.rng.Float64() < 0.5 {
			hall = 1 + f.rng.IntN(2)
		}
		f.schedule(clock.Millis(at), func() { f.send(hall + 3*f.rng.IntN(9)) })
	}
	f.schedule(length/3, change)
	for len(f.events) > 0 {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
}

func (f *fleet) send(entry int) {
	hall, s := f.halls[entry], f.spills[entry]
	var own, other []*engine
	for _, e := range f.engines {
		switch {
		case e.gone:
		case e.hall == hall:
			own = append(own, e)
		default:
			other = append(other, e)
		}
	}
	in := slices.Concat(own, other)
	if s != nil {
		in = own
		room := locality.Room{OwnSlots: slots * len(own), OtherSlots: slots * len(other)}
		if len(own) > 0 {
			_, n := f.least(own, entry)
			room.OwnLoad = float64(n) / slots
		}
		_, n := f.least(other, entry)
		room.OtherLoad = float64(n) / slots
		if s.Decide(room, f.rng.Float64()) != locality.Stayed {
			in = other
		}
	}
	e, _ := f.least(in, entry)
	start, trip := f.now, clock.Millis(0)
	f.sent++
	e.sent[entry]++
	if e.hall != hall {
		f.left++
		trip = way
	}
	work := clock.Millis(5 + f.rng.ExpFloat64()*f.work)
	run := func() {
		e.running++
		f.schedule(f.now+work, func() {
			if e.running--; len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
			f.schedule(f.now+trip, func() {
				e.sent[entry]--
				f.took[hall] = append(f.took[hall], float64(f.now-start))
				if s != nil {
					s.Observe(e.hall == hall, f.now-start, 1400, f.now)
				}
			})
		})
	}
	switch {
	case e.running < slots:
		run()
	case len(e.queue) < maxQueue:
		e.queue = append(e.queue, run)
	default:
		f.full++
		e.sent[entry]--
		if s != nil {
			s.ObserveRejected(e.hall == hall, f.now)
		}
	}
}

func mean(in []float64) float64 {
	sum := 0.0
	for _, v := range in {
		sum += v
	}
	return sum / float64(len(in))
}

// In a hall with a third of the engines and half of the callers, just as much leaves as
// shortens responses, and no hall is filled by another's spill. Where there is room,
// nearly all requests stay.
func TestUnevenHalls(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		work      float64
		// maxLeft bounds the share that leaves. maxSlower and maxSlowerHall bound the mean
		// response time, of all and in each hall, as a multiple of that of entries that
		// heed no halls.
		maxLeft, maxSlower, maxSlowerHall float64
	}{{"room", 200, 15, 0.1, 1, 1}, {"busy", 900, 15, 0.15, 1, 1.02}, {"full", 1200, 15, 0.2, 1.03, 1.12}, {"long work", 400, 55, 0.35, 1.02, 1.1}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				blind, heeding := newFleet(seed, false, [3]int{2, 2, 2}), newFleet(seed, true, [3]int{2, 2, 2})
				blind.work, heeding.work = c.work, c.work
				blind.run(c.perSecond, 15_000, func() {})
				heeding.run(c.perSecond, 15_000, func() {})
				left := float64(heeding.left) / float64(heeding.sent)
				t.Logf("%v: left %.3f of requests (blind %.3f), mean by hall %.1f %.1f %.1f (blind %.1f %.1f %.1f) ms, rejected %d (%d) of %d", seed, left, float64(blind.left)/float64(blind.sent),
					mean(heeding.took[0]), mean(heeding.took[1]), mean(heeding.took[2]), mean(blind.took[0]), mean(blind.took[1]), mean(blind.took[2]), heeding.full, blind.full, heeding.sent)
				if left > c.maxLeft {
					t.Errorf("seed %d: got %.3f of requests that left, want at most %v", seed, left, c.maxLeft)
				}
				if got, want := mean(slices.Concat(heeding.took[:]...)), c.maxSlower*mean(slices.Concat(blind.took[:]...)); got > want {
					t.Errorf("seed %d: got a mean of %.1f ms, want at most %.1f", seed, got, want)
				}
				for h := range 3 {
					if got, want := mean(heeding.took[h]), c.maxSlowerHall*mean(blind.took[h]); got > want {
						t.Errorf("seed %d, hall %d: got a mean of %.1f ms, want at most %.1f", seed, h, got, want)
					}
				}
			}
		})
	}
}

// A hall that loses an engine, or all of them by evacuation, is left by what it has no room
// for and no more, though 27 entries decide on their own with old figures.
func TestLostEnginesOfAHall(t *testing.T) {
	for _, c := range []struct {
		name string
		lost int
	}{{"one", 1}, {"all", 2}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				took := [2]float64{}
				for i, heed := range []bool{false, true} {
					f := newFleet(seed, heed, [3]int{2, 3, 3})
					f.run(700, 15_000, func() {
						for _, e := range f.engines[:c.lost] {
							e.gone = true
						}
					})
					took[i] = mean(slices.Concat(f.took[:]...))
					t.Logf("%v heed %v: left %.3f, mean %.1f ms, rejected %d", seed, heed, float64(f.left)/float64(f.sent), took[i], f.full)
					if f.full > f.sent/200 {
						t.Errorf("seed %d, heed %v: got %d of %d rejected, want at most 1 in 200", seed, heed, f.full, f.sent)
					}
				}
				if took[1] > 1.1*took[0] {
					t.Errorf("seed %d: got a mean of %.1f ms, want at most a tenth over %.1f", seed, took[1], took[0])
				}
			}
		})
	}
}
