package quarantine_test

import (
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

func newList() *quarantine.List { return quarantine.NewList(rand.New(rand.NewPCG(1, 2)).Uint32) }

// recordCrash records that an engine crashed under a request.
func recordCrash(l *quarantine.List, d quarantine.Digest, incarnation uint32, now clock.Millis) {
	l.RecordCrash(quarantine.Attempt{Digest: d, Fingerprint: uint32(d[0]), Incarnation: incarnation}, now)
}

// failTrial runs a trial of a suspect whose engine crashes.
func failTrial(t *testing.T, l *quarantine.List, d quarantine.Digest, incarnation uint32, now clock.Millis) {
	t.Helper()
	if a, ok := l.Admit(quarantine.Subjects{d}, false, now).(quarantine.Trial); !ok {
		t.Fatalf("got %T at %d, want a trial", l.Admit(quarantine.Subjects{d}, false, now), now)
	} else if a.Strikes < quarantine.SuspectStrikes {
		t.Errorf("got a trial after %d strikes, want %d", a.Strikes, quarantine.SuspectStrikes)
	}
	l.StartTrial(d, incarnation, now)
	l.RecordCrash(quarantine.Attempt{Digest: d, Incarnation: incarnation, Trial: true}, now+60)
}

func TestTwoStrikesMakeSuspectAndTwoFailedTrialsHoldItBack(t *testing.T) {
	l := newList()
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 0).(quarantine.Allowed); !ok {
		t.Errorf("got %T for an unknown request, want it allowed", l.Admit(quarantine.Subjects{poison}, false, 0))
	}
	recordCrash(l, poison, 1, 1000)
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 1001).(quarantine.Allowed); !ok {
		t.Errorf("got %T after one strike, want it allowed", l.Admit(quarantine.Subjects{poison}, false, 1001))
	}
	recordCrash(l, poison, 2, 2000)
	failTrial(t, l, poison, 3, 2001)
	held, ok := l.Admit(quarantine.Subjects{poison}, false, 2100).(quarantine.Held)
	if !ok || held.RetryAfter != 961 {
		t.Errorf("got %+v after a failed trial, want it held for the rest of a second", held)
	}
	failTrial(t, l, poison, 4, 3100)
	for _, now := range []clock.Millis{3200, 60_000, 3_000_000} {
		if _, ok := l.Admit(quarantine.Subjects{poison}, false, now).(quarantine.Held); !ok {
			t.Errorf("got %T at %d after two failed trials, want it held", l.Admit(quarantine.Subjects{poison}, false, now), now)
		}
	}
	if !l.RecordSuccess(poison, 3_000_001) {
		t.Error("got no change by a success, want all strikes cleared")
	}
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 3_000_002).(quarantine.Allowed); !ok {
		t.Errorf("got %T after a success, want it allowed", l.Admit(quarantine.Subjects{poison}, false, 3_000_002))
	}
}

// Guards against another trial of a request that two failed trials had proven to crash engines:
// later crashes, or late reports of them, must not evict these trials from the record.
func TestOtherCrashesDoNotEvictFailedTrials(t *testing.T) {
	l := newList()
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 2, 2000)
	failTrial(t, l, poison, 3, 2001)
	failTrial(t, l, poison, 4, 3100)
	for n := range 20 {
		recordCrash(l, poison, uint32(10+n), 10_000+clock.Millis(1000*n))
	}
	for _, now := range []clock.Millis{40_000, 3_000_000} {
		if a, ok := l.Admit(quarantine.Subjects{poison}, false, now).(quarantine.Held); !ok || a.RetryAfter < 60_000 {
			t.Errorf("got %T %+v at %d after 20 other crashes, want it held", a, a, now)
		}
	}
}

