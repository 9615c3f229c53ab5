package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/quarantine"
)

// Parts of prompts. culprit crashes engines, beside it are companions.
var (
	culprit    = digestOf(1 << 40)
	companions = []quarantine.Digest{digestOf(2 << 40), digestOf(3 << 40)}
)

// recordPartCrash records that an engine crashed under a new request with the given parts, which
// was a trial of the suspects among them.
func recordPartCrash(l *quarantine.List, request uint64, incarnation uint32, now clock.Millis, tried []quarantine.Digest, parts ...quarantine.Digest) {
	a := quarantine.Attempt{Digest: digestOf(request), Fingerprint: uint32(request), Incarnation: incarnation}
	for _, p := range parts {
		a.Parts = append(a.Parts, quarantine.AttemptPart{Digest: p, Fingerprint: uint32(p[0]), Trial: slices.Contains(tried, p)})
	}
	l.RecordCrash(a, now)
}

// failPartTrial runs a trial of a request with the given parts whose engine crashes.
func failPartTrial(t *testing.T, l *quarantine.List, request uint64, incarnation uint32, now clock.Millis, parts ...quarantine.Digest) {
	t.Helper()
	a, ok := l.Admit(quarantine.Subjects(parts), false, now).(quarantine.Trial)
	if !ok {
		t.Fatalf("got %#v at %d, want a trial", l.Admit(quarantine.Subjects(parts), false, now), now)
	}
	for _, d := range a.Suspects {
		l.StartTrial(d, incarnation, now)
	}
	recordPartCrash(l, request, incarnation, now+60, a.Suspects, parts...)
}

// succeed records that a request with the given parts succeeded.
func succeed(l *quarantine.List, now clock.Millis, parts ...quarantine.Digest) {
	for _, p := range parts {
		l.RecordSuccess(p, now)
	}
}

// pauseOf returns how long a request with the given parts is held back.
func pauseOf(t *testing.T, l *quarantine.List, now clock.Millis, parts ...quarantine.Digest) clock.Millis {
	t.Helper()
	held, ok := l.Admit(quarantine.Subjects(parts), false, now).(quarantine.Held)
	if !ok {
		return 0
	}
	return held.RetryAfter
}

func TestPartOfDifferentRequestsIsHeldBackForGrowingTimes(t *testing.T) {
	l := newList()
	recordPartCrash(l, 1, 1, 1000, nil, culprit)
	if _, ok := l.Admit(quarantine.Subjects{culprit}, false, 1001).(quarantine.Allowed); !ok {
		t.Error("got no admission after one strike, want it allowed")
	}
	recordPartCrash(l, 2, 2, 2000, nil, culprit)
	now := clock.Millis(2001)
	for i, want := range []clock.Millis{1000, 10_000, 100_000} {
		failPartTrial(t, l, uint64(3+i), uint32(3+i), now, culprit)
		if got := pauseOf(t, l, now+60, culprit); got != want {
			t.Errorf("got a pause of %d ms after %d failed trials, want %d", got, i+1, want)
		}
		now += 60 + want
	}
	failPartTrial(t, l, 9, 9, now, culprit)
	if got, least := pauseOf(t, l, now+3_000_000, culprit), clock.Millis(400_000); got < least {
		t.Errorf("got a pause of %d ms after four failed trials, want the rest of an hour", got)
	}
}

// A part that is in all prompts is on every engine that crashes, and succeeds in between.
func TestPartThatSucceedsBetweenCrashesIsNoSuspect(t *testing.T) {
	l := newList()
	for i := range 50 {
		now := clock.Millis(1000 * (i + 1))
		recordPartCrash(l, uint64(i), uint32(i+1), now, nil, companions[0])
		succeed(l, now+300, companions[0])
		if a, ok := l.Admit(quarantine.Subjects{companions[0]}, false, now+400).(quarantine.Allowed); !ok {
			t.Fatalf("got %#v after crash %d, want the part allowed", a, i+1)
		}
	}
}

