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

// tableUse is the use of one settings version.
type tableUse struct {
	version int64
	// entries counts the processes on which the version came into force. first and
	// last are the earliest and latest time, zero if not logged.
	entries     int
	first, last time.Time
	// requests counts the requests that used the version. The last of them ended
	// at lastRequest on lastEntry.
	requests    int
	lastRequest time.Time
	lastEntry   string
}

// tableUse returns the use of a version, or nil if it is not a number.
func (a *Account) tableUse(version string) *tableUse {
	v, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return nil
	}
	if a.tables[v] == nil {
		a.tables[v] = &tableUse{version: v}
	}
	return a.tables[v]
}

// recordInForce handles the line of a version that came into force.
func (a *Account) recordInForce(f map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	u := a.tableUse(f["version"])
	if err != nil || u == nil {
		a.skipped++
		return
	}
	u.entries++
	if u.first.IsZero() || at.Before(u.first) {
		u.first = at
	}
	if at.After(u.last) {
		u.last = at
	}
}

// recordVersion handles the final line of a request.
func (a *Account) recordVersion(f map[string]string, at time.Time) {
	u := a.tableUse(f["table"])
	if u == nil {
		return
	}
	u.requests++
	if at.After(u.lastRequest) {
		u.lastRequest, u.lastEntry = at, f["instance"]
	}
}

// writeTables prints the use of each version. The column "after a newer" is the
// time from when any entry first used a newer version until the last request with
// this one ended. It includes the propagation of the change and the duration of
// the request.
func (a *Account) writeTables(w io.Writer) {
	if len(a.tables) == 0 {
		return
	}
	uses := slices.SortedFunc(maps.Values(a.tables), func(x, y *tableUse) int { return cmp.Compare(x.version, y.version) })
	_, _ = fmt.Fprintf(w, "\ntable\trequests\tentries\tfirst in force\tlast in force\tlast request\tat\tafter a newer\n")
	for i, u := range uses {
		after := ""
		if newer := firstInForce(uses[i+1:]); !newer.IsZero() && u.lastRequest.After(newer) {
			after = u.lastRequest.Sub(newer).Round(time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", u.version, u.requests, u.entries, formatTime(u.first), formatTime(u.last), formatTime(u.lastRequest), cmp.Or(u.lastEntry, "-"), cmp.Or(after, "-"))
	}
}

// firstInForce returns the earliest time at which any of these versions came into
// force, or zero.
func firstInForce(uses []*tableUse) time.Time {
	var first time.Time
	for _, u := range uses {
		if !u.first.IsZero() && (first.IsZero() || u.first.Before(first)) {
			first = u.first
		}
	}
	return first
}

// formatTime returns the time of day, or a dash for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}
