package quarantine_test

import (
	"encoding/binary"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// attempt returns one at a life of an engine.
func attempt(d quarantine.Digest, life uint32) quarantine.Attempt {
	return quarantine.Attempt{Digest: d, Fingerprint: 7, Incarnation: life}
}

// What shows that an engine ended may come seconds after its connections broke. It strikes
// what broke off with it, and nothing that broke off for another reason.
func TestLateWordOfAnEndStrikesWhatBrokeOffWithIt(t *testing.T) {
	const life, other = 1, 2
	silent := attempt(marked, life)
	silent.Silent = true
	for name, tc := range map[string]struct {
		before func(l *quarantine.List)
		// ended is when it is known that the life ended, zero if it never is.
		ended clock.Millis
		want  int
	}{
		"a break of which nothing more is known": {func(l *quarantine.List) { l.RecordBrokenAttempt(attempt(marked, life), 1000) }, 0, 0},
		"a break with the end":                   {func(l *quarantine.List) { l.RecordBrokenAttempt(attempt(marked, life), 1000) }, 3000, 1},
		"a break of another engine":              {func(l *quarantine.List) { l.RecordBrokenAttempt(attempt(marked, other), 1000) }, 3000, 0},
		"a break long before the end": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1000)
			l.RecordBrokenAttempt(attempt(quarantine.Digest{9}, life), 2000)
		}, 3000, 0},
		"a break in the moment of the last": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1900)
			l.RecordBrokenAttempt(attempt(quarantine.Digest{9}, life), 2000)
		}, 3000, 1},
		"silence before the break": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(silent, 1000)
			l.RecordBrokenAttempt(attempt(quarantine.Digest{9}, life), 2000)
		}, 3000, 1},
		"heard since on a connection of before": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1000)
			l.RecordAlive(life, 500, 2500)
		}, 3000, 0},
		"heard since on a new connection": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1000)
			l.RecordAlive(life, 1500, 2500)
		}, 3000, 1},
		"the request ran well since": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1000)
			l.RecordSuccess(marked, 2000)
		}, 3000, 0},
		"an end that is known after minutes": {func(l *quarantine.List) { l.RecordBrokenAttempt(attempt(marked, life), 1000) }, 100_000, 0},
		"an end that is told twice": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(attempt(marked, life), 1000)
			l.RecordIncarnationEnd(life, 2000)
		}, 3000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newList()
			tc.before(l)
			if tc.ended > 0 {
				l.RecordIncarnationEnd(life, tc.ended)
			}
			if got := l.Strikes(marked); got != tc.want {
				t.Errorf("got %d strikes, want %d", got, tc.want)
			}
			if _, ok := l.Admit(marked, false, 200_000).(quarantine.Allowed); !ok {
				t.Errorf("got %T, want one strike at most to hold nothing back", l.Admit(marked, false, 200_000))
			}
		})
	}
}

func TestALateStrikeIsOfTheTimeOfTheBreak(t *testing.T) {
	l := newList()
	l.RecordBrokenAttempt(attempt(marked, 1), 1000)
	got := l.RecordIncarnationEnd(1, 1700)
	if len(got) != 1 || got[0].Digest != marked || got[0].Strikes != 1 || got[0].Delay != 700 {
		t.Fatalf("got %+v, want one strike that is 700 ms late", got)
	}
	// Engines that end in one go are one strike, whenever each of them is known.
	l.RecordBrokenAttempt(attempt(marked, 2), 1100)
	l.RecordIncarnationEnd(2, 4000)
	if got := l.Strikes(marked); got != 1 {
		t.Errorf("got %d strikes by two ends within 100 ms, want 1", got)
	}
}

// While it is open whether a trial ended its engine there is no other, and nothing of it
// is left once the engine is heard or the time of a trial is over.
func TestATrialThatBrokeOffIsWaitedFor(t *testing.T) {
	suspect := func() *quarantine.List {
		l := newList()
		ended(l, marked, 1, 1000)
		ended(l, marked, 2, 2000)
		if _, ok := l.Admit(marked, false, 3000).(quarantine.Trial); !ok {
			t.Fatal("got no trial of a suspect")
		}
		l.StartTrial(marked, 3, 3100)
		trial := attempt(marked, 3)
		trial.Trial = true
		l.RecordBrokenAttempt(trial, 3200)
		return l
	}
	admitted := func(l *quarantine.List, now clock.Millis) quarantine.Admission { return l.Admit(marked, false, now) }

	l := suspect()
	if held, ok := admitted(l, 3300).(quarantine.Held); !ok || !held.TrialRunning {
		t.Errorf("got %+v after a trial broke off, want it held for the trial", held)
	}
	if _, ok := admitted(l, 3100+quarantine.TrialTimeout).(quarantine.Trial); !ok {
		t.Error("got no trial once the time of the one before is over, want one")
	}

	l = suspect()
	l.RecordIncarnationEnd(3, 3900)
	if held, ok := admitted(l, 3950).(quarantine.Held); !ok || held.TrialRunning || held.Strikes != 3 {
		t.Errorf("got %+v after the trial's engine ended, want it held after three strikes", held)
	}
	fail(t, l, marked, 4, 4300)
	if held, ok := admitted(l, 60_000).(quarantine.Held); !ok {
		t.Errorf("got %+v after two failed trials, want it held", held)
	}

	l = suspect()
	l.RecordAlive(3, 500, 4500)
	if _, ok := admitted(l, 4600).(quarantine.Trial); !ok {
		t.Error("got no trial after the engine of the one before was heard, want one")
	}
}

// A flood of breaks costs a bounded memory, and the latest are remembered.
func TestAFloodOfBreaksIsBounded(t *testing.T) {
	const flood, kept = 10_000, 256
	l := newList()
	nth := func(n uint64) (d quarantine.Digest) {
		binary.BigEndian.PutUint64(d[:], n+1)
		return d
	}
	for n := range uint64(flood) {
		l.RecordBrokenAttempt(attempt(nth(n), 1), 1000)
	}
	if got := len(l.RecordIncarnationEnd(1, 2000)); got > kept {
		t.Errorf("got %d attempts remembered, want at most %d", got, kept)
	}
	l = newList()
	for n := range uint64(flood) {
		l.RecordBrokenAttempt(attempt(nth(n), 1), clock.Millis(1000+n/100))
	}
	l.RecordIncarnationEnd(1, 2000)
	if got := l.Strikes(nth(flood - 1)); got != 1 {
		t.Errorf("got %d strikes of the latest, want 1", got)
	}
	if !l.MayContain(7) {
		t.Error("got a shape forgotten that was struck, want it known")
	}
	empty := newList()
	empty.RecordBrokenAttempt(attempt(marked, 1), 1000)
	if empty.Empty() || !empty.MayContain(7) {
		t.Error("got a list empty that remembers a break, want not")
	}
	empty.Sweep(100_000)
	if !empty.Empty() || empty.MayContain(7) {
		t.Error("got a break remembered after minutes, want it forgotten")
	}
}