// Guards against a trial that runs although its entry received, after it had claimed the trial,
// reports that prove that the request crashes engines.
func TestClaimIsVoidOnceRequestIsProven(t *testing.T) {
	informed, restarted := newList(), newList()
	recordCrash(informed, poison, 1, 1000)
	recordCrash(informed, poison, 2, 2000)
	failTrial(t, informed, poison, 3, 2001)
	failTrial(t, informed, poison, 4, 3100)
	recordCrash(restarted, poison, 5, 20_000)
	recordCrash(restarted, poison, 6, 20_500)
	if _, ok := restarted.Admit(quarantine.Subjects{poison}, false, 20_501).(quarantine.Trial); !ok {
		t.Fatalf("got %T, want a trial", restarted.Admit(quarantine.Subjects{poison}, false, 20_501))
	}
	if got := restarted.RemainingPause(quarantine.Subjects{poison}, 20_550); got > 0 {
		t.Errorf("got a pause of %d ms before the reports, want none", got)
	}
	merge(t, restarted, informed.TakePending(10, 20_560), 20_560)
	if got, least := restarted.RemainingPause(quarantine.Subjects{poison}, 20_600), clock.Millis(60_000); got < least {
		t.Errorf("got a pause of %d ms after the reports, want %d or more", got, least)
	}
}

// Checks that a request is not sent while its trial is running, and that a trial without a
// result changes nothing.
func TestOneTrialAtATime(t *testing.T) {
	l := newList()
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 2, 2000)
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 2001).(quarantine.Trial); !ok {
		t.Fatalf("got %T, want a trial", l.Admit(quarantine.Subjects{poison}, false, 2001))
	}
	if held, ok := l.Admit(quarantine.Subjects{poison}, false, 2002).(quarantine.Held); !ok || !held.TrialRunning || held.RetryAfter > 500 {
		t.Errorf("got %+v, want it held briefly while a trial is running", held)
	}
	l.EndTrial(poison, 2100)
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 2101).(quarantine.Trial); !ok {
		t.Errorf("got %T after a trial without a result, want another", l.Admit(quarantine.Subjects{poison}, false, 2101))
	}
}

// Checks that only one entry runs the trial if two claim it before they receive each other's
// claim.
func TestOneOfTwoClaimsWins(t *testing.T) {
	for seed := range uint64(20) {
		a, b := quarantine.NewList(rand.New(rand.NewPCG(seed, 1)).Uint32), quarantine.NewList(rand.New(rand.NewPCG(seed, 2)).Uint32)
		for _, l := range []*quarantine.List{a, b} {
			recordCrash(l, poison, 1, 1000)
			recordCrash(l, poison, 2, 2000)
			l.TakePending(10, 2000)
			l.Admit(quarantine.Subjects{poison}, false, 2001)
		}
		fromA, fromB := a.TakePending(10, 2002), b.TakePending(10, 2002)
		merge(t, a, fromB, 2005)
		merge(t, b, fromA, 2005)
		if got := a.OwnsTrial(poison, 2101) != b.OwnsTrial(poison, 2101); !got {
			t.Errorf("seed %d: got claims %v and %v, want one", seed, a.OwnsTrial(poison, 2101), b.OwnsTrial(poison, 2101))
		}
	}
}

// merge merges reports after packing and unpacking them.
func merge(t *testing.T, l *quarantine.List, reports quarantine.Reports, now clock.Millis) {
	t.Helper()
	got, err := quarantine.Unpack(reports.Pack())
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range got {
		l.Merge(r, notLost, now)
	}
}

// Checks that an isolated entry holds back a request after one strike: other entries can accept
// it, and they may know of more strikes.
func TestIsolatedEntryHoldsBackAfterOneStrike(t *testing.T) {
	l := newList()
	if _, ok := l.Admit(quarantine.Subjects{poison}, true, 0).(quarantine.Allowed); !ok {
		t.Errorf("got %T for a request without a strike, want it allowed", l.Admit(quarantine.Subjects{poison}, true, 0))
	}
	recordCrash(l, poison, 1, 1000)
	if held, ok := l.Admit(quarantine.Subjects{poison}, true, 1001).(quarantine.Held); !ok || held.RetryAfter > 20 {
		t.Errorf("got %+v, want it held with a short Retry-After", held)
	}
}

