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

// ended records that a life of an engine ended under a request.
func ended(l *quarantine.List, d quarantine.Digest, life uint32, now clock.Millis) {
	l.RecordCrash(quarantine.Attempt{Digest: d, Fingerprint: uint32(d[0]), Incarnation: life}, now)
}

// fail has a suspect fail a trial.
func fail(t *testing.T, l *quarantine.List, d quarantine.Digest, life uint32, now clock.Millis) {
	t.Helper()
	if a, ok := l.Admit(d, false, now).(quarantine.Trial); !ok {
		t.Fatalf("got %T at %d, want a trial", l.Admit(d, false, now), now)
	} else if a.Strikes < quarantine.SuspectStrikes {
		t.Errorf("got a trial after %d strikes, want %d", a.Strikes, quarantine.SuspectStrikes)
	}
	l.StartTrial(d, life, now)
	l.RecordCrash(quarantine.Attempt{Digest: d, Incarnation: life, Trial: true}, now+60)
}

func TestTwoStrikesMakeASuspectAndTwoFailedTrialsHoldItBack(t *testing.T) {
	l := newList()
	if _, ok := l.Admit(marked, false, 0).(quarantine.Allowed); !ok {
		t.Errorf("got %T for a request that is not known, want it free", l.Admit(marked, false, 0))
	}
	ended(l, marked, 1, 1000)
	if _, ok := l.Admit(marked, false, 1001).(quarantine.Allowed); !ok {
		t.Errorf("got %T after one strike, want it free", l.Admit(marked, false, 1001))
	}
	ended(l, marked, 2, 2000)
	fail(t, l, marked, 3, 2001)
	held, ok := l.Admit(marked, false, 2100).(quarantine.Held)
	if !ok || held.RetryAfter != 961 {
		t.Errorf("got %+v after a failed trial, want it held for the rest of a second", held)
	}
	fail(t, l, marked, 4, 3100)
	for _, now := range []clock.Millis{3200, 60_000, 3_000_000} {
		if _, ok := l.Admit(marked, false, now).(quarantine.Held); !ok {
			t.Errorf("got %T at %d after two failed trials, want it held", l.Admit(marked, false, now), now)
		}
	}
	if !l.RecordSuccess(marked, 3_000_001) {
		t.Error("got no change by a run that ended well, want all strikes gone")
	}
	if _, ok := l.Admit(marked, false, 3_000_002).(quarantine.Allowed); !ok {
		t.Errorf("got %T after it ran well, want it free", l.Admit(marked, false, 3_000_002))
	}
}

// Guards against a trial of a request that two had proved to end engines, since ends that
// came later, or word of them that was late, push these out.
func TestOtherEndsDoNotPushOutFailedTrials(t *testing.T) {
	l := newList()
	ended(l, marked, 1, 1000)
	ended(l, marked, 2, 2000)
	fail(t, l, marked, 3, 2001)
	fail(t, l, marked, 4, 3100)
	for n := range 20 {
		ended(l, marked, uint32(10+n), 10_000+clock.Millis(1000*n))
	}
	for _, now := range []clock.Millis{40_000, 3_000_000} {
		if a, ok := l.Admit(marked, false, now).(quarantine.Held); !ok || a.RetryAfter < 60_000 {
			t.Errorf("got %T %+v at %d after 20 other ends, want it held", a, a, now)
		}
	}
}

// Guards against a trial whose entry heard, after it had claimed it, that others had proved
// the request to end engines.
func TestAClaimIsNoTrialOnceTheRequestIsKnownToEndEngines(t *testing.T) {
	knows, started := newList(), newList()
	ended(knows, marked, 1, 1000)
	ended(knows, marked, 2, 2000)
	fail(t, knows, marked, 3, 2001)
	fail(t, knows, marked, 4, 3100)
	ended(started, marked, 5, 20_000)
	ended(started, marked, 6, 20_500)
	if _, ok := started.Admit(marked, false, 20_501).(quarantine.Trial); !ok {
		t.Fatalf("got %T, want a trial", started.Admit(marked, false, 20_501))
	}
	if got := started.RemainingPause(marked, 20_550); got > 0 {
		t.Errorf("got %d ms to wait before it is known, want none", got)
	}
	learn(t, started, knows.TakePending(10, 20_560), 20_560)
	if got, least := started.RemainingPause(marked, 20_600), clock.Millis(60_000); got < least {
		t.Errorf("got %d ms to wait once it is known, want %d or more", got, least)
	}
}