// A part may appear only beside the one that crashes engines until it comes alone.
func TestCompanionOfCulpritIsFreedByASuccess(t *testing.T) {
	l := newList()
	both := []quarantine.Digest{companions[0], culprit}
	recordPartCrash(l, 1, 1, 1000, nil, both...)
	recordPartCrash(l, 2, 2, 2000, nil, both...)
	failPartTrial(t, l, 3, 3, 2001, both...)
	failPartTrial(t, l, 4, 4, 3100, both...)
	if got, least := pauseOf(t, l, 3200, both...), clock.Millis(9000); got < least {
		t.Errorf("got a pause of %d ms for both parts, want %d at least", got, least)
	}
	a, ok := l.Admit(quarantine.Subjects{companions[0]}, false, 3200).(quarantine.Trial)
	if !ok || len(a.Suspects) != 1 {
		t.Fatalf("got %#v for the companion alone, want its trial", a)
	}
	succeed(l, 3500, companions[0])
	if a, ok := l.Admit(quarantine.Subjects{companions[0]}, false, 3501).(quarantine.Allowed); !ok {
		t.Errorf("got %#v for the companion after its success, want it allowed", a)
	}
	if got, least := pauseOf(t, l, 3501, culprit), clock.Millis(9000); got < least {
		t.Errorf("got a pause of %d ms for the other part, want %d at least", got, least)
	}
}

// Guards against trials of all that ran beside a part that crashes engines: once it is proven, the
// crashes at which it was present say nothing about others.
func TestCrashesUnderProvenPartAreNoStrikesForOthers(t *testing.T) {
	l := newList()
	recordPartCrash(l, 1, 1, 1000, nil, culprit)
	recordPartCrash(l, 11, 1, 1005, nil, companions[1])
	recordPartCrash(l, 2, 2, 2000, nil, culprit)
	recordPartCrash(l, 12, 2, 2005, nil, companions[1])
	if got := l.Strikes(companions[1]); got != 2 {
		t.Errorf("got %d strikes of the other part before the proof, want 2", got)
	}
	failPartTrial(t, l, 3, 3, 2300, culprit)
	failPartTrial(t, l, 4, 4, 3400, culprit)
	if got := l.Strikes(companions[1]); got != 0 {
		t.Errorf("got %d strikes of the other part after the proof, want 0", got)
	}
	recordPartCrash(l, 13, 4, 3470, nil, companions[1])
	if got := l.Strikes(companions[1]); got != 0 {
		t.Errorf("got %d strikes by an attempt that broke in the last trial, want 0", got)
	}
	if got := l.Strikes(culprit); got != 4 {
		t.Errorf("got %d strikes of the part, want 4", got)
	}
}

// A peer may report anything. Only crashes that this entry confirmed clear others.
func TestReportedProofClearsNoStrikes(t *testing.T) {
	l := newList()
	recordPartCrash(l, 1, 1, 1000, nil, culprit)
	recordPartCrash(l, 2, 2, 2000, nil, culprit)
	forged := quarantine.Report{Digest: companions[0], Fingerprint: 1, Part: true}
	for i := range uint32(4) {
		forged.Crashes = append(forged.Crashes, quarantine.ReportedCrash{ID: 50 + i, Incarnation: i + 1, Age: 3000 - clock.Millis(i+1)*1000 + 100, Trial: true})
	}
	l.Merge(forged, notLost, 3100)
	if got := l.Strikes(culprit); got != 2 {
		t.Errorf("got %d strikes after a report of another part, want 2", got)
	}
}

// A rack may fail under a part that all requests share.
func TestSimultaneousCrashesAreOneStrikeOfAPart(t *testing.T) {
	l := newList()
	for i := range uint32(6) {
		recordPartCrash(l, uint64(i+1), i+1, 1000+clock.Millis(i)*10, nil, companions[0])
	}
	if got := l.Strikes(companions[0]); got != 1 {
		t.Errorf("got %d strikes by engines that crashed at once, want 1", got)
	}
}

// An isolated entry must not hold back a busy part for one crash, nor try a suspect at once.
func TestIsolatedEntryHoldsBackSuspectedPartsOnly(t *testing.T) {
	l := newList()
	recordPartCrash(l, 1, 1, 1000, nil, culprit)
	if a, ok := l.Admit(quarantine.Subjects{culprit}, true, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %#v after one strike, want it allowed", a)
	}
	recordPartCrash(l, 2, 2, 2000, nil, culprit)
	if a, ok := l.Admit(quarantine.Subjects{culprit}, true, 2100).(quarantine.Held); !ok || !a.Part || a.Suspect != culprit {
		t.Errorf("got %#v after two strikes, want it held", a)
	}
}