// Guards against requests and parts that an entry refuses for as long as it lives: once all others
// had ended, it held every suspect back for them, and no success could clear a strike.
func TestIsolatedEntryTriesSuspectsAfterAPause(t *testing.T) {
	for _, tc := range []struct {
		name  string
		crash func(l *quarantine.List, incarnation uint32, at clock.Millis)
		// crashes is the number of crashes that make a suspect.
		crashes int
		subject quarantine.Digest
	}{
		{"a whole request", func(l *quarantine.List, n uint32, at clock.Millis) { recordCrash(l, poison, n, at) }, 1, poison},
		{"a part", func(l *quarantine.List, n uint32, at clock.Millis) {
			recordPartCrash(l, uint64(n), n, at, nil, culprit)
		}, 2, culprit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, now := newList(), clock.Millis(1000)
			for n := range tc.crashes {
				now += 1000
				tc.crash(l, uint32(n+1), now)
			}
			s := quarantine.Subjects{tc.subject}
			for at := now + 100; at < now+quarantine.TrialTimeout; at += 100 {
				if a, ok := l.Admit(s, true, at).(quarantine.Held); !ok || a.RetryAfter > 20 {
					t.Fatalf("%d ms after the crash: got %#v, want it held with a short Retry-After", at-now, a)
				}
			}
			at := now + quarantine.TrialTimeout
			if a, ok := l.Admit(s, true, at).(quarantine.Trial); !ok {
				t.Fatalf("got %#v after the pause, want a trial", a)
			}
			if a, ok := l.Admit(s, true, at+10).(quarantine.Held); !ok || !a.TrialRunning || a.RetryAfter != quarantine.TrialRetryAfter {
				t.Errorf("got %#v during the trial, want it held until the trial is over", a)
			}
			l.RecordSuccess(tc.subject, at+200)
			if a, ok := l.Admit(s, true, at+300).(quarantine.Allowed); !ok {
				t.Errorf("got %#v after a success, want it allowed", a)
			}
		})
	}
}

// An isolated entry cannot know how many engines a request crashed elsewhere, so that it tries it
// again only long after a trial that failed.
func TestIsolatedEntryRarelyRepeatsATrial(t *testing.T) {
	l := newList()
	s := quarantine.Subjects{poison}
	crashes, now := 0, clock.Millis(1000)
	for until := now + 60_000; now < until; now += 100 {
		switch l.Admit(s, true, now).(type) {
		case quarantine.Allowed:
			crashes++
			recordCrash(l, poison, uint32(crashes), now)
		case quarantine.Trial:
			crashes++
			l.StartTrial(poison, uint32(crashes), now)
			a := newAttempt(poison, uint32(crashes))
			a.Trial = true
			l.RecordCrash(a, now)
		case quarantine.Held:
		}
	}
	if crashes > 2 {
		t.Errorf("got %d crashed engines in 60 s, want at most 2", crashes)
	}
}

func TestDataOnOldConnectionRefutesCrash(t *testing.T) {
	for _, tc := range []struct {
		name         string
		opened, when clock.Millis
		want         int
	}{
		{"data on an old connection", 500, 2500, 0},
		{"data sent before the crash", 500, 1100, 1},
		{"data on a newer connection", 1500, 9000, 1},
	} {
		l := newList()
		recordCrash(l, poison, 1, 1000)
		l.RecordAlive(1, tc.opened, tc.when)
		if got := l.Strikes(poison); got != tc.want {
			t.Errorf("%s: got %d strikes, want %d", tc.name, got, tc.want)
		}
	}
}

// While the list of engines lags behind, the next incarnation of an engine goes by the hash of
// the previous one. Checks that its crash is distinguished from the same crash being recorded
// twice at slightly different times.
func TestCrashesWithSameIncarnationHash(t *testing.T) {
	l := newList()
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 1, 1030)
	if got := l.Strikes(poison); got != 1 {
		t.Errorf("got %d strikes by one crash recorded twice, want 1", got)
	}
	recordCrash(l, poison, 1, 2000)
	if got := l.Strikes(poison); got != 2 {
		t.Errorf("got %d strikes by two crashes with the same hash, want 2", got)
	}
}