// While a trial is under way nobody else sends the same; one without a result changes
// nothing.
func TestOneTrialAtATime(t *testing.T) {
	l := newList()
	ended(l, marked, 1, 1000)
	ended(l, marked, 2, 2000)
	if _, ok := l.Admit(marked, false, 2001).(quarantine.Trial); !ok {
		t.Fatalf("got %T, want a trial", l.Admit(marked, false, 2001))
	}
	if held, ok := l.Admit(marked, false, 2002).(quarantine.Held); !ok || !held.TrialRunning || held.RetryAfter > 500 {
		t.Errorf("got %+v, want it held for a moment while a trial is under way", held)
	}
	l.EndTrial(marked, 2100)
	if _, ok := l.Admit(marked, false, 2101).(quarantine.Trial); !ok {
		t.Errorf("got %T after a trial without a result, want another", l.Admit(marked, false, 2101))
	}
}

// Two entries claim the trial before they hear of each other: one of them runs it.
func TestOfTwoClaimsOneCounts(t *testing.T) {
	for seed := range uint64(20) {
		a, b := quarantine.NewList(rand.New(rand.NewPCG(seed, 1)).Uint32), quarantine.NewList(rand.New(rand.NewPCG(seed, 2)).Uint32)
		for _, l := range []*quarantine.List{a, b} {
			ended(l, marked, 1, 1000)
			ended(l, marked, 2, 2000)
			l.TakePending(10, 2000)
			l.Admit(marked, false, 2001)
		}
		fromA, fromB := a.TakePending(10, 2002), b.TakePending(10, 2002)
		learn(t, a, fromB, 2005)
		learn(t, b, fromA, 2005)
		if got := a.OwnsTrial(marked, 2101) != b.OwnsTrial(marked, 2101); !got {
			t.Errorf("seed %d: got claims %v and %v, want one", seed, a.OwnsTrial(marked, 2101), b.OwnsTrial(marked, 2101))
		}
	}
}

// learn passes news through their packed form.
func learn(t *testing.T, l *quarantine.List, n quarantine.Reports, now clock.Millis) {
	t.Helper()
	got, err := quarantine.Unpack(n.Pack())
	if err != nil {
		t.Fatal(err)
	}
	for _, it := range got {
		l.Merge(it, notLost, now)
	}
}

// An entry that cannot hear others holds back what ended one engine: others can take
// it, and they may know more.
func TestAnEntryThatHearsNobodyHoldsBackAtOnce(t *testing.T) {
	l := newList()
	if _, ok := l.Admit(marked, true, 0).(quarantine.Allowed); !ok {
		t.Errorf("got %T for a request without a strike, want it free", l.Admit(marked, true, 0))
	}
	ended(l, marked, 1, 1000)
	if held, ok := l.Admit(marked, true, 1001).(quarantine.Held); !ok || held.RetryAfter > 20 {
		t.Errorf("got %+v, want it held and the caller sent to another entry at once", held)
	}
}

func TestAnEngineThatIsHeardOnAnOldConnectionDidNotEnd(t *testing.T) {
	for _, tc := range []struct {
		name         string
		opened, when clock.Millis
		want         int
	}{
		{"on an old connection", 500, 2500, 0},
		{"by what it had sent before", 500, 1100, 1},
		{"on a connection that came up later", 1500, 9000, 1},
	} {
		l := newList()
		ended(l, marked, 1, 1000)
		l.RecordAlive(1, tc.opened, tc.when)
		if got := l.Strikes(marked); got != tc.want {
			t.Errorf("%s: got %d strikes, want %d", tc.name, got, tc.want)
		}
	}
}

// Where the list of engines is late, the next life of an engine goes by the mark of the
// one before; entries tell of the same end at slightly different times.
func TestEndsOfOneMark(t *testing.T) {
	l := newList()
	ended(l, marked, 1, 1000)
	ended(l, marked, 1, 1030)
	if got := l.Strikes(marked); got != 1 {
		t.Errorf("got %d strikes by one end that two requests saw, want 1", got)
	}
	ended(l, marked, 1, 2000)
	if got := l.Strikes(marked); got != 2 {
		t.Errorf("got %d strikes by two ends with one mark, want 2", got)
	}
}