// An engine that gives no sign may have been cut off with all that ran there.
func TestUnresponsiveEngineIsNoStrikeOfAPart(t *testing.T) {
	l := newList()
	a := newAttempt(poison, 1)
	a.Parts = []quarantine.AttemptPart{{Digest: culprit, Fingerprint: 1}}
	l.RecordUnresponsive(a, 1000, 1450)
	if got := l.Strikes(culprit); got != 0 {
		t.Errorf("got %d strikes, want 0", got)
	}
}

// Entries of earlier versions reject a message that has a part in it, and must not lose what it
// says of whole requests.
func TestPartsAndWholeRequestsAreReportedSeparately(t *testing.T) {
	l, peer := newList(), quarantine.NewList(rand.New(rand.NewPCG(7, 7)).Uint32)
	for i := range 3 {
		recordPartCrash(l, 1, uint32(i+1), clock.Millis(1000*(i+1)), nil, culprit)
	}
	kinds := map[bool]int{}
	for l.HasPending() {
		reports := l.TakePending(10, 4000)
		for _, r := range reports {
			if r.Part != reports[0].Part {
				t.Errorf("got %+v, want one kind in a message", reports)
			}
			kinds[r.Part]++
		}
		merge(t, peer, reports, 4000)
	}
	if kinds[true] != 1 || kinds[false] != 1 {
		t.Errorf("got %v, want one report of each kind", kinds)
	}
	if got := peer.Strikes(culprit); got != 3 {
		t.Errorf("got %d strikes of the part at the peer, want 3", got)
	}
	if a, ok := peer.Admit(quarantine.Subjects{culprit}, false, 4010).(quarantine.Trial); !ok {
		t.Errorf("got %#v at the peer, want a trial", a)
	}
	for range 2 {
		if got := l.Sample(16, 4000); len(got) != 1 {
			t.Errorf("got a sample %+v, want one kind", got)
		}
	}
}

// A trial that includes another suspect may last until the list of engines shows a crash. Requests
// without that suspect must not wait for it, though only one of them is tried at a time.
func TestTrialWithAnotherSuspectHoldsBackNoRequestWithoutIt(t *testing.T) {
	for seed := range uint64(20) {
		a, b := quarantine.NewList(rand.New(rand.NewPCG(seed, 1)).Uint32), quarantine.NewList(rand.New(rand.NewPCG(seed, 2)).Uint32)
		both := quarantine.Subjects{companions[0], culprit}
		recordPartCrash(a, 1, 1, 1000, nil, both...)
		recordPartCrash(a, 2, 2, 2000, nil, both...)
		exchange(t, a, b, 2000)
		wide, ok := a.Admit(both, false, 2300).(quarantine.Trial)
		if !ok {
			t.Fatalf("got %#v, want a trial", wide)
		}
		for _, d := range wide.Suspects {
			a.StartTrial(d, 3, 2400)
		}
		exchange(t, a, b, 2400)
		if held, ok := b.Admit(both, false, 2410).(quarantine.Held); !ok || !held.TrialRunning {
			t.Errorf("seed %d: got %#v for a request with both suspects, want it held", seed, held)
		}
		narrow, ok := b.Admit(quarantine.Subjects{companions[0]}, false, 2410).(quarantine.Trial)
		if !ok || len(narrow.Suspects) != 1 {
			t.Fatalf("seed %d: got %#v for a request with one of them, want its trial", seed, narrow)
		}
		exchange(t, b, a, 2420)
		exchange(t, a, b, 2430)
		if !b.OwnsTrial(companions[0], 2510) {
			t.Errorf("seed %d: got the trial lost to the one with both suspects, want it kept", seed)
		}
		for _, l := range []*quarantine.List{a, b} {
			if held, ok := l.Admit(quarantine.Subjects{companions[0]}, false, 2510).(quarantine.Held); !ok || !held.TrialRunning {
				t.Errorf("seed %d: got %#v for a second request with one of them, want it held", seed, held)
			}
		}
	}
}

// exchange sends all pending reports of one entry to another.
func exchange(t *testing.T, from, to *quarantine.List, now clock.Millis) {
	t.Helper()
	for from.HasPending() {
		merge(t, to, from.TakePending(quarantine.MaxReports, now), now)
	}
}

