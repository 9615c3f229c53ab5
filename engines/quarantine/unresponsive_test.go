package quarantine_test

import (
	"encoding/base64"
	"errors"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// dark records that a life of an engine went dark under a request that was sent at a time.
func dark(l *quarantine.List, d quarantine.Digest, life uint32, sent clock.Millis) {
	l.RecordUnresponsive(attempt(d, life), sent, sent+450)
}

// failDark has a suspect go dark with the engine of its trial.
func failDark(t *testing.T, l *quarantine.List, d quarantine.Digest, life uint32, now clock.Millis) {
	t.Helper()
	if a, ok := l.Admit(d, false, now).(quarantine.Trial); !ok {
		t.Fatalf("got %T at %d, want a trial", a, now)
	}
	l.StartTrial(d, life, now)
	a := attempt(d, life)
	a.Trial = true
	l.RecordUnresponsive(a, now, now+450)
}

// A request under which engines go dark is held back as one that ends them, but for some
// minutes after the last of them: an engine that is dark may live.
func TestARequestUnderWhichEnginesGoDarkIsHeldBackForMinutes(t *testing.T) {
	l := newList()
	dark(l, marked, 1, 1000)
	if a := l.Admit(marked, false, 1500); a != (quarantine.Allowed{}) {
		t.Errorf("got %#v after one engine went dark, want it free", a)
	}
	dark(l, marked, 2, 1200)
	failDark(t, l, marked, 3, 1700)
	if a, ok := l.Admit(marked, false, 2300).(quarantine.Held); !ok {
		t.Errorf("got %#v after a failed trial, want it held", a)
	}
	failDark(t, l, marked, 4, 2800)
	for _, now := range []clock.Millis{3300, 60_000, 300_000} {
		if a, ok := l.Admit(marked, false, now).(quarantine.Held); !ok {
			t.Errorf("got %#v at %d after two failed trials, want it held", a, now)
		}
	}
	if a, ok := l.Admit(marked, false, 310_000).(quarantine.Trial); !ok {
		t.Errorf("got %#v after minutes, want a trial", a)
	}
}

// Requests that were on dark engines by chance have few strikes, and lose them.
func TestChanceStrikesFewByDarkness(t *testing.T) {
	for name, tc := range map[string]struct {
		happened func(l *quarantine.List)
		want     int
	}{
		"two engines": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			dark(l, marked, 2, 2000)
		}, 2},
		"one engine, twice": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			dark(l, marked, 1, 2000)
		}, 1},
		"copies sent at once": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			dark(l, marked, 2, 1100)
		}, 1},
		"engines heard since, on newer connections": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			dark(l, marked, 2, 2000)
			l.RecordAlive(1, 4000, 4100)
			l.RecordAlive(2, 4000, 4100)
		}, 0},
		"an engine of which earlier bytes are read": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			l.RecordAlive(1, 500, 1900)
		}, 1},
		"a copy that ran well while it waited": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			l.RecordSuccess(marked, 2300)
			dark(l, marked, 2, 2200)
		}, 0},
		"the list tells the end of the engine, which is not heard": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			l.RecordBrokenAttempt(attempt(marked, 1), 1600)
			l.RecordIncarnationEnd(1, 3000)
		}, 1},
		"the list tells the end of the engine": {func(l *quarantine.List) {
			dark(l, marked, 1, 1000)
			l.RecordBrokenAttempt(attempt(marked, 1), 1600)
			l.RecordIncarnationEnd(1, 3000)
			l.RecordAlive(1, 5000, 6000)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newList()
			tc.happened(l)
			if got := l.Strikes(marked); got != tc.want {
				t.Errorf("got %d strikes, want %d", got, tc.want)
			}
		})
	}
}

// Engines that go dark together, as with their rack, prove nothing of a request on trial
// at one of them.
func TestATrialAmongDarkEnginesIsNoProof(t *testing.T) {
	l := newList()
	dark(l, marked, 1, 1000)
	dark(l, marked, 2, 1200)
	for n, sent := range []clock.Millis{2000, 4000} {
		life := uint32(10 * (n + 1))
		dark(l, quarantine.Digest{8}, life+1, sent+50)
		dark(l, quarantine.Digest{9}, life+2, sent+100)
		failDark(t, l, marked, life, sent)
	}
	if a, ok := l.Admit(marked, false, 6000).(quarantine.Trial); !ok {
		t.Errorf("got %#v after two trials that failed among dark engines, want another", a)
	}
}

// An entry that has just started takes an end for a suspect's, and a dark engine for less.
func TestADarkEngineProvesLessWhereNobodyRemembers(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	dark(l, marked, 1, 1000)
	if a := l.Admit(marked, false, 1500); a != (quarantine.Allowed{}) {
		t.Errorf("got %#v after one engine went dark, want it free", a)
	}
	dark(l, marked, 2, 1200)
	failDark(t, l, marked, 3, 1700)
	if a, ok := l.Admit(marked, false, 3000).(quarantine.Trial); !ok {
		t.Errorf("got %#v a second after a failed trial, want another", a)
	}
}

func TestWordOfDarkEnginesWithoutAnEndIsRefused(t *testing.T) {
	good, err := base64.RawStdEncoding.DecodeString(quarantine.Reports{{
		Digest: marked, Crashes: []quarantine.ReportedCrash{{ID: 9, Incarnation: 1, Age: 70, Unresponsive: true}},
	}}.Pack())
	if err != nil {
		t.Fatal(err)
	}
	last := len(good) - 1
	for _, dark := range []byte{0, 2, 3, 0x80} {
		good[last] = dark
		if n, err := quarantine.Unpack(base64.RawStdEncoding.EncodeToString(good)); !errors.Is(err, quarantine.ErrInvalidReports) {
			t.Errorf("got %v, %v for bits %x of one end, want it refused", n, err, dark)
		}
	}
	good[last] = 1
	if n, err := quarantine.Unpack(base64.RawStdEncoding.EncodeToString(good)); err != nil || len(n) != 1 || !n[0].Crashes[0].Unresponsive {
		t.Errorf("got %v, %v, want one dark engine", n, err)
	}
}

// Others learn which strikes are of dark engines, and take them back as well.
func TestWordOfDarkEnginesIsTakenBack(t *testing.T) {
	here, there := newList(), newList()
	dark(here, marked, 1, 1000)
	ended(here, marked, 2, 2000)
	news, err := quarantine.Unpack(here.TakePending(1, 2500).Pack())
	if err != nil || len(news) != 1 {
		t.Fatalf("got %+v, %v, want one request", news, err)
	}
	there.Merge(news[0], func(uint32) bool { return true }, 2500)
	if got := there.Strikes(marked); got != 2 {
		t.Fatalf("got %d strikes told, want 2", got)
	}
	if got := there.UnresponsiveIncarnations(marked); len(got) != 1 || got[0] != 1 {
		t.Errorf("got dark lives %v, want 1", got)
	}
	there.RecordAlive(1, 3000, 3100)
	there.RecordAlive(2, 3000, 3100)
	if got := there.Strikes(marked); got != 1 {
		t.Errorf("got %d strikes once both engines were heard on new connections, want 1", got)
	}
}