// Where an engine starts again within moments, each of its lives may end under a request
// before the list tells of the first.
func TestEndsOfOneMarkThatEntriesTellOf(t *testing.T) {
	first, second := newList(), quarantine.NewList(rand.New(rand.NewPCG(3, 4)).Uint32)
	broke := func(l *quarantine.List, at clock.Millis) {
		l.RecordCrash(quarantine.Attempt{Digest: marked, Fingerprint: 1, Incarnation: 1}, at)
	}
	broke(first, 1000)
	broke(second, 1250)
	learn(t, first, second.TakePending(9, 1250), 1251)
	learn(t, second, first.TakePending(9, 1251), 1252)
	for name, l := range map[string]*quarantine.List{"first": first, "second": second} {
		if got := l.Strikes(marked); got != 2 {
			t.Errorf("the %s entry: got %d strikes by the ends of two lives with one mark, want 2", name, got)
		}
	}
}

func TestWordOfARunThatEndedWellGoesBeforeOlderEnds(t *testing.T) {
	a, b := newList(), quarantine.NewList(rand.New(rand.NewPCG(7, 7)).Uint32)
	ended(a, marked, 1, 1000)
	ended(a, marked, 2, 2000)
	learn(t, b, a.TakePending(10, 2000), 2005)
	if got := b.Strikes(marked); got != 2 {
		t.Fatalf("got %d strikes by word of another, want 2", got)
	}
	b.RecordSuccess(marked, 3000)
	// What a tells again changes nothing, and makes b tell of the run.
	learn(t, b, a.Sample(10, 3500), 3505)
	if got := b.Strikes(marked); got != 0 {
		t.Errorf("got %d strikes after it ran well, want 0", got)
	}
	learn(t, a, b.TakePending(10, 3510), 3515)
	if got := a.Strikes(marked); got != 0 {
		t.Errorf("got %d strikes at the other entry, want 0", got)
	}
	if a.Checksum(4000) != b.Checksum(4000) {
		t.Errorf("got sums %x and %x of entries that know the same, want one", a.Checksum(4000), b.Checksum(4000))
	}
}

// lie is word of a request under which engines failed trials that nobody saw.
func lie(n uint64) quarantine.Report {
	it := quarantine.Report{Digest: digestOf(n), Fingerprint: uint32(n)}
	for i := range uint32(6) {
		it.Crashes = append(it.Crashes, quarantine.ReportedCrash{ID: 1 + rand.Uint32N(1<<30), Incarnation: 1000 + i, Age: clock.Millis(i) * 500, Trial: true})
	}
	return it
}

// A peer that lies holds back at most 256 requests at a time, each for five minutes after
// it last lied about it; what this entry saw itself stays, whatever the peer tells.
func TestAPeerThatLiesShutsOutLittle(t *testing.T) {
	const minutes = 60_000
	l := newList()
	ended(l, marked, 1, 1000)
	ended(l, marked, 2, 2000)
	fail(t, l, marked, 3, 2001)
	fail(t, l, marked, 4, 3100)
	for n := range uint64(5000) {
		l.Merge(lie(10_000+n), notLost, 4000)
	}
	heldBack := 0
	for n := range uint64(5000) {
		if _, ok := l.Admit(digestOf(10_000+n), false, 4001).(quarantine.Held); ok {
			heldBack++
		}
	}
	if heldBack > 256 {
		t.Errorf("got %d requests held back by lies, want at most 256", heldBack)
	}
	if got, ok := l.Admit(digestOf(14_999), false, 4001).(quarantine.Held); !ok || got.RetryAfter > 5*minutes {
		t.Errorf("got %+v by a lie, want it held for at most five minutes", got)
	}
	if got, ok := l.Admit(digestOf(14_999), false, 4000+5*minutes).(quarantine.Trial); !ok {
		t.Errorf("got %T five minutes after a lie, want a trial", got)
	}
	if _, ok := l.Admit(marked, false, 4001).(quarantine.Held); !ok {
		t.Errorf("got %T for what this entry saw itself, want it held", l.Admit(marked, false, 4001))
	}
	// Engines that it names and that live are heard, which takes the lies back.
	for life := range uint32(6) {
		l.RecordAlive(1000+life, 100, 9000)
	}
	if got := l.Strikes(digestOf(14_999)); got != 0 {
		t.Errorf("got %d strikes by engines that were heard since, want 0", got)
	}
}

