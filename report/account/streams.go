package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// maxLoggedID is the length in bytes to which gates shorten the ID of a resumed stream in
// logs.
const maxLoggedID = 64

// LoggedID returns an ID as the lines of other attempts of its stream name it.
func LoggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// streamKey identifies a stream by its route and the ID of the attempt that began it.
type streamKey struct{ route, first string }

// stream has the attempts of one stream.
type stream struct {
	// versions are the software versions of the engines that sent its events.
	versions map[string]bool
	// resumed counts the attempts that resume it, continued those of them that did, and
	// refused the others by reason.
	resumed, continued int
	refused            map[string]int
}

// recordStream handles the final line of a request, of which one that has no version and
// resumes nothing is no attempt of a stream.
func (a *Account) recordStream(id string, f map[string]string) {
	first, resumes := f["resumes"]
	version := f["engine_version"]
	if !resumes {
		if version == "" {
			return
		}
		first = id
	}
	k := streamKey{f["route"], LoggedID(first)}
	s := a.streams[k]
	if s == nil {
		s = &stream{versions: map[string]bool{}, refused: map[string]int{}}
		a.streams[k] = s
	}
	if version != "" && f["events"] != "0" {
		s.versions[version] = true
	}
	if !resumes {
		return
	}
	s.resumed++
	switch {
	case f["verdict"] == "not_run":
		s.refused[f["reason"]]++
	case f["events"] != "0":
		s.continued++
	}
}

// resumedStreams sums up the streams of a route that callers resumed.
type resumedStreams struct {
	route                                string
	streams, resumed, continued, several int
	unknownOrigin, versionGone           int
}

// writeStreams prints what became of the streams that callers resumed, by route.
func (a *Account) writeStreams(w io.Writer) {
	byRoute := map[string]*resumedStreams{}
	for k, s := range a.streams {
		if s.resumed == 0 {
			continue
		}
		r := byRoute[k.route]
		if r == nil {
			r = &resumedStreams{route: k.route}
			byRoute[k.route] = r
		}
		r.streams++
		r.resumed += s.resumed
		r.continued += s.continued
		r.unknownOrigin += s.refused["unknown_origin"]
		r.versionGone += s.refused["version_gone"]
		if len(s.versions) > 1 {
			r.several++
		}
	}
	if len(byRoute) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\nresumed streams\tattempts\tcontinued\tunknown_origin\tversion_gone\tof several versions\n")
	for _, r := range slices.SortedFunc(maps.Values(byRoute), func(a, b *resumedStreams) int { return cmp.Compare(a.route, b.route) }) {
		_, _ = fmt.Fprintf(w, "%s: %d\t%d\t%d\t%d\t%d\t%d\n", r.route, r.streams, r.resumed, r.continued, r.unknownOrigin, r.versionGone, r.several)
	}
}
