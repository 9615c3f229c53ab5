package fair_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/daemon/fair"
)

// slots is the number of requests that the engine runs concurrently.
const slots = 16

// reserve is the number of reserved slots at the default of fairness.reserve_ratio.
const reserve = 3

// arrival is a request of a partner that runs for cost milliseconds.
type arrival struct {
	at      float64
	partner string
	cost    int
}

// arrivals returns Poisson arrivals that use the given part of the engine's capacity.
func arrivals(r *rand.Rand, partner string, part, meanCost, seconds float64) []arrival {
	var out []arrival
	rate := part * slots / meanCost
	for at := r.ExpFloat64() / rate; at < seconds*1000; at += r.ExpFloat64() / rate {
		out = append(out, arrival{at, partner, int(max(10, meanCost*math.Exp(0.5*r.NormFloat64()-0.125)))})
	}
	return out
}

type endTimes []float64

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(float64)) }
func (e *endTimes) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// outcome has the results of a partner's requests.
type outcome struct {
	latencies []float64
	shed      int
}

func (o outcome) p95() float64 {
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*95/100]
}

// simulate runs the arrivals through a queue in front of an engine.
func simulate(list []arrival) map[string]*outcome {
	slices.SortFunc(list, func(a, b arrival) int { return int(math.Copysign(1, a.at-b.at)) })
	q := fair.New(64, slots)
	q.SetSlots(slots, reserve)
	out := map[string]*outcome{"planning": {}, "vigia": {}}
	running := &endTimes{}
	started := map[float64]fair.Item{}
	byID := map[uint64]arrival{}
	dispatch := func(now float64) {
		for {
			it, ok := q.Pop(clock.Millis(now))
			if !ok {
				return
			}
			a := byID[it.ID]
			heap.Push(running, now+float64(a.cost))
			started[now+float64(a.cost)] = it
			out[a.partner].latencies = append(out[a.partner].latencies, now-a.at+float64(a.cost))
		}
	}
	for i, a := range list {
		for running.Len() > 0 && (*running)[0] <= a.at {
			end := heap.Pop(running).(float64)
			q.Settle(started[end], started[end].Cost)
			delete(started, end)
			dispatch(end)
		}
		byID[uint64(i)] = a
		for _, s := range q.Push(item(uint64(i), a.partner, "w", a.cost), clock.Millis(a.at)) {
			out[byID[s.ID].partner].shed++
		}
		dispatch(a.at)
	}
	return out
}

// A partner at ten times its share, with many small or with few large requests, must not
// slow down the other one.
func TestSurgeIsolation(t *testing.T) {
	for _, c := range []struct {
		name string
		cost float64
	}{{"small", 400}, {"equal", 800}, {"large", 4000}} {
		r := rand.New(rand.NewPCG(1, 2))
		vigia := arrivals(r, "vigia", 0.3, 800, 1000)
		before := simulate(append(slices.Clone(vigia), arrivals(r, "planning", 0.3, c.cost, 1000)...))
		surge := simulate(append(slices.Clone(vigia), arrivals(r, "planning", 5, c.cost, 1000)...))
		ratio := surge["vigia"].p95() / before["vigia"].p95()
		t.Logf("%s: 95th percentile %.0f ms before, %.0f ms in the surge, ratio %.3f; shed of vigia %d, of planning %d",
			c.name, before["vigia"].p95(), surge["vigia"].p95(), ratio, surge["vigia"].shed, surge["planning"].shed)
		if ratio > 1.1 {
			t.Errorf("%s: got ratio %.3f, want at most 1.1", c.name, ratio)
		}
		if surge["vigia"].shed > 0 || surge["planning"].shed == 0 {
			t.Errorf("%s: got %d of vigia and %d of planning shed, want planning alone", c.name, surge["vigia"].shed, surge["planning"].shed)
		}
	}
}