// A caller who sends another request each time that ends engines fills a bounded list,
// and pushes out nothing that is held back.
func TestAFloodOfRequestsPushesOutNothingThatMatters(t *testing.T) {
	l := newList()
	ended(l, marked, 1, 1000)
	ended(l, marked, 2, 2000)
	for n := range uint64(50_000) {
		ended(l, digestOf(100+n), uint32(10+n/2), 3000+clock.Millis(n))
	}
	if got := l.Strikes(marked); got != 2 {
		t.Errorf("got %d strikes after a flood, want 2", got)
	}
	if _, struck := l.Counts(); struck > 4096 {
		t.Errorf("got %d requests with a strike, want at most 4096", struck)
	}
	told := 0
	for l.HasPending() {
		n := l.TakePending(quarantine.MaxReports, 60_000)
		if len(n) > quarantine.MaxReports || len(n.Pack()) > 6000 {
			t.Fatalf("got a message of %d requests and %d bytes, want at most %d and 6000", len(n), len(n.Pack()), quarantine.MaxReports)
		}
		if told == 0 && (len(n) == 0 || n[0].Digest != marked) {
			t.Errorf("got %+v first, want the suspect", n[0])
		}
		told += len(n)
	}
	if told > 256 {
		t.Errorf("got %d requests waiting to be told, want at most 256", told)
	}
}

func TestWhatDoesNotComeIsForgotten(t *testing.T) {
	l := newList()
	ended(l, digestOf(5), 1, 1000)
	ended(l, marked, 1, 1000)
	ended(l, marked, 2, 2000)
	l.Sweep(700_000)
	if got, want := l.Strikes(digestOf(5)), 0; got != want {
		t.Errorf("got %d strikes ten minutes after the only one, want %d", got, want)
	}
	if got, want := l.Strikes(marked), 2; got != want {
		t.Errorf("got %d strikes of a suspect after ten minutes, want %d", got, want)
	}
	l.Sweep(2000 + quarantine.Retention + 1)
	if !l.Empty() {
		t.Error("got something after an hour, want nothing")
	}
}

func TestNewsThatMakeNoSenseAreRefused(t *testing.T) {
	good := quarantine.Reports{{
		Digest: marked, Fingerprint: 3, Crashes: []quarantine.ReportedCrash{{ID: 9, Incarnation: 1, Age: 70, Trial: true}, {ID: 8, Incarnation: 1, Age: 5}},
		Success: &quarantine.ReportedSuccess{ID: 5, Age: 10}, Trial: &quarantine.ReportedTrial{ID: 6, Incarnation: 2, Remaining: 400},
	}}
	got, err := quarantine.Unpack(good.Pack())
	if err != nil || len(got) != 1 || !slices.Equal(got[0].Crashes, good[0].Crashes) || *got[0].Success != *good[0].Success || *got[0].Trial != *good[0].Trial || got[0].Digest != marked {
		t.Errorf("got %+v, %v, want what was packed", got, err)
	}
	raw, err := base64.RawStdEncoding.DecodeString(good.Pack())
	if err != nil {
		t.Fatal(err)
	}
	bad := func(change func(b []byte) []byte) string {
		return base64.RawStdEncoding.EncodeToString(change(append([]byte(nil), raw...)))
	}
	for name, text := range map[string]string{
		"no base64":       "%%%",
		"breaks off":      bad(func(b []byte) []byte { return b[:len(b)-1] }),
		"too long":        strings.Repeat("A", 10_000),
		"too many ends":   bad(func(b []byte) []byte { b[16] = 0x0f; return b }),
		"unknown flag":    bad(func(b []byte) []byte { b[16] |= 0x20; return b }),
		"an id of zero":   bad(func(b []byte) []byte { copy(b[17:], []byte{0, 0, 0, 0}); return b }),
		"an age of years": quarantine.Reports{{Digest: marked, Crashes: []quarantine.ReportedCrash{{ID: 1, Incarnation: 1, Age: 1 << 40}}}}.Pack(),
		"a trial of days": quarantine.Reports{{Digest: marked, Trial: &quarantine.ReportedTrial{ID: 1, Remaining: 1 << 30}}}.Pack(),
	} {
		if n, err := quarantine.Unpack(text); !errors.Is(err, quarantine.ErrInvalidReports) || n != nil {
			t.Errorf("%s: got %v, %v, want it refused", name, n, err)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(quarantine.Reports{lie(3)}.Pack()))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := quarantine.Unpack(string(text))
		if err != nil {
			return
		}
		l := newList()
		for _, it := range n {
			l.Merge(it, notLost, 10_000_000)
		}
		l.Sample(10, 10_000_000).Pack()
	})
}