// After all entries started, one crash makes a suspect, but not of a part that is known to succeed.
func TestPartThatSucceededIsNoSuspectByOneCrashWithUnknownHistory(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	l.RecordPartSuccess(companions[0])
	recordPartCrash(l, 1, 1, 1000, nil, companions[0], culprit)
	if a, ok := l.Admit(quarantine.Subjects{companions[0]}, false, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %#v for the part that succeeded, want it allowed", a)
	}
	if a, ok := l.Admit(quarantine.Subjects{companions[0], culprit}, false, 1100).(quarantine.Trial); !ok || len(a.Suspects) != 1 || a.Suspects[0] != culprit {
		t.Errorf("got %#v for the other part, want its trial alone", a)
	}
	recordPartCrash(l, 2, 2, 2000, nil, companions[0])
	if a, ok := l.Admit(quarantine.Subjects{companions[0]}, false, 2100).(quarantine.Trial); !ok {
		t.Errorf("got %#v after a second crash, want a trial", a)
	}
}

// Guards against a part that one entry goes on to suspect after another one, which takes its
// crashes for those of another part, has run it.
func TestSuccessOfPartReachesEntriesThatStillSuspectIt(t *testing.T) {
	a, b := newList(), quarantine.NewList(rand.New(rand.NewPCG(7, 7)).Uint32)
	for i := range uint32(2) {
		now := clock.Millis(1000 * (i + 1))
		recordPartCrash(a, uint64(i), i+1, now, nil, culprit)
		recordPartCrash(a, uint64(10+i), i+1, now, nil, companions[1])
	}
	exchange(t, a, b, 2000)
	failPartTrial(t, a, 3, 3, 2300, culprit)
	failPartTrial(t, a, 4, 4, 3400, culprit)
	if got, want := []int{a.Strikes(companions[1]), b.Strikes(companions[1])}, []int{0, 2}; !slices.Equal(got, want) {
		t.Fatalf("got strikes %v at the two entries, want %v", got, want)
	}
	succeed(a, 3600, companions[1])
	exchange(t, a, b, 3600)
	if got := b.Strikes(companions[1]); got != 0 {
		t.Errorf("got %d strikes at the other entry after the success, want 0", got)
	}
}

// An entry learns of a proof before it finds out itself that the engines crashed.
func TestConfirmedProofClearsStrikesOfOthers(t *testing.T) {
	a, b := newList(), quarantine.NewList(rand.New(rand.NewPCG(7, 7)).Uint32)
	for i := range uint32(2) {
		now := clock.Millis(1000 * (i + 1))
		recordPartCrash(a, uint64(i), i+1, now, nil, culprit)
		recordPartCrash(b, uint64(10+i), i+1, now, nil, companions[1])
	}
	failPartTrial(t, a, 3, 3, 2300, culprit)
	failPartTrial(t, a, 4, 4, 3400, culprit)
	exchange(t, a, b, 3500)
	if got := b.Strikes(companions[1]); got != 2 {
		t.Errorf("got %d strikes before the crashes are confirmed, want 2", got)
	}
	b.ConfirmCrash(3, 4900)
	b.ConfirmCrash(4, 4900)
	if got := b.Strikes(companions[1]); got != 0 {
		t.Errorf("got %d strikes after the crashes were confirmed, want 0", got)
	}
}

// An entry that has just started is told of suspected parts as of whole requests.
func TestSuspectedPartsAreBroadcast(t *testing.T) {
	l := newList()
	for i := range uint32(2) {
		recordPartCrash(l, uint64(i), i+1, clock.Millis(1000*(i+1)), nil, culprit)
	}
	for l.HasPending() {
		l.TakePending(quarantine.MaxReports, 2000)
	}
	l.BroadcastSuspects()
	if got := l.TakePending(quarantine.MaxReports, 2100); len(got) != 1 || !got[0].Part || got[0].Digest != culprit {
		t.Errorf("got %+v, want a report of the part", got)
	}
}

// False reports of a peer hold a part back for five minutes at most, as they do a whole request.
func TestFalseReportsHoldPartBackForMinutes(t *testing.T) {
	l := newList()
	forged := falseReport(1)
	forged.Part = true
	l.Merge(forged, notLost, 100_000)
	held, ok := l.Admit(quarantine.Subjects{forged.Digest}, false, 100_001).(quarantine.Held)
	if most := clock.Millis(300_000); !ok || held.RetryAfter > most {
		t.Errorf("got %#v, want it held for at most %d ms", held, most)
	}
}
