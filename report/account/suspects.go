package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// suspect is a request, or a part of prompts, during which engines crashed. All requests
// with the same digest count as one, whatever their IDs.
type suspect struct {
	digest string
	// part is the ID of the part, "" for a request.
	part string
	// engines and entries are those of the attempts that ended in a crash.
	engines, entries map[string]bool
	// heldBack counts the requests that were not sent.
	heldBack    int
	first, last time.Time
}

// minEngines is the number of engines that must have crashed during a request
// before it is listed. A single crash is too little evidence, since it counts
// against every request that the engine ran.
const minEngines = 2

// suspectOf returns the suspect with the digest in a log line, whose fields are f,
// and includes the time of the line in its period. If the line has no valid time
// or no digest, suspectOf counts it as skipped and returns nil.
func (a *Account) suspectOf(f map[string]string) *suspect {
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil || f["asked"] == "" {
		a.skipped++
		return nil
	}
	s := a.suspects[f["asked"]]
	if s == nil {
		s = &suspect{digest: f["asked"], engines: map[string]bool{}, entries: map[string]bool{}, first: at, last: at}
		a.suspects[s.digest] = s
	}
	s.part = cmp.Or(s.part, f["part"])
	if at.Before(s.first) {
		s.first = at
	}
	if at.After(s.last) {
		s.last = at
	}
	return s
}

// recordStrike handles the line of an attempt during which an engine crashed.
func (a *Account) recordStrike(f map[string]string) {
	if s := a.suspectOf(f); s != nil {
		s.engines[f["engine"]] = true
		s.entries[f["instance"]] = true
	}
}

// recordHeldBack handles the line of a request that was not sent.
func (a *Account) recordHeldBack(f map[string]string) {
	if s := a.suspectOf(f); s != nil {
		s.heldBack++
	}
}

// writeSuspects prints the requests during which several engines crashed, those
// with the most engines first.
func (a *Account) writeSuspects(w io.Writer) {
	listed := slices.DeleteFunc(slices.Collect(maps.Values(a.suspects)), func(s *suspect) bool { return len(s.engines) < minEngines })
	if len(listed) == 0 {
		return
	}
	slices.SortFunc(listed, func(x, y *suspect) int {
		return cmp.Or(cmp.Compare(len(y.engines), len(x.engines)), cmp.Compare(x.digest, y.digest))
	})
	_, _ = fmt.Fprintf(w, "\nasked\tengines ended\tby entries\theld back\tfirst\tlast\tpart\n")
	for _, s := range listed {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", s.digest, len(s.engines), len(s.entries), s.heldBack, formatTime(s.first), formatTime(s.last), s.part)
	}
}
