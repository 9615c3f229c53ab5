package quarantine_test

import (
	"math/rand/v2"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// lossPlay is a fleet under load that loses many engines in one moment.
type lossPlay struct {
	entries, lost int
	// messageDelay is how late messages between entries are at most.
	messageDelay clock.Millis
	// soundEvery is the time between two sound requests.
	soundEvery clock.Millis
	// culpritEvery is the time between two requests with a part that crashes engines, which begin
	// shortly before the loss; zero if there are none.
	culpritEvery clock.Millis
}

const lossAt clock.Millis = 4000

func (p lossPlay) run(seed uint64) *partFleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	f := &partFleet{
		fleet: newFleet(seed, p.entries, 45), crashTimes: map[quarantine.Digest][]clock.Millis{},
		arrivalTimes: map[quarantine.Digest][]clock.Millis{}, heldSince: map[quarantine.Digest]clock.Millis{},
	}
	f.requests, f.messageDelay = 1<<32, p.messageDelay
	f.onPartCrash = f.partCrash
	part := func(position, n int) quarantine.Digest { return digestOf(1<<40 + uint64(position)<<36 + uint64(n)<<8) }
	parts := func() []quarantine.Digest {
		return []quarantine.Digest{part(1, rng.IntN(8)), part(2, rng.IntN(150))}
	}
	const end = 14_000
	f.every(p.soundEvery, end, func() { f.submitPrompt(f.randomEntry(), parts(), clock.Millis(300+rng.IntN(1200))) })
	if p.culpritEvery > 0 {
		culprit := digestOf(1 << 60)
		f.culprits = append(f.culprits, culprit)
		f.after(lossAt-300-f.now, func() {
			f.every(p.culpritEvery, end, func() { f.submitPrompt(f.randomEntry(), append(parts(), culprit), 0) })
		})
	}
	f.after(lossAt-f.now, func() {
		for _, e := range f.engines[:p.lost] {
			f.after(clock.Millis(rng.IntN(25)), func() { f.crash(e) })
		}
	})
	f.advance(end)
	return f
}

// No sound request is held back after many engines ended in one moment, and at most one in 500 if
// messages between entries are late under the load.
func TestLossOfManyEnginesHoldsNothingBack(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{3, 9} {
		for _, delay := range []clock.Millis{0, 500} {
			refused, sound := 0, 0
			for seed := range uint64(2) {
				f := lossPlay{entries: entries, lost: 18, messageDelay: delay, soundEvery: 3}.run(seed)
				refused, sound = refused+f.refusedSound, sound+f.sound
			}
			t.Logf("%d entries, messages up to %d ms late: %d of %d refused", entries, delay, refused, sound)
			most := 0
			if delay > 0 {
				most = sound / 500
			}
			if refused > most {
				t.Errorf("%d entries, messages up to %d ms late: got %d of %d sound requests refused, want at most %d", entries, delay, refused, sound, most)
			}
		}
	}
}

// A part that crashes engines while many others end is found nearly as soon as without the loss.
func TestPartThatCrashesEnginesBesideALossIsFound(t *testing.T) {
	t.Parallel()
	for _, every := range []clock.Millis{50, 100, 300, 1000} {
		for _, lost := range []int{0, 18} {
			sum, most, late := 0, 0, 0
			const plays = 10
			for seed := range uint64(plays) {
				l, crashes := lossPlay{entries: 9, lost: lost, messageDelay: 20, soundEvery: 10, culpritEvery: every}.run(seed).lateParts()
				sum, most, late = sum+crashes, max(most, crashes), max(late, l)
			}
			t.Logf("every %d ms, %d engines lost: %.2f crashes by the part, at most %d, at most %d late", every, lost, float64(sum)/plays, most, late)
			if late > 3 || most > 13 {
				t.Errorf("every %d ms, %d engines lost: got %d crashes by the part and %d late arrivals, want at most 13 and 3", every, lost, most, late)
			}
		}
	}
}
