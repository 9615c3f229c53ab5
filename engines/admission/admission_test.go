package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/admission"
)

const (
	engines     = 10
	engineSlots = 100
	slots       = engines * engineSlots
	ranks       = 3
	// stayTime is how long requests are at an engine.
	stayTime clock.Millis = 4000
	longWait clock.Millis = 60_000
)

func roomAt(pressure float64) admission.Room {
	return admission.Room{Engines: engines, Slots: slots, Load: pressure * slots, Reports: engines}
}

func request(id string, rank int) admission.Request {
	return admission.Request{ID: id, Route: fmt.Sprint("route-", rank), Rank: rank, RouteRank: rank, Ranks: ranks, Left: 12_000, MaxWait: longWait}
}

// admitted returns the share of 4000 requests like q that is admitted.
func admitted(s *admission.Service, q admission.Request, r admission.Room) float64 {
	n := 0
	for i := range 4000 {
		q.ID = fmt.Sprint("request-", i)
		if s.Decide(q, r, 0).Admitted() {
			n++
		}
	}
	return float64(n) / 4000
}

func TestAdmittedShare(t *testing.T) {
	c := admission.DefaultConfig()
	over := func(q admission.Request) admission.Request { q.OverShare = true; return q }
	returning := func(q admission.Request) admission.Request { q.Returning = true; return q }
	unknown, noSlots := roomAt(5), roomAt(5)
	unknown.Reports = engines/2 - 1
	noSlots.Slots = engines
	tests := []struct {
		name string
		q    admission.Request
		room admission.Room
		want float64
	}{
		{"least urgent below its threshold", request("", 2), roomAt(c.LeastUrgent), 1},
		{"least urgent between", request("", 2), roomAt(c.LeastUrgent + c.Width/2), (1 + c.Floor) / 2},
		{"least urgent keeps its floor", request("", 2), roomAt(3), c.Floor},
		{"most urgent below its threshold", request("", 0), roomAt(c.MostUrgent), 1},
		{"most urgent keeps its floor", request("", 0), roomAt(3), c.Floor},
		{"over share while there is room", over(request("", 0)), roomAt(c.LeastUrgent), 1},
		{"over share goes with the least urgent, whatever its rank", over(request("", 0)), roomAt(c.LeastUrgent + c.Width/2), (1 + c.OverShareFloor) / 2},
		{"over share has a smaller floor", over(request("", 0)), roomAt(c.LeastUrgent + c.Width), c.OverShareFloor},
		{"returning begins earlier", returning(request("", 2)), roomAt(c.LeastUrgent - c.Returning + c.Width/2), (1 + c.Floor) / 2},
		{"most engines have not reported", request("", 2), unknown, 1},
		{"unknown slots", request("", 2), noSlots, 1},
		{"no engines", request("", 2), admission.Room{}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := admitted(admission.New(c), tt.q, tt.room); math.Abs(got-tt.want) > 0.025 {
				t.Errorf("got %.3f admitted, want %.3f", got, tt.want)
			}
		})
	}
}

func TestWaitBeyondTheTimeLeftRejectsAll(t *testing.T) {
	s := admission.New(admission.DefaultConfig())
	for range 32 {
		s.RecordEnd("route-0", stayTime)
	}
	q := request("id", 0)
	q.Left, q.MaxWait = 900, 900
	d := s.Decide(q, roomAt(2), 0)
	if d.Cause != admission.Wait || d.ExpectedWait != stayTime/2 || admitted(s, q, roomAt(2)) != 0 {
		t.Errorf("got %+v, want all rejected for a wait of %d ms", d, stayTime/2)
	}
}

func TestShortRequestsAreRejectedLate(t *testing.T) {
	c := admission.DefaultConfig()
	s := admission.New(c)
	for range 64 {
		s.RecordEnd("route-0", stayTime)
		s.RecordEnd("route-2", stayTime/100)
	}
	if got := admitted(s, request("", 2), roomAt(c.LeastUrgent+c.Width)); got != 1 {
		t.Errorf("got %.2f of short requests admitted, want 1", got)
	}
}

func TestRejectedCallersComeBackApart(t *testing.T) {
	s := admission.New(admission.DefaultConfig())
	if !s.Observe(roomAt(2), 0) || !s.Overloaded() {
		t.Fatal("got no overload at twice the slots")
	}
	seen := map[clock.Millis]bool{}
	for i := range 1000 {
		d := s.Decide(request(fmt.Sprint(i), 2), roomAt(2), 3000)
		if d.Admitted() {
			continue
		}
		if d.Back < 1500 || d.Back > 3000 {
			t.Fatalf("got back after %d ms, want 1500 to 3000", d.Back)
		}
		seen[d.Back] = true
	}
	if len(seen) < 300 {
		t.Errorf("got %d different delays, want at least 300", len(seen))
	}
	q := request("id", 2)
	q.Left, q.MaxWait = 900, 0
	s.RecordEnd("route-2", 0)
	for i := range 100 {
		q.ID = fmt.Sprint(i)
		if d := s.Decide(q, roomAt(9), 60_000); d.Back > 300 {
			t.Fatalf("got back after %d ms with 900 ms left, want at most 300", d.Back)
		}
	}
	if !s.Observe(roomAt(0.1), 4000) || s.Overloaded() {
		t.Error("got an overload of an idle pool")
	}
}

