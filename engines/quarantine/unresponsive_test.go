package quarantine_test

import (
	"encoding/base64"
	"errors"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// recordUnresponsive records that an engine became unresponsive during an attempt sent at sent.
func recordUnresponsive(l *quarantine.List, d quarantine.Digest, incarnation uint32, sent clock.Millis) {
	l.RecordUnresponsive(newAttempt(d, incarnation), sent, sent+450)
}

// failTrialUnresponsive runs a trial of a suspect whose engine becomes unresponsive.
func failTrialUnresponsive(t *testing.T, l *quarantine.List, d quarantine.Digest, incarnation uint32, now clock.Millis) {
	t.Helper()
	if a, ok := l.Admit(quarantine.Subjects{d}, false, now).(quarantine.Trial); !ok {
		t.Fatalf("got %T at %d, want a trial", a, now)
	}
	l.StartTrial(d, incarnation, now)
	a := newAttempt(d, incarnation)
	a.Trial = true
	l.RecordUnresponsive(a, now, now+450)
}

// Checks that a request under which engines become unresponsive is held back like one that
// crashes them, but only for minutes: an unresponsive engine may still be running.
func TestUnresponsiveEnginesHoldBackRequestForMinutes(t *testing.T) {
	l := newList()
	recordUnresponsive(l, poison, 1, 1000)
	if a := l.Admit(quarantine.Subjects{poison}, false, 1500); a != (quarantine.Allowed{}) {
		t.Errorf("got %#v after one unresponsive engine, want it allowed", a)
	}
	recordUnresponsive(l, poison, 2, 1200)
	failTrialUnresponsive(t, l, poison, 3, 1700)
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 2300).(quarantine.Held); !ok {
		t.Errorf("got %#v after a failed trial, want it held", a)
	}
	failTrialUnresponsive(t, l, poison, 4, 2800)
	for _, now := range []clock.Millis{3300, 60_000, 300_000} {
		if a, ok := l.Admit(quarantine.Subjects{poison}, false, now).(quarantine.Held); !ok {
			t.Errorf("got %#v at %d after two failed trials, want it held", a, now)
		}
	}
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 310_000).(quarantine.Trial); !ok {
		t.Errorf("got %#v after minutes, want a trial", a)
	}
}

// Checks that requests that were on unresponsive engines by coincidence get few strikes, and
// lose them again.
func TestStrikesOfUnresponsiveEngines(t *testing.T) {
	for name, tc := range map[string]struct {
		setup func(l *quarantine.List)
		want  int
	}{
		"two engines": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			recordUnresponsive(l, poison, 2, 2000)
		}, 2},
		"one engine twice": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			recordUnresponsive(l, poison, 1, 2000)
		}, 1},
		"copies sent at once": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			recordUnresponsive(l, poison, 2, 1100)
		}, 1},
		"data received on newer connections": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			recordUnresponsive(l, poison, 2, 2000)
			l.RecordAlive(1, 4000, 4100)
			l.RecordAlive(2, 4000, 4100)
		}, 0},
		"earlier data of the engine read late": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			l.RecordAlive(1, 500, 1900)
		}, 1},
		"copy succeeded while the attempt waited": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			l.RecordSuccess(poison, 2300)
			recordUnresponsive(l, poison, 2, 2200)
		}, 0},
		"engine list reports the crash": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			l.RecordBrokenAttempt(newAttempt(poison, 1), 1600)
			l.RecordIncarnationEnd(1, 3000)
		}, 1},
		"engine list reports the crash, and data received later": {func(l *quarantine.List) {
			recordUnresponsive(l, poison, 1, 1000)
			l.RecordBrokenAttempt(newAttempt(poison, 1), 1600)
			l.RecordIncarnationEnd(1, 3000)
			l.RecordAlive(1, 5000, 6000)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newList()
			tc.setup(l)
			if got := l.Strikes(poison); got != tc.want {
				t.Errorf("got %d strikes, want %d", got, tc.want)
			}
		})
	}
}

