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

// tableUse is what is known of one version of the settings.
type tableUse struct {
	version int64
	// entries counts the processes on which it came into force; first and last are
	// when it did, zero if no line tells.
	entries     int
	first, last time.Time
	// requests counts those that ran by it; latest is when the last of them ended,
	// on the entry lastEntry.
	requests  int
	latest    time.Time
	lastEntry string
}

// table returns the use of the version that a line names, nil if it names none.
func (a *Account) table(version string) *tableUse {
	v, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return nil
	}
	if a.tables[v] == nil {
		a.tables[v] = &tableUse{version: v}
	}
	return a.tables[v]
}

// inForce takes the line of a version that came into force.
func (a *Account) inForce(f map[string]string) {
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	u := a.table(f["version"])
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

// ranBy takes the final line of a request.
func (a *Account) ranBy(f map[string]string, at time.Time) {
	u := a.table(f["table"])
	if u == nil {
		return
	}
	u.requests++
	if at.After(u.latest) {
		u.latest, u.lastEntry = at, f["instance"]
	}
}

// writeTables prints which versions requests ran by. "after a newer" is how long
// after a newer version first came into force anywhere a request still ended by this
// one: what a change takes to reach all, and the length of a request.
func (a *Account) writeTables(w io.Writer) {
	if len(a.tables) == 0 {
		return
	}
	uses := slices.SortedFunc(maps.Values(a.tables), func(x, y *tableUse) int { return cmp.Compare(x.version, y.version) })
	_, _ = fmt.Fprintf(w, "\ntable\trequests\tentries\tfirst in force\tlast in force\tlast request\tat\tafter a newer\n")
	for i, u := range uses {
		after := ""
		if newer := firstOf(uses[i+1:]); !newer.IsZero() && u.latest.After(newer) {
			after = u.latest.Sub(newer).Round(time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", u.version, u.requests, u.entries, moment(u.first), moment(u.last), moment(u.latest), cmp.Or(u.lastEntry, "-"), cmp.Or(after, "-"))
	}
}

// firstOf returns when the first of these versions came into force.
func firstOf(uses []*tableUse) time.Time {
	var first time.Time
	for _, u := range uses {
		if !u.first.IsZero() && (first.IsZero() || u.first.Before(first)) {
			first = u.first
		}
	}
	return first
}

// moment writes a time of day, or a dash for none.
func moment(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}
