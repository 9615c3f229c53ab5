package duration_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/duration"
)

// drawn is a stream whose length and pace were drawn.
type drawn struct {
	first clock.Millis
	runs  []clock.Millis
}

func (d drawn) whole() clock.Millis {
	took := d.first
	for _, r := range d.runs {
		took += r
	}
	return took
}

// Figures of the drawn streams: those of a model of 70 billion weights.
const (
	stopRoom = clock.Millis(7750)
	noticed  = clock.Millis(2200)
)

// draw draws a stream: a third of the engines are slower by 1.3, a run of events
// varies by a fourth, and one in twenty takes 2.5 times as long beside a long
// prompt. Lengths are spread by 0.7 about 70 events, and cut at the most.
func draw(rng *rand.Rand, most int) drawn {
	engine := []float64{1, 1, 1.3}[rng.IntN(3)]
	events := min(most, int(math.Ceil(0.3*float64(most)*math.Exp(0.7*rng.NormFloat64()))))
	d := drawn{first: clock.Millis(20 + 80*rng.ExpFloat64())}
	for range (events + duration.RunEvents - 1) / duration.RunEvents {
		run := 22 * duration.RunEvents * engine * math.Exp(0.25*rng.NormFloat64())
		if rng.IntN(20) == 0 {
			run *= 2.5
		}
		d.runs = append(d.runs, clock.Millis(run))
	}
	return d
}

// outcome counts what stopping processes took and had to cut.
type outcome struct{ asked, taken, cut int }

// stops plays a thousand stops of processes that have seen n streams. Twenty
// requests come to each, between since and the end; need says how long one is
// taken to need.
func stops(n, most int, since, end clock.Millis, need func(duration.Estimate, clock.Millis) clock.Millis) outcome {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	var o outcome
	for range 1000 {
		a, longest := duration.NewEstimator(), clock.Millis(0)
		for range n {
			d := draw(rng, most)
			a.RecordFirstEvent(streamed.Name, d.first)
			a.RecordResponse(streamed.Name, d.whole())
			for _, r := range d.runs {
				a.RecordRun(streamed.Name, "llm", r)
			}
			longest = max(longest, d.whole())
		}
		e := a.Estimate(duration.Request{Route: streamed, Service: "llm", MaxEvents: most})
		for range 20 {
			at := since + clock.Millis(rng.Int64N(int64(end-since)))
			o.asked++
			if at+need(e, longest) > stopRoom {
				continue
			}
			o.taken++
			if at+draw(rng, most).whole() > stopRoom {
				o.cut++
			}
		}
	}
	return o
}

// What a process takes after the balancer has noticed its stop is finished, also
// by one that has seen few streams: one in ten thousand at most is not. By the
// longest of what it had seen one in seven was not, which is shown beside it.
func TestWhatIsTakenByItsBoundIsFinished(t *testing.T) {
	var all outcome
	for _, most := range []int{16, 52, 100, 184} {
		for _, n := range []int{1, 3, 10, 30, 100, 500} {
			got := stops(n, most, noticed, stopRoom, func(e duration.Estimate, _ clock.Millis) clock.Millis { return e.Max })
			byLongest := stops(n, most, noticed, stopRoom, func(_ duration.Estimate, longest clock.Millis) clock.Millis {
				return longest + longest/4 + 300
			})
			t.Logf("%3d events, %3d seen: %5d of %d taken, %d cut; by the longest seen %5d taken, %d cut", most, n, got.taken, got.asked, got.cut, byLongest.taken, byLongest.cut)
			all.taken += got.taken
			all.cut += got.cut
		}
	}
	if most := all.taken / 10_000; all.cut > most || all.taken == 0 {
		t.Errorf("got %d answers cut of %d taken, want at most %d", all.cut, all.taken, most)
	}
}

// While the balancer still sends callers, an entry that is not replaced takes
// what usually ends in time. The chance that it does not is small.
func TestWhatIsTakenByItsUsualTimeIsSeldomCut(t *testing.T) {
	for _, n := range []int{1, 3, 10, 30, 100, 500} {
		got := stops(n, 184, 0, noticed, func(e duration.Estimate, _ clock.Millis) clock.Millis { return e.Typical })
		t.Logf("%3d seen: %5d of %d taken, %d cut", n, got.taken, got.asked, got.cut)
		if most := got.taken / 100; got.cut > most {
			t.Errorf("got %d answers cut of %d taken after %d were seen, want at most one in 100", got.cut, got.taken, n)
		}
	}
}