// Like TestCrashesWithSameIncarnationHash, for an engine that restarts at once and crashes again
// at another entry, before the list of engines reports the first crash.
func TestReportedCrashesWithSameIncarnationHash(t *testing.T) {
	first, second := newList(), quarantine.NewList(rand.New(rand.NewPCG(3, 4)).Uint32)
	crash := func(l *quarantine.List, at clock.Millis) {
		l.RecordCrash(quarantine.Attempt{Digest: poison, Fingerprint: 1, Incarnation: 1}, at)
	}
	crash(first, 1000)
	crash(second, 1250)
	merge(t, first, second.TakePending(9, 1250), 1251)
	merge(t, second, first.TakePending(9, 1251), 1252)
	for name, l := range map[string]*quarantine.List{"first": first, "second": second} {
		if got := l.Strikes(poison); got != 2 {
			t.Errorf("%s entry: got %d strikes by two crashes with the same hash, want 2", name, got)
		}
	}
}

func TestReportedSuccessOverridesOlderCrashes(t *testing.T) {
	a, b := newList(), quarantine.NewList(rand.New(rand.NewPCG(7, 7)).Uint32)
	recordCrash(a, poison, 1, 1000)
	recordCrash(a, poison, 2, 2000)
	merge(t, b, a.TakePending(10, 2000), 2005)
	if got := b.Strikes(poison); got != 2 {
		t.Fatalf("got %d strikes reported by a peer, want 2", got)
	}
	b.RecordSuccess(poison, 3000)
	// Reports that a repeats change nothing, and make b report the success.
	merge(t, b, a.Sample(10, 3500), 3505)
	if got := b.Strikes(poison); got != 0 {
		t.Errorf("got %d strikes after a success, want 0", got)
	}
	merge(t, a, b.TakePending(10, 3510), 3515)
	if got := a.Strikes(poison); got != 0 {
		t.Errorf("got %d strikes at the other entry, want 0", got)
	}
	if a.Checksum(4000) != b.Checksum(4000) {
		t.Errorf("got checksums %x and %x of entries with the same records, want them equal", a.Checksum(4000), b.Checksum(4000))
	}
}

// falseReport returns a report of failed trials that did not take place.
func falseReport(n uint64) quarantine.Report {
	r := quarantine.Report{Digest: digestOf(n), Fingerprint: uint32(n)}
	for i := range uint32(6) {
		r.Crashes = append(r.Crashes, quarantine.ReportedCrash{ID: 1 + rand.Uint32N(1<<30), Incarnation: 1000 + i, Age: clock.Millis(i) * 500, Trial: true})
	}
	return r
}

// Checks that false reports of a peer hold back at most 256 requests at a time, each for five
// minutes after the last false report on it, and that they do not evict what this entry observed
// itself.
func TestFalseReportsHoldBackLittle(t *testing.T) {
	const minutes = 60_000
	l := newList()
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 2, 2000)
	failTrial(t, l, poison, 3, 2001)
	failTrial(t, l, poison, 4, 3100)
	for n := range uint64(5000) {
		l.Merge(falseReport(10_000+n), notLost, 4000)
	}
	heldBack := 0
	for n := range uint64(5000) {
		if _, ok := l.Admit(quarantine.Subjects{digestOf(10_000 + n)}, false, 4001).(quarantine.Held); ok {
			heldBack++
		}
	}
	if heldBack > 256 {
		t.Errorf("got %d requests held back by false reports, want at most 256", heldBack)
	}
	if got, ok := l.Admit(quarantine.Subjects{digestOf(14_999)}, false, 4001).(quarantine.Held); !ok || got.RetryAfter > 5*minutes {
		t.Errorf("got %+v by a false report, want it held for at most five minutes", got)
	}
	if got, ok := l.Admit(quarantine.Subjects{digestOf(14_999)}, false, 4000+5*minutes).(quarantine.Trial); !ok {
		t.Errorf("got %T five minutes after a false report, want a trial", got)
	}
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 4001).(quarantine.Held); !ok {
		t.Errorf("got %T for a request that this entry observed itself, want it held", l.Admit(quarantine.Subjects{poison}, false, 4001))
	}
	// Data from the engines named in the false reports refutes these.
	for i := range uint32(6) {
		l.RecordAlive(1000+i, 100, 9000)
	}
	if got := l.Strikes(digestOf(14_999)); got != 0 {
		t.Errorf("got %d strikes by engines that sent data since, want 0", got)
	}
}

