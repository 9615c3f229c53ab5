package days

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// minLength is the minimum length of a day in seconds: two consecutive troubles of the default 5 s,
// and as much time before and after them.
const minLength = 20.0

// Trouble is an entry of a day, with the fields of the bench. The bench has defaults for missing
// fields. The field at counts from the start of traffic, after the lead.
type Trouble map[string]any

// num returns a number of the entry, 0 if it is missing.
func (t Trouble) num(field string) float64 {
	if n, ok := t[field].(int64); ok {
		return float64(n)
	}
	n, _ := t[field].(float64)
	return n
}

// text returns a string of the entry, "" if it is missing.
func (t Trouble) text(field string) string {
	s, _ := t[field].(string)
	return s
}

// Site has the settings of a site file that days depend on.
type Site struct {
	// Length is the seconds of traffic in a day, at least minLength. Lead is the seconds
	// before, in which the fleet starts.
	Length float64 `toml:"length_s"`
	Lead   float64 `toml:"lead_s"`
	// Bounds.Grace is the grace period of a stopped process in seconds.
	Bounds struct {
		Grace float64 `toml:"grace_s"`
	} `toml:"bounds"`
	Machines []Trouble `toml:"machines"`
	Troubles []Trouble `toml:"troubles"`
	Days     []Day     `toml:"day"`
	// Planned has the kinds of planned work: those in the plans of Days, and
	// Options.Planned.
	Planned []string `toml:"-"`
}

// ParseSite parses a site file. It fails if a required setting is missing or out of range.
func ParseSite(text []byte) (s Site, err error) {
	if err := toml.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("site file: %w", err)
	}
	if s.Length < minLength || s.Lead < 0 || s.Bounds.Grace <= 0 || s.EntryCount() < 1 {
		return s, fmt.Errorf("site file: length_s %g (%g at least), lead_s %g, bounds.grace_s %g, %d machines without app; pass a site file of the bench", s.Length, minLength, s.Lead, s.Bounds.Grace, s.EntryCount())
	}
	for _, d := range s.Days {
		s.Troubles = slices.Concat(s.Troubles, d.Plan, d.Faults)
		for _, t := range d.Plan {
			s.Planned = append(s.Planned, t.text("kind"))
		}
	}
	return s, nil
}

// EntryCount returns the number of entry machines, which are those without an app.
func (s Site) EntryCount() (n int) {
	for _, m := range s.Machines {
		if m["app"] == nil {
			n += int(m.num("count"))
		}
	}
	return n
}