// Guards against a request that ends two engines again after all entries lost power.
func TestOneStrikeMakesASuspectWhileNobodyRemembers(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	ended(l, marked, 1, 1000)
	if a, ok := l.Admit(marked, false, 1001).(quarantine.Trial); !ok || a.Strikes != 1 {
		t.Fatalf("got %+v after one strike, want a trial", a)
	}
	l.StartTrial(marked, 2, 1001)
	l.RecordCrash(quarantine.Attempt{Digest: marked, Incarnation: 2, Trial: true}, 1300)
	for _, now := range []clock.Millis{1400, 3000, 59_000} {
		if _, ok := l.Admit(marked, false, now).(quarantine.Held); !ok {
			t.Errorf("got %T at %d after a trial that failed alone, want it held", l.Admit(marked, false, now), now)
		}
	}
	if _, ok := l.Admit(marked, false, 60_000).(quarantine.Trial); !ok {
		t.Errorf("got %T later, want another trial", l.Admit(marked, false, 60_000))
	}
}

// One end proves little where many engines end at once, or once an entry remembers.
func TestOneStrikeInAHerdMakesNoSuspect(t *testing.T) {
	l := newList()
	l.SetHistoryUnknownUntil(60_000)
	ended(l, marked, 1, 1000)
	for life := range uint32(2) {
		ended(l, digestOf(2), 2+life, 1050)
	}
	if a, ok := l.Admit(marked, false, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %T after an end among three, want it free", a)
	}
	l = newList()
	l.SetHistoryUnknownUntil(60_000)
	ended(l, marked, 1, 1000)
	l.SetHistoryUnknownUntil(0)
	if a, ok := l.Admit(marked, false, 1100).(quarantine.Allowed); !ok {
		t.Errorf("got %T once an entry remembers, want it free", a)
	}
}

// All suspects are told to others who have not heard of them, and on by these.
func TestAllSuspectsAreTold(t *testing.T) {
	const known = 40
	ids := uint32(0)
	next := func() uint32 { ids++; return ids }
	knows, started, last := quarantine.NewList(next), quarantine.NewList(next), quarantine.NewList(next)
	for n := range known {
		a := quarantine.Attempt{Digest: digestOf(uint64(n + 1)), Fingerprint: 1}
		for k := range quarantine.SuspectStrikes {
			a.Incarnation = uint32(100*n + k)
			knows.RecordCrash(a, clock.Millis(1000+1000*k))
		}
	}
	const now = 10_000
	for knows.HasPending() {
		knows.TakePending(quarantine.MaxReports, now)
	}
	knows.BroadcastSuspects()
	pass := func(from, to *quarantine.List) {
		for from.HasPending() {
			for _, it := range from.TakePending(quarantine.MaxReports, now) {
				to.Merge(it, notLost, now)
			}
		}
	}
	pass(knows, started)
	pass(started, last)
	for name, l := range map[string]*quarantine.List{"told": started, "told on": last} {
		if got, _ := l.Counts(); got != known {
			t.Errorf("%s: got %d suspects, want %d", name, got, known)
		}
		if got, want := l.Checksum(now), knows.Checksum(now); got != want {
			t.Errorf("%s: got the sum %x, want %x", name, got, want)
		}
	}
}
