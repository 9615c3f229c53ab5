package fairshare_test

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/fairshare"
)

// lie returns a report in which the first workspaces use a great deal or nothing.
func lie(rate, part uint16) string {
	b := []byte{8}
	for i := range 8 {
		b = binary.BigEndian.AppendUint32(b, fairshare.Hash("s", fmt.Sprint("w", i)))
		b = binary.BigEndian.AppendUint16(b, rate)
		b = binary.BigEndian.AppendUint16(b, part)
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// A gate with false figures neither makes an excess nor hides one.
func TestFalseReportDecidesNothing(t *testing.T) {
	for name, c := range map[string]struct{ rate, part uint16 }{
		"all in excess":       {rate: 60_000, part: 1},
		"all far below":       {rate: 1, part: 60_000},
		"just above, and big": {rate: 50_000, part: 49_000},
	} {
		t.Run(name, func(t *testing.T) {
			for _, gates := range []int{2, 27} {
				f := newFleet(gates, 7)
				f.received = func(from int, r string) string {
					if from == 0 {
						return lie(c.rate, c.part)
					}
					return r
				}
				f.short = true
				f.run(20_000)
				if _, marked := f.markedPart(none); marked > 0.03 {
					t.Errorf("%d gates: got %.3f of the usual traffic marked, want at most 0.03", gates, marked)
				}
				f.reset()
				f.rates[2] *= 12
				f.run(8000)
				own, others := f.markedPart(2)
				if own < 0.5 || others > 0.03 {
					t.Errorf("%d gates: got %.3f of the surge and %.3f of the others marked, want at least 0.5 and at most 0.03", gates, own, others)
				}
			}
		})
	}
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	tr := fairshare.New(fairshare.Config{})
	for _, r := range []string{"", "!", "AA", "CAAA", strings.Repeat("A", 2*fairshare.MaxReportBytes)} {
		tr.Receive("g", r, start)
	}
	d := tr.Record(fairshare.Request{Service: "s", Workspace: "w", ID: "x", Cost: 1}, start)
	if d.Over || d.Gates != 0 {
		t.Errorf("got %+v, want no excess and no reports", d)
	}
}

// The state is bounded however many workspaces there are, and a surge among them is found.
func TestManyWorkspaces(t *testing.T) {
	tr := fairshare.New(fairshare.Config{})
	now, marked, surged, others := start, 0, 0, 0
	record := func(name string, i int) bool {
		return tr.Record(fairshare.Request{Service: fmt.Sprint("s", i%2), Workspace: name, ID: fmt.Sprint(name, i), Cost: 1}, now).Over
	}
	for i := range 100_000 {
		now = start + clock.Millis(i/5)
		if record(fmt.Sprint("w", i*7919%100_000), i) {
			others++
		}
		if i >= 50_000 && i%10 == 0 {
			surged++
			if record("surge", i) {
				marked++
			}
		}
	}
	if got, want := tr.Tracked(), 2*fairshare.DefaultTracked; got > want {
		t.Errorf("got %d tracked workspaces, want at most %d", got, want)
	}
	if others > 3000 || 2*marked < surged {
		t.Errorf("got %d of 100000 and %d of the surge's %d marked, want at most 3000 and at least half", others, marked, surged)
	}
	t.Logf("marked %d of 100000 and %d of the surge's %d", others, marked, surged)
	for i := range 1000 {
		tr.Record(fairshare.Request{Service: fmt.Sprint("other", i), Workspace: "w", ID: "x", Cost: 1}, now)
	}
	if got, want := tr.Tracked(), fairshare.DefaultServices*fairshare.DefaultTracked; got > want {
		t.Errorf("got %d tracked workspaces of 1002 services, want at most %d", got, want)
	}
}

// A published weight counts for the equal parts.
func TestWeightsDivideTheParts(t *testing.T) {
	tr := fairshare.New(fairshare.Config{Weight: func(w string) float64 {
		if w == "heavy" {
			return 3
		}
		return 1
	}})
	var part = map[string]float64{}
	for i := range 200 {
		for _, w := range []string{"a", "b", "heavy"} {
			part[w] = tr.Record(fairshare.Request{Service: "s", Workspace: w, ID: "x", Cost: 1}, start+clock.Millis(50*i)).Part
		}
	}
	if got := part["heavy"] / part["a"]; got < 1.5 {
		t.Errorf("got %.2f times the part for 3 times the weight, want at least 1.5", got)
	}
}
