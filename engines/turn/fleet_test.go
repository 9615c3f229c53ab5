package turn_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/turn"
)

// fleet models gates in front of engines that report no load.
type fleet struct {
	rnd     *rand.Rand
	gates   []*gate
	engines []*engine
	work    clock.Millis
	goal    clock.Millis
	left    clock.Millis
	// demand is a multiple of the capacity of all engines.
	demand func(now clock.Millis) float64
	// later holds what happens at a time.
	later map[clock.Millis][]func(now clock.Millis)
	tally tally
}

type tally struct{ asked, arrivals, rejected, inTime, late, lost int }

type gate struct {
	weight  float64
	q       *turn.Queue
	waiting map[*turn.Ticket]*job
	order   []*turn.Ticket
	// sent counts the requests at each engine.
	sent map[*engine]int
	gone bool
	// noTurns is true for a gate that limits nothing.
	noTurns bool
}

type engine struct {
	running, waiting int
	queue            []func(now clock.Millis)
	slots, room      int
	down             bool
}

type job struct {
	g         *gate
	first     clock.Millis
	returning bool
	tries     int
	tried     map[*engine]bool
	ticket    *turn.Ticket
}

func newFleet(seed uint64, gates, engines int, work, goal, left clock.Millis, turns bool) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), work: work, goal: goal, left: left, later: map[clock.Millis][]func(clock.Millis){}}
	sum := 0.0
	for i := range gates {
		w := 1 + 3*float64(i%4)/3
		sum += w
		f.gates = append(f.gates, &gate{weight: w, q: turn.NewQueue(), waiting: map[*turn.Ticket]*job{}, sent: map[*engine]int{}, noTurns: !turns})
	}
	for _, g := range f.gates {
		g.weight /= sum
	}
	for range engines {
		f.engines = append(f.engines, &engine{slots: 6, room: 24})
	}
	return f
}

func (f *fleet) capacity() float64 {
	return float64(len(f.engines)*6) / float64(f.work)
}

func (f *fleet) request(j *job, now clock.Millis) turn.Request {
	return turn.Request{Returning: j.returning, Goal: f.goal, Left: j.first + f.left - now, Random: f.rnd.Float64()}
}

func (f *fleet) at(t clock.Millis, do func(clock.Millis)) { f.later[t] = append(f.later[t], do) }

func (f *fleet) run(from, to clock.Millis) tally {
	f.tally = tally{}
	for now := from; now < to; now++ {
		for _, do := range f.later[now] {
			do(now)
		}
		delete(f.later, now)
		for _, g := range f.gates {
			if g.gone {
				continue
			}
			for rate := f.demand(now) * f.capacity() * g.weight; f.rnd.Float64() < rate; rate-- {
				f.tally.asked++
				f.arrive(&job{g: g, first: now}, now)
			}
			for _, t := range slices.Clone(g.order) {
				if j := g.waiting[t]; j != nil && now >= t.LeaveAt() {
					delete(g.waiting, t)
					f.refused(j, g.q.Refuse(f.request(j, now), now), now)
				}
			}
			g.order = slices.DeleteFunc(g.order, func(t *turn.Ticket) bool { return g.waiting[t] == nil })
			if now%10 == 0 {
				f.admitted(g, g.q.Admit(now), now)
			}
			if _, admitted := g.q.Expire(now); len(admitted) > 0 {
				f.admitted(g, admitted, now)
			}
		}
	}
	return f.tally
}

func (f *fleet) arrive(j *job, now clock.Millis) {
	if j.g.gone {
		j.g = f.gates[len(f.gates)-1]
	}
	if j.g.noTurns {
		f.send(j, now)
		return
	}
	t, refusal := j.g.q.Arrive(f.request(j, now), now)
	switch {
	case t == nil:
		f.refused(j, refusal, now)
	case t.Admitted():
		j.ticket = t
		f.send(j, now)
	default:
		j.ticket = t
		j.g.waiting[t] = j
		j.g.order = append(j.g.order, t)
	}
}

func (f *fleet) admitted(g *gate, ts []*turn.Ticket, now clock.Millis) {
	for _, t := range ts {
		j := g.waiting[t]
		delete(g.waiting, t)
		f.send(j, now)
	}
}

// end ends the turn of a job.
func (f *fleet) end(j *job, now clock.Millis) {
	if t := j.ticket; t != nil {
		j.ticket = nil
		f.admitted(j.g, j.g.q.End(t, now), now)
	}
}

func (f *fleet) refused(j *job, r turn.Refusal, now clock.Millis) {
	f.end(j, now)
	if j.returning {
		f.tally.lost++
		return
	}
	back := r.Back
	if j.g.noTurns {
		back = 250
	}
	f.at(now+max(1, back), func(now clock.Millis) {
		g := f.gates[f.rnd.IntN(len(f.gates))]
		f.arrive(&job{g: g, first: j.first, returning: true}, now)
	})
}

