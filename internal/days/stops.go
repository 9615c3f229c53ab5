package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const (
	// firstStop is the earliest second of traffic with a stop: a process has
	// then served few answers.
	firstStop = 0.5
	// shortGap and longGap are the seconds between stops one by one: less than
	// the return of a process takes, so that several are away at once.
	shortGap, longGap = 0.4, 2.0
	// restart is for how many seconds after its grace the bench keeps a stopped
	// process away, by the times that it prints.
	restart = 0.5
)

// stops returns the days of planned stops for a seed, none if no kind that
// stops entries is named. What is wanted beside comes while some are away, what
// is wanted under them lasts meanwhile.
func (s Site) stops(w Options, variants []Template, seed uint64) (all []Day, err error) {
	if w.Stop == "" {
		return nil, nil
	}
	s.Planned = append(slices.Clone(s.Planned), w.Stop)
	n := s.EntryCount()
	uneven := func(r *rand.Rand) int { return min(n, n/2+1+r.IntN(n/2+1)) }
	singly := func(*rand.Rand) int { return 1 }
	moment := func(*rand.Rand) int { return n }
	add := func(label string, draw func(*rand.Rand) []Trouble) {
		all = append(all, s.day("stops/"+label, "day", seed, draw(source(seed, label))))
	}
	add("groups", func(r *rand.Rand) []Trouble { return s.groups(r, w.Stop) })
	add("again", func(r *rand.Rand) []Trouble { return s.series(r, w.Stop, uneven) })
	add("singly", func(r *rand.Rand) []Trouble { return s.series(r, w.Stop, singly) })
	add("moment", func(r *rand.Rand) []Trouble { return s.series(r, w.Stop, moment) })
	for i, name := range slices.Concat(w.Beside, w.Under) {
		at := slices.IndexFunc(variants, func(v Template) bool { return v.entry["kind"] == name })
		if at < 0 {
			return nil, fmt.Errorf("stops: the bench has no kind %q for this site; its verb kinds names them", name)
		}
		place, label := s.away, "beside/"+name
		if i >= len(w.Beside) {
			place, label = s.over, "under/"+name
		}
		add(label, func(r *rand.Rand) []Trouble {
			stops := s.series(r, w.Stop, uneven)
			for _, t := range stops {
				stops = append(stops, place(r, variants[at], t.num("at")))
			}
			return stops
		})
	}
	return all, nil
}

// away lays an entry into the absence after a stop.
func (s Site) away(r *rand.Rand, v Template, stop float64) Trouble {
	return s.at(r, v, stop+between(r, 0, s.Bounds.Grace/2))
}

// over lays an entry over a stop, from before it until most are back.
func (s Site) over(r *rand.Rand, v Template, stop float64) Trouble {
	t := s.at(r, v, 0)
	at := hundredths(max(0, stop-r.Float64()))
	t["at"], t["for_s"] = at, hundredths(min(s.Bounds.Grace, s.Length-at))
	return t
}

// series stops all, size at a time, and again right after the return of the
// last, until the day is full.
func (s Site) series(r *rand.Rand, kind string, size func(*rand.Rand) int) (all []Trouble) {
	for at := firstStop + r.Float64(); ; at += between(r, 0.1, 1) {
		n, gap := size(r), hundredths(between(r, shortGap, longGap))
		t := Trouble{"at": hundredths(at), "kind": kind, "share": 1.0, "x": float64(n), "gap_s": gap}
		at += float64((s.EntryCount()-1)/n)*gap + s.Bounds.Grace + restart
		if at > s.Length && len(all) > 0 {
			return all
		}
		all = append(all, t)
	}
}

// groups stops groups of drawn sizes shortly after each other, as many as there
// are entries, and again after the return. The bench picks who is in a group, so
// that one may be stopped as soon as it is back.
func (s Site) groups(r *rand.Rand, kind string) (all []Trouble) {
	last := s.Length - s.Bounds.Grace
	for at := firstStop; at <= last; at += s.Bounds.Grace + restart + r.Float64() {
		for left := s.EntryCount(); left > 0 && at <= last; at += between(r, shortGap, longGap) {
			size := 1 + r.IntN(left)
			left -= size
			all = append(all, Trouble{"at": hundredths(at), "kind": kind, "count": size, "x": float64(size)})
		}
	}
	return all
}
