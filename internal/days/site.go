package days

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// minLength is the shortest day in seconds: two troubles of the usual 5 s after
// each other and as much again around them.
const minLength = 20.0

// Trouble is one entry of a day by the bench's own fields; what it lacks is left
// to the bench. Its at counts from the start of traffic, after the lead.
type Trouble map[string]any

// num returns a figure of the entry, 0 if it lacks it.
func (t Trouble) num(field string) float64 {
	if n, ok := t[field].(int64); ok {
		return float64(n)
	}
	n, _ := t[field].(float64)
	return n
}

func (t Trouble) text(field string) string {
	s, _ := t[field].(string)
	return s
}

// Site is what a site file says that days depend on.
type Site struct {
	// Length is the seconds of traffic in a day, minLength at least; Lead is
	// those before it, in which the fleet starts.
	Length float64 `toml:"length_s"`
	Lead   float64 `toml:"lead_s"`
	// Bounds.Grace is for how long a stopped process may finish, in seconds.
	Bounds struct {
		Grace float64 `toml:"grace_s"`
	} `toml:"bounds"`
	Machines []Trouble `toml:"machines"`
	Troubles []Trouble `toml:"troubles"`
	Days     []Day     `toml:"day"`
	// Planned are the kinds of planned work: those under plan in Days, and what
	// is added.
	Planned []string `toml:"-"`
}

// ParseSite reads the text of a site file.
func ParseSite(text []byte) (s Site, err error) {
	if err := toml.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("site file: %w", err)
	}
	if s.Length < minLength || s.Lead < 0 || s.Bounds.Grace <= 0 || s.EntryCount() < 1 {
		return s, fmt.Errorf("site file: length_s %g (%g at least), lead_s %g, bounds.grace_s %g, %d machines without app; give a site file of the bench", s.Length, minLength, s.Lead, s.Bounds.Grace, s.EntryCount())
	}
	for _, d := range s.Days {
		s.Troubles = slices.Concat(s.Troubles, d.Plan, d.Faults)
		for _, t := range d.Plan {
			s.Planned = append(s.Planned, t.text("kind"))
		}
	}
	return s, nil
}

// EntryCount returns the number of entry machines: those that stand by no app.
func (s Site) EntryCount() (n int) {
	for _, m := range s.Machines {
		if m["app"] == nil {
			n += int(m.num("count"))
		}
	}
	return n
}
