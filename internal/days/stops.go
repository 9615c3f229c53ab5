package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// firstStopAt is the earliest second of traffic with a stop. A process has then
	// served few requests.
	firstStopAt = 0.5
	// minGap and maxGap limit the seconds between single stops. A process takes longer
	// to return, so several are down at once.
	minGap, maxGap = 0.4, 2.0
	// restartSeconds is how long the bench keeps a stopped process down after its grace
	// period, according to its output.
	restartSeconds = 0.5
)

// stops returns the days of planned stops for a seed, none without opts.Stop. Troubles of the kinds
// in opts.Beside occur while some entries are down, those in opts.Under last throughout the stops.
func (s Site) stops(opts Options, templates []Template, seed uint64) (all []Day, err error) {
	if opts.Stop == "" {
		return nil, nil
	}
	s.Planned = append(slices.Clone(s.Planned), opts.Stop)
	n := s.EntryCount()
	// More than half of the entries in a group give groups of unequal size.
	majority := func(r *rand.Rand) int { return min(n, n/2+1+r.IntN(n/2+1)) }
	single := func(*rand.Rand) int { return 1 }
	everyEntry := func(*rand.Rand) int { return n }
	add := func(label string, draw func(*rand.Rand) []Trouble) {
		all = append(all, s.newDay("stops/"+label, "day", seed, draw(newRand(seed, label))))
	}
	add("groups", func(r *rand.Rand) []Trouble { return s.groups(r, opts.Stop) })
	add("again", func(r *rand.Rand) []Trouble { return s.series(r, opts.Stop, majority) })
	add("singly", func(r *rand.Rand) []Trouble { return s.series(r, opts.Stop, single) })
	add("moment", func(r *rand.Rand) []Trouble { return s.series(r, opts.Stop, everyEntry) })
	for i, name := range slices.Concat(opts.Beside, opts.Under) {
		at := slices.IndexFunc(templates, func(tmpl Template) bool { return tmpl.entry["kind"] == name })
		if at < 0 {
			return nil, fmt.Errorf("stops: the bench has no kind %q for this site; list the kinds with its subcommand kinds", name)
		}
		schedule, label := s.duringAbsence, "beside/"+name
		if i >= len(opts.Beside) {
			schedule, label = s.throughoutStop, "under/"+name
		}
		add(label, func(r *rand.Rand) []Trouble {
			stops := s.series(r, opts.Stop, majority)
			for _, t := range stops {
				stops = append(stops, schedule(r, templates[at], t.num("at")))
			}
			return stops
		})
	}
	return all, nil
}

// duringAbsence returns a trouble at a random time while the processes of a stop are down.
func (s Site) duringAbsence(r *rand.Rand, tmpl Template, stop float64) Trouble {
	return s.schedule(r, tmpl, stop+uniform(r, 0, s.Bounds.Grace/2))
}

// throughoutStop returns a trouble that lasts from just before a stop until most processes are
// back.
func (s Site) throughoutStop(r *rand.Rand, tmpl Template, stop float64) Trouble {
	t := s.schedule(r, tmpl, 0)
	at := round2(max(0, stop-r.Float64()))
	t["at"], t["for_s"] = at, round2(min(s.Bounds.Grace, s.Length-at))
	return t
}

// series returns stops of all entries, size at a time. Each stop starts right after the last
// process of the previous one has returned, until the end of the day.
func (s Site) series(r *rand.Rand, kind string, size func(*rand.Rand) int) (all []Trouble) {
	for at := firstStopAt + r.Float64(); ; at += uniform(r, 0.1, 1) {
		n, gap := size(r), round2(uniform(r, minGap, maxGap))
		t := Trouble{"at": round2(at), "kind": kind, "share": 1.0, "x": float64(n), "gap_s": gap}
		at += float64((s.EntryCount()-1)/n)*gap + s.Bounds.Grace + restartSeconds
		if at > s.Length && len(all) > 0 {
			return all
		}
		all = append(all, t)
	}
}

// groups returns stops of groups of random sizes in quick succession, as many processes in total
// as there are entries, and again after their return. The bench chooses the processes of a
// group, so that a process may be stopped as soon as it is back.
func (s Site) groups(r *rand.Rand, kind string) (all []Trouble) {
	last := s.Length - s.Bounds.Grace
	for at := firstStopAt; at <= last; at += s.Bounds.Grace + restartSeconds + r.Float64() {
		for remaining := s.EntryCount(); remaining > 0 && at <= last; at += uniform(r, minGap, maxGap) {
			size := 1 + r.IntN(remaining)
			remaining -= size
			all = append(all, Trouble{"at": round2(at), "kind": kind, "count": size, "x": float64(size)})
		}
	}
	return all
}