// fleet is a pool with entries that see its load late and get uneven parts of the callers.
type fleet struct {
	rng      *rand.Rand
	entries  []*admission.Service
	delays   []clock.Millis
	weights  []float64
	history  []float64
	ends     []int
	load     int
	maxLoad  int
	asked    [ranks]int
	admitted [ranks]int
	// view changes what an entry sees.
	view func(entry int, r admission.Room) admission.Room
}

const (
	entries          = 27
	maxDelay         = 500
	period           = 20_000
	settled          = 4000
	overload         = 2.0
	vanishAt         = 10_000
	arrivals float64 = overload * slots / float64(stayTime)
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), history: make([]float64, period), ends: make([]int, period+int(stayTime)), view: func(_ int, r admission.Room) admission.Room { return r }}
	for range entries {
		f.entries = append(f.entries, admission.New(admission.DefaultConfig()))
		f.delays = append(f.delays, clock.Millis(f.rng.IntN(maxDelay)))
		f.weights = append(f.weights, f.rng.ExpFloat64())
	}
	return f
}

// pick returns the entry of the next caller.
func (f *fleet) pick() int {
	sum := 0.0
	for _, w := range f.weights {
		sum += w
	}
	x := f.rng.Float64() * sum
	for i, w := range f.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(f.weights) - 1
}

// run plays the demand. The last third of the entries vanish if vanish is true.
func (f *fleet) run(vanish bool) {
	due := 0.0
	for now := range period {
		if vanish && now == vanishAt {
			f.weights = f.weights[:entries*2/3]
		}
		f.load -= f.ends[now]
		f.history[now] = float64(f.load)
		f.maxLoad = max(f.maxLoad, f.load)
		for due += arrivals; due >= 1; due-- {
			i, rank := f.pick(), f.rng.IntN(ranks)
			r := roomAt(f.history[max(0, now-int(f.delays[i]))] / slots)
			ok := f.entries[i].Decide(request(fmt.Sprint(f.rng.Uint64()), rank), f.view(i, r), clock.Millis(now)).Admitted()
			if now >= settled {
				f.asked[rank]++
			}
			if !ok {
				continue
			}
			if now >= settled {
				f.admitted[rank]++
			}
			f.load++
			f.ends[now+int(stayTime)]++
		}
	}
}

func (f *fleet) share(rank int) float64 {
	return float64(f.admitted[rank]) / float64(f.asked[rank])
}

// check checks that the urgent are served, the least urgent keep their floor, and the load
// stays within the pressure at which all ranks are at their floor plus what arrives until the
// slowest entry sees it. extra is the share of the arrivals that is admitted regardless.
func (f *fleet) check(t *testing.T, extra float64) {
	t.Helper()
	c := admission.DefaultConfig()
	bound := c.MostUrgent + c.Width + (1+extra)*arrivals*maxDelay/slots
	if got := float64(f.maxLoad) / slots; got > bound {
		t.Errorf("got a load of %.2f times the slots, want at most %.2f", got, bound)
	}
	if got, want := f.share(0), 0.9-extra; got < want {
		t.Errorf("got %.2f of the most urgent admitted, want at least %.2f", got, want)
	}
	if got := f.share(2); got < c.Floor*0.9 || got > f.share(0) {
		t.Errorf("got %.2f of the least urgent admitted, want at least %.2f and less than of the most urgent", got, c.Floor)
	}
	total := 0
	for _, n := range f.admitted {
		total += n
	}
	if got := float64(total) * float64(stayTime) / (period - settled) / slots; got < 0.75 {
		t.Errorf("got %.2f of the slots used, want at least 0.75", got)
	}
	t.Logf("admitted %.2f %.2f %.2f, largest load %.2f", f.share(0), f.share(1), f.share(2), float64(f.maxLoad)/slots)
}

func TestTwiceTheRoom(t *testing.T) {
	for _, vanish := range []bool{false, true} {
		t.Run(fmt.Sprint("vanish=", vanish), func(t *testing.T) {
			f := newFleet(1)
			f.run(vanish)
			f.check(t, 0)
		})
	}
}

func TestEntryWithFalseFiguresHarmsItsPart(t *testing.T) {
	for _, pressure := range []float64{0, 1000} {
		t.Run(fmt.Sprint("pressure=", pressure), func(t *testing.T) {
			f := newFleet(1)
			f.weights[0] = 2
			f.view = func(entry int, r admission.Room) admission.Room {
				if entry == 0 {
					return roomAt(pressure)
				}
				return r
			}
			f.run(false)
			sum := 0.0
			for _, w := range f.weights {
				sum += w
			}
			f.check(t, f.weights[0]/sum)
		})
	}
}
