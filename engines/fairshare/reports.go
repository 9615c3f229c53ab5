package fairshare

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/weldfall/weldfall/common/clock"
)

const (
	// MaxReportBytes is the maximum length of a report.
	MaxReportBytes = 87
	// reportEntries is the maximum number of workspaces in a report, entrySize the size of
	// each: its hash, its use and its part.
	reportEntries = 8
	entrySize     = 4 + 2 + 2
	// overFor is how long after an excess a workspace is reported, wantedFor how long
	// after the report of another entry.
	overFor   clock.Millis = 3000
	wantedFor clock.Millis = 10_000
	// reportHalfLife is the half-life of the weight of a report in the mean of all,
	// presentHalfLife that of an entry in their number. A report counts for maxReportAge.
	reportHalfLife  clock.Millis = 2500
	presentHalfLife clock.Millis = 10_000
	maxReportAge    clock.Millis = 20_000
	// minReports is the least number of reports of a workspace that count. The one with
	// the most and the one with the least growth are left out, so that no single entry
	// decides.
	minReports = 3
	// maxReportWeight is the greatest part in a report that counts, as a multiple of the
	// median.
	maxReportWeight = 3
	// maxReporters is the number of entries whose reports of a workspace are kept.
	maxReporters = 512
)

// figure is the use of a workspace at an entry.
type figure struct {
	hash       uint32
	rate, part float64
}

// report is the latest report of a workspace by another entry.
type report struct {
	rate, part float64
	at         clock.Millis
}

func (r report) ratio() float64 { return r.rate / max(r.part, math.SmallestNonzeroFloat64) }

// reports holds the reports of one workspace.
type reports struct {
	byEntry map[string]report
	// wantedAt is when another entry last saw the workspace in excess, zero if none did.
	wantedAt clock.Millis
	// sum is what pool last returned, at sumAt.
	sum   pooled
	sumAt clock.Millis
}

// pooled is the use of a workspace at all entries that reported it lately.
type pooled struct {
	rate, part float64
	// noise is how much more the sum varies than if all reports were of now.
	noise float64
	gates int
	age   clock.Millis
}

// put replaces the report of an entry.
func (r *reports) put(from string, one report) {
	if r.byEntry == nil {
		r.byEntry = map[string]report{}
	}
	old, ok := r.byEntry[from]
	if !ok && len(r.byEntry) >= maxReporters {
		r.expire(one.at)
	}
	if len(r.byEntry) < maxReporters && old.at <= one.at || ok && old.at <= one.at {
		r.byEntry[from] = one
	}
}

// expire drops the reports that no longer count.
func (r *reports) expire(now clock.Millis) {
	for from, one := range r.byEntry {
		if now-one.at > maxReportAge {
			delete(r.byEntry, from)
		}
	}
}

// pool sums the reports, or returns none if there are too few.
func (r *reports) pool(now clock.Millis) pooled {
	if len(r.byEntry) == 0 {
		return pooled{}
	}
	if r.sumAt > 0 && now-r.sumAt < refreshPeriod {
		return r.sum
	}
	r.expire(now)
	r.sum, r.sumAt = pooled{}, now
	if len(r.byEntry) < minReports {
		return r.sum
	}
	found := slices.SortedFunc(maps.Values(r.byEntry), func(a, b report) int { return cmp.Compare(a.ratio(), b.ratio()) })
	found = found[1 : len(found)-1]
	parts := make([]float64, 0, len(found))
	for _, f := range found {
		parts = append(parts, f.part)
	}
	slices.Sort(parts)
	most := maxReportWeight * parts[(len(parts)-1)/2]
	present, weights, squares := 0.0, 0.0, 0.0
	for _, f := range found {
		weight := halved(now-f.at, reportHalfLife)
		weights += weight
		squares += weight * weight
		present += halved(now-f.at, presentHalfLife)
		bound := min(1, most/max(f.part, math.SmallestNonzeroFloat64))
		r.sum.rate += f.rate * bound * weight
		r.sum.part += f.part * bound * weight
		r.sum.age = max(r.sum.age, now-f.at)
	}
	r.sum.gates = len(found)
	r.sum.rate *= present / weights
	r.sum.part *= present / weights
	r.sum.noise = present * squares / (weights * weights)
	return r.sum
}

// Receive handles the report of another entry, which was valid at the given time. It
// ignores a malformed one, and workspaces that this entry does not see.
func (t *Tracker) Receive(from, packed string, at clock.Millis) {
	if from == "" || packed == "" {
		return
	}
	figures, over := unpack(packed)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range figures {
		for _, s := range t.services {
			w := s.workspaces[f.hash]
			if w == nil {
				continue
			}
			w.others.put(from, report{f.rate, f.part, at})
			if i < over {
				w.others.wantedAt = max(w.others.wantedAt, at)
				t.reportUntil = max(t.reportUntil, at+wantedFor)
			}
		}
	}
}

// Report returns the use of workspaces for other entries: of those in excess here, and of
// those that another entry saw in excess. It is "" if there are none.
func (t *Tracker) Report(now clock.Millis) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now > t.reportUntil {
		return ""
	}
	var over, wanted []figure
	for _, s := range t.services {
		for _, w := range s.workspaces {
			isOver := w.overAt > 0 && now-w.overAt <= overFor
			isWanted := w.others.wantedAt > 0 && now-w.others.wantedAt <= wantedFor
			if !isOver && !isWanted {
				continue
			}
			rate, _ := w.recent.rate(s.start, now)
			f := figure{w.hash, rate, s.part(w, now)}
			if isOver {
				over = append(over, f)
			} else {
				wanted = append(wanted, f)
			}
		}
	}
	heaviest := func(a, b figure) int {
		return cmp.Or(cmp.Compare(max(b.rate, b.part), max(a.rate, a.part)), cmp.Compare(a.hash, b.hash))
	}
	slices.SortFunc(over, heaviest)
	slices.SortFunc(wanted, heaviest)
	over = over[:min(len(over), reportEntries)]
	return pack(append(over, wanted...), len(over))
}

// pack returns the first figures as text, of which the first over are in excess.
func pack(figures []figure, over int) string {
	if len(figures) == 0 {
		return ""
	}
	b := []byte{uint8(over)}
	for _, f := range figures[:min(len(figures), reportEntries)] {
		b = binary.BigEndian.AppendUint32(b, f.hash)
		b = binary.BigEndian.AppendUint16(b, packRate(f.rate))
		b = binary.BigEndian.AppendUint16(b, packRate(f.part))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// unpack returns the figures in a report and how many of the first are in excess, or none
// if it is malformed.
func unpack(packed string) (figures []figure, over int) {
	if len(packed) > MaxReportBytes {
		return nil, 0
	}
	b, err := base64.RawStdEncoding.DecodeString(packed)
	if err != nil || len(b) == 0 {
		return nil, 0
	}
	over, b = int(b[0]), b[1:]
	for ; len(b) >= entrySize; b = b[entrySize:] {
		figures = append(figures, figure{binary.BigEndian.Uint32(b), unpackRate(binary.BigEndian.Uint16(b[4:])), unpackRate(binary.BigEndian.Uint16(b[6:]))})
	}
	return figures, min(over, len(figures))
}

// rateSteps is the number of steps in which a packed rate doubles.
const rateSteps = 2048

func packRate(v float64) uint16 {
	return uint16(min(math.MaxUint16, math.Round(rateSteps*math.Log2(1+max(0, v)))))
}

func unpackRate(v uint16) float64 { return math.Exp2(float64(v)/rateSteps) - 1 }
