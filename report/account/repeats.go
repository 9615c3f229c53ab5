package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"
)

// repeats are the requests of a service and its attempts beyond the first of each.
type repeats struct {
	service string
	// ratio and extra bound the repeats of a window at all entries.
	ratio, extra float64
	window       time.Duration
	// requests has when each request was read, repeats when each was decided.
	requests, repeats []time.Time
	// counted has the latest totals of each process.
	counted map[string]total
}

// total is what a budget spent in the lives of a process: in those that are over, and in
// the present one.
type total struct{ before, spent int }

func (a *Account) repeatsOf(service string) *repeats {
	r := a.repeats[service]
	if r == nil {
		r = &repeats{service: service, counted: map[string]total{}}
		a.repeats[service] = r
	}
	return r
}

// repeated takes the line of an attempt that another follows.
func (a *Account) repeated(f map[string]string) {
	if f["repeat"] != "spent" || f["service"] == "" {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		a.skipped++
		return
	}
	r := a.repeatsOf(f["service"])
	r.repeats = append(r.repeats, at)
}

// sent takes the final line of a request that was sent.
func (a *Account) sent(f map[string]string, at time.Time) {
	took, err := strconv.Atoi(f["total_ms"])
	if f["service"] == "" || f["attempts"] == "0" || err != nil {
		return
	}
	r := a.repeatsOf(f["service"])
	r.requests = append(r.requests, at.Add(-time.Duration(took)*time.Millisecond))
}

// budget takes the line of a budget.
func (a *Account) budget(f map[string]string) {
	ratio, err1 := strconv.ParseFloat(f["ratio"], 64)
	extra, err2 := strconv.ParseFloat(f["extra"], 64)
	window, err3 := strconv.Atoi(f["window_ms"])
	spent, err4 := strconv.Atoi(f["spent"])
	if err := cmp.Or(err1, err2, err3, err4); err != nil || window <= 0 {
		a.skipped++
		return
	}
	r := a.repeatsOf(f["service"])
	r.ratio, r.extra, r.window = ratio, extra, time.Duration(window)*time.Millisecond
	t := r.counted[f["instance"]]
	if spent < t.spent {
		t.before += t.spent
	}
	t.spent = spent
	r.counted[f["instance"]] = t
}

// spent returns how many repeats the budgets counted.
func (r *repeats) spent() int {
	n := 0
	for _, t := range r.counted {
		n += t.before + t.spent
	}
	return n
}

// window is a window and what its bound allows.
type window struct {
	from              time.Time
	repeats, requests int
	allowed           float64
}

// part returns the repeats as a part of those that are allowed.
func (w window) part() float64 { return float64(w.repeats) / max(1, w.allowed) }

// worst returns the window that comes nearest to its bound. The requests that count are
// those of the window, of the one before it or of the one half a window before it,
// whichever are the most.
func (r *repeats) worst() window {
	slices.SortFunc(r.requests, time.Time.Compare)
	slices.SortFunc(r.repeats, time.Time.Compare)
	var worst window
	for _, from := range r.repeats {
		w := window{from: from, repeats: within(r.repeats, from, r.window)}
		for _, before := range []time.Duration{0, r.window / 2, r.window} {
			w.requests = max(w.requests, within(r.requests, from.Add(-before), r.window))
		}
		w.allowed = r.ratio*float64(w.requests) + r.extra
		if worst.from.IsZero() || w.part() > worst.part() {
			worst = w
		}
	}
	return worst
}

// within counts the sorted times of a window.
func within(times []time.Time, from time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(length), time.Time.Compare)
	return end - first
}

// writeRepeats prints the window of each service in which repeats came nearest to what is
// allowed. Where more were spent than the lines of attempts tell, lines were lost.
func (a *Account) writeRepeats(w io.Writer) {
	heading := "\nservice\tnearest to the bound from\trepeats\trequests\tallowed\tpart\trepeats in all\tspent in all\n"
	for _, r := range slices.SortedFunc(maps.Values(a.repeats), func(x, y *repeats) int { return cmp.Compare(x.service, y.service) }) {
		if r.window == 0 || len(r.repeats) == 0 {
			continue
		}
		worst := r.worst()
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%d\t%d\t%.0f\t%.2f\t%d\t%d\n", heading, r.service, moment(worst.from),
			worst.repeats, worst.requests, worst.allowed, worst.part(), len(r.repeats), r.spent())
		heading = ""
	}
}