// Checks that a trial proves nothing when other engines become unresponsive at the same time,
// as with a rack failure.
func TestTrialAmongUnresponsiveEnginesIsNoProof(t *testing.T) {
	l := newList()
	recordUnresponsive(l, poison, 1, 1000)
	recordUnresponsive(l, poison, 2, 1200)
	for n, sent := range []clock.Millis{2000, 4000} {
		incarnation := uint32(10 * (n + 1))
		recordUnresponsive(l, quarantine.Digest{8}, incarnation+1, sent+50)
		recordUnresponsive(l, quarantine.Digest{9}, incarnation+2, sent+100)
		failTrialUnresponsive(t, l, poison, incarnation, sent)
	}
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 6000).(quarantine.Trial); !ok {
		t.Errorf("got %#v after two trials that failed among unresponsive engines, want another", a)
	}
}

// With unknown history a single crash makes a suspect. Checks that an unresponsive engine does
// not.
func TestUnresponsiveEngineProvesLessWithUnknownHistory(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	recordUnresponsive(l, poison, 1, 1000)
	if a := l.Admit(quarantine.Subjects{poison}, false, 1500); a != (quarantine.Allowed{}) {
		t.Errorf("got %#v after one unresponsive engine, want it allowed", a)
	}
	recordUnresponsive(l, poison, 2, 1200)
	failTrialUnresponsive(t, l, poison, 3, 1700)
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 3000).(quarantine.Trial); !ok {
		t.Errorf("got %#v a second after a failed trial, want another", a)
	}
}

func TestUnpackRejectsUnresponsiveBitsWithoutCrash(t *testing.T) {
	good, err := base64.RawStdEncoding.DecodeString(quarantine.Reports{{
		Digest: poison, Crashes: []quarantine.ReportedCrash{{ID: 9, Incarnation: 1, Age: 70, Unresponsive: true}},
	}}.Pack())
	if err != nil {
		t.Fatal(err)
	}
	last := len(good) - 1
	for _, bits := range []byte{0, 2, 3, 0x80} {
		good[last] = bits
		if n, err := quarantine.Unpack(base64.RawStdEncoding.EncodeToString(good)); !errors.Is(err, quarantine.ErrInvalidReports) {
			t.Errorf("got %v, %v for bits %x of one crash, want ErrInvalidReports", n, err, bits)
		}
	}
	good[last] = 1
	if n, err := quarantine.Unpack(base64.RawStdEncoding.EncodeToString(good)); err != nil || len(n) != 1 || !n[0].Crashes[0].Unresponsive {
		t.Errorf("got %v, %v, want one unresponsive engine", n, err)
	}
}

// Checks that peers receive which strikes are of unresponsive engines, and remove those when
// the engines send data.
func TestReportedUnresponsiveEngineIsRefuted(t *testing.T) {
	local, peer := newList(), newList()
	recordUnresponsive(local, poison, 1, 1000)
	recordCrash(local, poison, 2, 2000)
	reports, err := quarantine.Unpack(local.TakePending(1, 2500).Pack())
	if err != nil || len(reports) != 1 {
		t.Fatalf("got %+v, %v, want one request", reports, err)
	}
	peer.Merge(reports[0], func(uint32) bool { return true }, 2500)
	if got := peer.Strikes(poison); got != 2 {
		t.Fatalf("got %d strikes reported, want 2", got)
	}
	if got := peer.UnresponsiveIncarnations(poison); len(got) != 1 || got[0] != 1 {
		t.Errorf("got unresponsive incarnations %v, want [1]", got)
	}
	peer.RecordAlive(1, 3000, 3100)
	peer.RecordAlive(2, 3000, 3100)
	if got := peer.Strikes(poison); got != 1 {
		t.Errorf("got %d strikes once both engines sent data on new connections, want 1", got)
	}
}