// Checks that a client who sends a different request that crashes engines each time fills a
// limited list, and evicts no request that is held back.
func TestFloodOfRequestsEvictsNoSuspect(t *testing.T) {
	l := newList()
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 2, 2000)
	for n := range uint64(50_000) {
		recordCrash(l, digestOf(100+n), uint32(10+n/2), 3000+clock.Millis(n))
	}
	if got := l.Strikes(poison); got != 2 {
		t.Errorf("got %d strikes after a flood, want 2", got)
	}
	if _, struck := l.Counts(); struck > 4096 {
		t.Errorf("got %d requests with a strike, want at most 4096", struck)
	}
	sent := 0
	for l.HasPending() {
		n := l.TakePending(quarantine.MaxReports, 60_000)
		if len(n) > quarantine.MaxReports || len(n.Pack()) > 6000 {
			t.Fatalf("got a message of %d requests and %d bytes, want at most %d and 6000", len(n), len(n.Pack()), quarantine.MaxReports)
		}
		if sent == 0 && (len(n) == 0 || n[0].Digest != poison) {
			t.Errorf("got %+v first, want the suspect", n[0])
		}
		sent += len(n)
	}
	if sent > 256 {
		t.Errorf("got %d pending reports, want at most 256", sent)
	}
}

func TestUnusedRecordsExpire(t *testing.T) {
	l := newList()
	recordCrash(l, digestOf(5), 1, 1000)
	recordCrash(l, poison, 1, 1000)
	recordCrash(l, poison, 2, 2000)
	l.Sweep(700_000)
	if got, want := l.Strikes(digestOf(5)), 0; got != want {
		t.Errorf("got %d strikes ten minutes after the only one, want %d", got, want)
	}
	if got, want := l.Strikes(poison), 2; got != want {
		t.Errorf("got %d strikes of a suspect after ten minutes, want %d", got, want)
	}
	l.Sweep(2000 + quarantine.Retention + 1)
	if !l.Empty() {
		t.Error("got a list that is not empty after an hour, want it empty")
	}
}