// send sends a job to the engine with the fewest requests of its gate.
func (f *fleet) send(j *job, now clock.Millis) {
	if now >= j.first+f.left {
		f.end(j, now)
		f.tally.lost++
		return
	}
	var e *engine
	start := f.rnd.IntN(len(f.engines))
	for k := range f.engines {
		o := f.engines[(start+k)%len(f.engines)]
		if !o.down && !j.tried[o] && (e == nil || j.g.sent[o] < j.g.sent[e]) {
			e = o
		}
	}
	if e == nil || j.tries == 3 {
		f.refused(j, j.g.q.Refuse(f.request(j, now), now), now)
		return
	}
	f.tally.arrivals++
	sentAt := now
	if e.running == e.slots && e.waiting == e.room {
		f.tally.rejected++
		j.g.q.Rejected(now)
		j.tries++
		if j.tried == nil {
			j.tried = map[*engine]bool{}
		}
		j.tried[e] = true
		f.send(j, now)
		return
	}
	j.g.sent[e]++
	begin := func(now clock.Millis) {
		e.running++
		took := clock.Millis(float64(f.work) * (0.6 + 0.8*f.rnd.Float64()))
		f.at(now+max(1, took), func(now clock.Millis) {
			e.running--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				e.waiting--
				next(now)
			}
			j.g.sent[e]--
			j.g.q.Responded(now-sentAt, f.goal, now)
			if now-j.first <= f.goal {
				f.tally.inTime++
			} else {
				f.tally.late++
			}
			f.end(j, now)
		})
	}
	if e.running < e.slots {
		begin(now)
		return
	}
	e.waiting++
	e.queue = append(e.queue, begin)
}

func (t tally) shares() (inTime, late, rejected float64) {
	return float64(t.inTime) / float64(t.asked), float64(t.late) / float64(t.asked), float64(t.rejected) / float64(max(1, t.arrivals))
}

// sites are the services of two deployments.
var sites = []struct {
	name             string
	gates, engines   int
	work, goal, left clock.Millis
}{
	{"27 gates, 3 engines", 27, 3, 15, 120, 600},
	{"27 gates, 2 engines", 27, 2, 15, 120, 600},
	{"9 gates, 3 engines", 9, 3, 60, 300, 2000},
}

// A chooser that knows everything serves the whole capacity in time.
func TestFleetServesNearlyWhatAnAllKnowingChooserWould(t *testing.T) {
	for _, site := range sites {
		for _, demand := range []float64{0.5, 1, 1.5, 3} {
			f := newFleet(1, site.gates, site.engines, site.work, site.goal, site.left, true)
			f.demand = func(clock.Millis) float64 { return demand }
			f.run(0, 4000)
			inTime, late, rejected := f.run(4000, 14_000).shares()
			t.Logf("%s, demand %.1f: %.3f in time, %.3f late, %.3f of arrivals rejected", site.name, demand, inTime, late, rejected)
			if ideal := min(1, 1/demand); inTime < 0.9*ideal {
				t.Errorf("%s, demand %.1f: got %.3f in time, want at least 0.9 of %.3f", site.name, demand, inTime, ideal)
			}
			if rejected > 0.05 {
				t.Errorf("%s, demand %.1f: got %.3f of arrivals rejected by engines, want at most 0.05", site.name, demand, rejected)
			}
		}
	}
}

func TestFleetWithoutTurnsIsRejectedByEngines(t *testing.T) {
	f := newFleet(1, 27, 3, 15, 120, 600, false)
	f.demand = func(clock.Millis) float64 { return 1.5 }
	f.run(0, 4000)
	if _, _, rejected := f.run(4000, 14_000).shares(); rejected < 0.3 {
		t.Errorf("got %.3f of arrivals rejected, want at least 0.3: the model shows no overload", rejected)
	}
}

func TestFleetFollowsAnEngineThatGoesAndReturns(t *testing.T) {
	f := newFleet(2, 27, 3, 15, 120, 600, true)
	f.demand = func(clock.Millis) float64 { return 0.9 }
	f.at(2000, func(clock.Millis) { f.engines[0].down = true })
	f.at(8000, func(clock.Millis) { f.engines[0].down = false })
	f.run(0, 3000)
	inTime, late, rejected := f.run(3000, 8000).shares()
	t.Logf("two of three engines: %.3f in time, %.3f late, %.3f rejected", inTime, late, rejected)
	// Two engines have room for 0.74 of the requests.
	if inTime < 0.9*0.74 {
		t.Errorf("got %.3f in time with two engines, want at least 0.67", inTime)
	}
	f.run(8000, 9000)
	if inTime, _, _ := f.run(9000, 14_000).shares(); inTime < 0.97 {
		t.Errorf("got %.3f in time after the engine returned, want at least 0.97", inTime)
	}
}

// Gates that vanish leave their room to the others.
func TestFleetTakesTheRoomOfGatesThatVanish(t *testing.T) {
	f := newFleet(3, 27, 3, 15, 120, 600, true)
	f.demand = func(now clock.Millis) float64 {
		if now < 4000 {
			return 1.5
		}
		return 2.25 // the callers of the lost third go elsewhere
	}
	f.at(4000, func(clock.Millis) {
		for _, g := range f.gates[:9] {
			g.gone = true
		}
	})
	f.run(0, 5000)
	a := f.run(5000, 12_000)
	used := float64(a.inTime+a.late) / (7000 * f.capacity())
	t.Logf("two thirds of the gates: %.3f of the capacity used, %d of %d in time", used, a.inTime, a.asked)
	if used < 0.9 {
		t.Errorf("got %.3f of the capacity used, want at least 0.9", used)
	}
}
