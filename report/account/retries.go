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

// serviceRetries has the requests and retries of a service.
type serviceRetries struct {
	service string
	// ratio and extra bound the retries of all entries in a window: ratio times
	// the requests, plus extra.
	ratio, extra float64
	window       time.Duration
	// requests has the arrival times, retries the times of the decisions to retry.
	requests, retries []time.Time
	spentByInstance   map[string]spentCount
}

// spentCount counts the retries that the budget of an instance allowed: in its
// previous runs and in the current one. Each run counts from zero.
type spentCount struct{ previous, current int }

func (a *Account) retriesOf(service string) *serviceRetries {
	r := a.retries[service]
	if r == nil {
		r = &serviceRetries{service: service, spentByInstance: map[string]spentCount{}}
		a.retries[service] = r
	}
	return r
}

// recordRetry handles an attempt_ended line. Only retries that are charged to
// the budget count.
func (a *Account) recordRetry(f map[string]string) {
	if f["repeat"] != "spent" || f["service"] == "" {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		a.skipped++
		return
	}
	r := a.retriesOf(f["service"])
	r.retries = append(r.retries, at)
}

// recordSent handles the final line of a request. Requests without an attempt
// do not count.
func (a *Account) recordSent(f map[string]string, at time.Time) {
	totalMS, err := strconv.Atoi(f["total_ms"])
	if f["service"] == "" || f["attempts"] == "0" || err != nil {
		return
	}
	r := a.retriesOf(f["service"])
	r.requests = append(r.requests, at.Add(-time.Duration(totalMS)*time.Millisecond))
}

// recordBudget handles a line with the retry budget of a service.
func (a *Account) recordBudget(f map[string]string) {
	ratio, err1 := strconv.ParseFloat(f["ratio"], 64)
	extra, err2 := strconv.ParseFloat(f["extra"], 64)
	window, err3 := strconv.Atoi(f["window_ms"])
	spent, err4 := strconv.Atoi(f["spent"])
	if err := cmp.Or(err1, err2, err3, err4); err != nil || window <= 0 {
		a.skipped++
		return
	}
	r := a.retriesOf(f["service"])
	r.ratio, r.extra, r.window = ratio, extra, time.Duration(window)*time.Millisecond
	t := r.spentByInstance[f["instance"]]
	if spent < t.current {
		t.previous += t.current
	}
	t.current = spent
	r.spentByInstance[f["instance"]] = t
}

// totalSpent returns the retries that the budgets of all instances counted.
func (r *serviceRetries) totalSpent() int {
	n := 0
	for _, t := range r.spentByInstance {
		n += t.previous + t.current
	}
	return n
}

// window is an interval with the retries in it and its bound.
type window struct {
	start             time.Time
	retries, requests int
	allowed           float64
}

// usage returns the share of the allowed retries that were made.
func (w window) usage() float64 { return float64(w.retries) / max(1, w.allowed) }

// worstWindow returns the window with the highest usage. Its bound follows from
// the requests of the window itself, of the window before it, or of the one that
// starts half a window earlier, whichever has the most.
func (r *serviceRetries) worstWindow() window {
	slices.SortFunc(r.requests, time.Time.Compare)
	slices.SortFunc(r.retries, time.Time.Compare)
	var worst window
	for _, start := range r.retries {
		w := window{start: start, retries: countWithin(r.retries, start, r.window)}
		for _, offset := range []time.Duration{0, r.window / 2, r.window} {
			w.requests = max(w.requests, countWithin(r.requests, start.Add(-offset), r.window))
		}
		w.allowed = r.ratio*float64(w.requests) + r.extra
		if worst.start.IsZero() || w.usage() > worst.usage() {
			worst = w
		}
	}
	return worst
}

// countWithin returns how many of the sorted times are in the interval.
func countWithin(times []time.Time, start time.Time, length time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, start.Add(length), time.Time.Compare)
	return end - first
}

// writeRetries prints the worst window of each service. If the budgets counted
// more retries than the attempts show, log lines were lost.
func (a *Account) writeRetries(w io.Writer) {
	heading := "\nservice\tnearest to the bound from\trepeats\trequests\tallowed\tpart\trepeats in all\tspent in all\n"
	for _, r := range slices.SortedFunc(maps.Values(a.retries), func(x, y *serviceRetries) int { return cmp.Compare(x.service, y.service) }) {
		if r.window == 0 || len(r.retries) == 0 {
			continue
		}
		worst := r.worstWindow()
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%d\t%d\t%.0f\t%.2f\t%d\t%d\n", heading, r.service, formatTime(worst.start),
			worst.retries, worst.requests, worst.allowed, worst.usage(), len(r.retries), r.totalSpent())
		heading = ""
	}
}