func TestUnpackRejectsInvalidReports(t *testing.T) {
	good := quarantine.Reports{{
		Digest: poison, Fingerprint: 3, Crashes: []quarantine.ReportedCrash{{ID: 9, Incarnation: 1, Age: 70, Trial: true}, {ID: 8, Incarnation: 1, Age: 5}},
		Success: &quarantine.ReportedSuccess{ID: 5, Age: 10}, Trial: &quarantine.ReportedTrial{ID: 6, Incarnation: 2, Remaining: 400},
	}}
	got, err := quarantine.Unpack(good.Pack())
	if err != nil || len(got) != 1 || !slices.Equal(got[0].Crashes, good[0].Crashes) || *got[0].Success != *good[0].Success || *got[0].Trial != *good[0].Trial || got[0].Digest != poison {
		t.Errorf("got %+v, %v, want the packed reports", got, err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(good.Pack())
	if err != nil {
		t.Fatal(err)
	}
	nineCrashes := slices.Repeat([]quarantine.ReportedCrash{{ID: 1, Incarnation: 1}}, 9)
	bad := func(change func(b []byte) []byte) string {
		return base64.RawStdEncoding.EncodeToString(change(append([]byte(nil), raw...)))
	}
	for name, text := range map[string]string{
		"no base64":        "%%%",
		"truncated":        bad(func(b []byte) []byte { return b[:len(b)-1] }),
		"too long":         strings.Repeat("A", 10_000),
		"too many crashes": bad(func(b []byte) []byte { b[16] = 0x0f; return b }),
		"nine crashes":     quarantine.Reports{{Digest: poison, Crashes: nineCrashes}}.Pack(),
		"an id of zero":    bad(func(b []byte) []byte { copy(b[17:], []byte{0, 0, 0, 0}); return b }),
		"an age of years":  quarantine.Reports{{Digest: poison, Crashes: []quarantine.ReportedCrash{{ID: 1, Incarnation: 1, Age: 1 << 40}}}}.Pack(),
		"a trial of days":  quarantine.Reports{{Digest: poison, Trial: &quarantine.ReportedTrial{ID: 1, Remaining: 1 << 30}}}.Pack(),
	} {
		if n, err := quarantine.Unpack(text); !errors.Is(err, quarantine.ErrInvalidReports) || n != nil {
			t.Errorf("%s: got %v, %v, want ErrInvalidReports", name, n, err)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(quarantine.Reports{falseReport(3)}.Pack()))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := quarantine.Unpack(string(text))
		if err != nil {
			return
		}
		l := newList()
		for _, r := range n {
			l.Merge(r, notLost, 10_000_000)
		}
		l.Sample(10, 10_000_000).Pack()
	})
}

// Guards against a request that crashes two more engines after all entries lost power.
func TestOneStrikeMakesSuspectWithUnknownHistory(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	recordCrash(l, poison, 1, 1000)
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 1001).(quarantine.Trial); !ok || a.Strikes != 1 {
		t.Fatalf("got %+v after one strike, want a trial", a)
	}
	l.StartTrial(poison, 2, 1001)
	l.RecordCrash(quarantine.Attempt{Digest: poison, Incarnation: 2, Trial: true}, 1300)
	for _, now := range []clock.Millis{1400, 3000, 59_000} {
		if _, ok := l.Admit(quarantine.Subjects{poison}, false, now).(quarantine.Held); !ok {
			t.Errorf("got %T at %d after a trial in which only its engine crashed, want it held", l.Admit(quarantine.Subjects{poison}, false, now), now)
		}
	}
	if _, ok := l.Admit(quarantine.Subjects{poison}, false, 60_000).(quarantine.Trial); !ok {
		t.Errorf("got %T later, want another trial", l.Admit(quarantine.Subjects{poison}, false, 60_000))
	}
}

// Checks that one crash proves nothing if many engines crash at once, or once the history is
// known.
func TestOneStrikeAmongManyCrashesMakesNoSuspect(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	recordCrash(l, poison, 1, 1000)
	for i := range uint32(2) {
		recordCrash(l, digestOf(2), 2+i, 1050)
	}
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %T after one of three simultaneous crashes, want it allowed", a)
	}
	l = newList()
	l.SetHistoryUnknownUntil(60_000)
	recordCrash(l, poison, 1, 1000)
	l.SetHistoryUnknownUntil(0)
	if a, ok := l.Admit(quarantine.Subjects{poison}, false, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %T with known history, want it allowed", a)
	}
}

// Checks that an entry reports all suspects to entries without them, which pass them on.
func TestBroadcastSuspectsReachesAllEntries(t *testing.T) {
	const known = 40
	ids := uint32(0)
	next := func() uint32 { ids++; return ids }
	informed, restarted, last := quarantine.NewList(next), quarantine.NewList(next), quarantine.NewList(next)
	for n := range known {
		a := quarantine.Attempt{Digest: digestOf(uint64(n + 1)), Fingerprint: 1}
		for k := range quarantine.SuspectStrikes {
			a.Incarnation = uint32(100*n + k)
			// At no time do many engines end.
			informed.RecordCrash(a, clock.Millis(1000+5000*k+100*n))
		}
	}
	const now = 10_000
	for informed.HasPending() {
		informed.TakePending(quarantine.MaxReports, now)
	}
	informed.BroadcastSuspects()
	pass := func(from, to *quarantine.List) {
		for from.HasPending() {
			for _, r := range from.TakePending(quarantine.MaxReports, now) {
				to.Merge(r, notLost, now)
			}
		}
	}
	pass(informed, restarted)
	pass(restarted, last)
	for name, l := range map[string]*quarantine.List{"received": restarted, "passed on": last} {
		if got, _ := l.Counts(); got != known {
			t.Errorf("%s: got %d suspects, want %d", name, got, known)
		}
		if got, want := l.Checksum(now), informed.Checksum(now); got != want {
			t.Errorf("%s: got the checksum %x, want %x", name, got, want)
		}
	}
}
