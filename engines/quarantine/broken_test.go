package quarantine_test

import (
	"encoding/binary"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// newAttempt returns an attempt at an engine incarnation.
func newAttempt(d quarantine.Digest, incarnation uint32) quarantine.Attempt {
	return quarantine.Attempt{Digest: d, Fingerprint: 7, Incarnation: incarnation}
}

// Evidence of a crash may arrive seconds after the engine's connections broke. Checks that it
// strikes the attempts that the crash broke, and none that broke for another reason.
func TestLateCrashEvidenceStrikesBrokenAttempts(t *testing.T) {
	const incarnation, other = 1, 2
	silent := newAttempt(poison, incarnation)
	silent.Silent = true
	for name, tc := range map[string]struct {
		before func(l *quarantine.List)
		// crashKnownAt is when the crash becomes known, zero if it never does.
		crashKnownAt clock.Millis
		want         int
	}{
		"broken attempt without evidence":  {func(l *quarantine.List) { l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000) }, 0, 0},
		"broken attempt with a crash":      {func(l *quarantine.List) { l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000) }, 3000, 1},
		"broken attempt at another engine": {func(l *quarantine.List) { l.RecordBrokenAttempt(newAttempt(poison, other), 1000) }, 3000, 0},
		"broken long before the last attempt": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000)
			l.RecordBrokenAttempt(newAttempt(quarantine.Digest{9}, incarnation), 2000)
		}, 3000, 0},
		"broken shortly before the last attempt": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1900)
			l.RecordBrokenAttempt(newAttempt(quarantine.Digest{9}, incarnation), 2000)
		}, 3000, 1},
		"silent before the last attempt broke": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(silent, 1000)
			l.RecordBrokenAttempt(newAttempt(quarantine.Digest{9}, incarnation), 2000)
		}, 3000, 1},
		"data received on an old connection": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000)
			l.RecordAlive(incarnation, 500, 2500)
		}, 3000, 0},
		"data received on a new connection": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000)
			l.RecordAlive(incarnation, 1500, 2500)
		}, 3000, 1},
		"request succeeded since": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000)
			l.RecordSuccess(poison, 2000)
		}, 3000, 0},
		"evidence after minutes": {func(l *quarantine.List) { l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000) }, 100_000, 0},
		"evidence received twice": {func(l *quarantine.List) {
			l.RecordBrokenAttempt(newAttempt(poison, incarnation), 1000)
			l.RecordIncarnationEnd(incarnation, 2000)
		}, 3000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newList()
			tc.before(l)
			if tc.crashKnownAt > 0 {
				l.RecordIncarnationEnd(incarnation, tc.crashKnownAt)
			}
			if got := l.Strikes(poison); got != tc.want {
				t.Errorf("got %d strikes, want %d", got, tc.want)
			}
			if _, ok := l.Admit(quarantine.Subjects{poison}, false, 200_000).(quarantine.Allowed); !ok {
				t.Errorf("got %T after at most one strike, want it allowed", l.Admit(quarantine.Subjects{poison}, false, 200_000))
			}
		})
	}
}

func TestLateStrikeHasTimeOfBreak(t *testing.T) {
	l := newList()
	l.RecordBrokenAttempt(newAttempt(poison, 1), 1000)
	got := l.RecordIncarnationEnd(1, 1700)
	if len(got) != 1 || got[0].Digest != poison || got[0].Strikes != 1 || got[0].Delay != 700 {
		t.Fatalf("got %+v, want one strike that is 700 ms late", got)
	}
	// Simultaneous crashes are one strike, even if they become known at different times.
	l.RecordBrokenAttempt(newAttempt(poison, 2), 1100)
	l.RecordIncarnationEnd(2, 4000)
	if got := l.Strikes(poison); got != 1 {
		t.Errorf("got %d strikes by two crashes within 100 ms, want 1", got)
	}
}

// Checks that no other trial starts while it is unknown whether a broken trial crashed its
// engine, and that another starts once the engine sends data or the trial times out.
func TestBrokenTrialDelaysNextTrial(t *testing.T) {
	brokenTrial := func() *quarantine.List {
		l := newList()
		recordCrash(l, poison, 1, 1000)
		recordCrash(l, poison, 2, 2000)
		if _, ok := l.Admit(quarantine.Subjects{poison}, false, 3000).(quarantine.Trial); !ok {
			t.Fatal("got no trial of a suspect, want one")
		}
		l.StartTrial(poison, 3, 3100)
		trial := newAttempt(poison, 3)
		trial.Trial = true
		l.RecordBrokenAttempt(trial, 3200)
		return l
	}
	admit := func(l *quarantine.List, now clock.Millis) quarantine.Admission {
		return l.Admit(quarantine.Subjects{poison}, false, now)
	}

	l := brokenTrial()
	if held, ok := admit(l, 3300).(quarantine.Held); !ok || !held.TrialRunning {
		t.Errorf("got %+v after a trial broke, want it held for the trial", held)
	}
	if _, ok := admit(l, 3100+quarantine.TrialTimeout).(quarantine.Trial); !ok {
		t.Error("got no trial after the previous one timed out, want one")
	}

	l = brokenTrial()
	l.RecordIncarnationEnd(3, 3900)
	if held, ok := admit(l, 3950).(quarantine.Held); !ok || held.TrialRunning || held.Strikes != 3 {
		t.Errorf("got %+v after the trial's engine crashed, want it held after three strikes", held)
	}
	failTrial(t, l, poison, 4, 4300)
	if held, ok := admit(l, 60_000).(quarantine.Held); !ok {
		t.Errorf("got %+v after two failed trials, want it held", held)
	}

	l = brokenTrial()
	l.RecordAlive(3, 500, 4500)
	if _, ok := admit(l, 4600).(quarantine.Trial); !ok {
		t.Error("got no trial after the engine of the previous one sent data, want one")
	}
}

// Checks that the number of broken attempts is limited, and that the latest are kept.
func TestBrokenAttemptsAreBounded(t *testing.T) {
	const flood, kept = 10_000, 256
	l := newList()
	nth := func(n uint64) (d quarantine.Digest) {
		binary.BigEndian.PutUint64(d[:], n+1)
		return d
	}
	for n := range uint64(flood) {
		l.RecordBrokenAttempt(newAttempt(nth(n), 1), 1000)
	}
	if got := len(l.RecordIncarnationEnd(1, 2000)); got > kept {
		t.Errorf("got %d broken attempts kept, want at most %d", got, kept)
	}
	l = newList()
	for n := range uint64(flood) {
		l.RecordBrokenAttempt(newAttempt(nth(n), 1), clock.Millis(1000+n/100))
	}
	l.RecordIncarnationEnd(1, 2000)
	if got := l.Strikes(nth(flood - 1)); got != 1 {
		t.Errorf("got %d strikes by the latest broken attempt, want 1", got)
	}
	if !l.MayContain(7) {
		t.Error("got the fingerprint of a strike removed, want it kept")
	}
	empty := newList()
	empty.RecordBrokenAttempt(newAttempt(poison, 1), 1000)
	if empty.Empty() || !empty.MayContain(7) {
		t.Error("got a list with a broken attempt empty, want it not empty")
	}
	empty.Sweep(100_000)
	if !empty.Empty() || empty.MayContain(7) {
		t.Error("got a broken attempt kept after minutes, want it expired")
	}
}
