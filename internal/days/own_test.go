package days_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// siteDaySeconds is the length of a day of the sites.
const siteDaySeconds = 34.0

// userDays are the days that users sent with a report, as they sent them. They name the classes
// and services of one site.
var userDays = []string{"rejoined.toml"}

// A day of the users' must stay as they sent it: one day, with the length that it states.
func TestUserDaysAreWhole(t *testing.T) {
	for _, name := range userDays {
		text, err := os.ReadFile(filepath.Join("../../deploy/days", name))
		if err != nil {
			t.Fatal(err)
		}
		var d struct {
			Name         string
			Length       float64 `toml:"length_s"`
			Plan, Faults []map[string]any
		}
		if err := toml.Unmarshal(text, &d); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got, want := d.Name+".toml", name; got != want {
			t.Errorf("%s: got name %q, want the name of the file", name, d.Name)
		}
		if len(d.Plan) == 0 || len(d.Faults) == 0 {
			t.Errorf("%s: got %d planned troubles and %d others, want some of each", name, len(d.Plan), len(d.Faults))
		}
		for _, tr := range slices.Concat(d.Plan, d.Faults) {
			if at, ok := tr["at"].(float64); !ok || at < 0 || at >= d.Length {
				t.Errorf("%s: got at %v, want a time within the day", name, tr["at"])
			}
		}
	}
}

// The project's own days must fit any site. Each file has one day, starts with the question that
// the day answers, and refers to classes, services and zones only by placeholders for the first
// ones of the site.
func TestProjectDaysFitAnySite(t *testing.T) {
	files, err := filepath.Glob("../../deploy/days/*.toml")
	if err != nil || len(files) <= len(userDays) {
		t.Fatalf("got %d day files, %v", len(files), err)
	}
	placeholders := []string{"", "@c0", "@s0", "@z0"}
	for _, file := range files {
		if slices.Contains(userDays, filepath.Base(file)) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		question, _, _ := strings.Cut(string(text), "\n")
		if !strings.HasPrefix(question, "# ") || !strings.HasSuffix(question, "?") {
			t.Errorf("%s: got first line %q, want the question that the day answers", file, question)
		}
		var in struct {
			Day []struct {
				Name         string
				Plan, Faults []map[string]any
			}
		}
		if err := toml.Unmarshal(text, &in); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if len(in.Day) != 1 {
			t.Fatalf("%s: got %d days, want 1", file, len(in.Day))
		}
		d := in.Day[0]
		if got, want := d.Name+".toml", filepath.Base(file); got != want {
			t.Errorf("%s: got name %q, want the name of the file", file, d.Name)
		}
		troubles := slices.Concat(d.Plan, d.Faults)
		if len(troubles) == 0 {
			t.Errorf("%s: got no troubles", file)
		}
		for _, tr := range troubles {
			for _, key := range []string{"class", "service", "zone", "to_zone"} {
				if name, _ := tr[key].(string); !slices.Contains(placeholders, name) {
					t.Errorf("%s: got %s %q, want one of %q", file, key, name, placeholders)
				}
			}
			if at, ok := tr["at"].(float64); !ok || at < 0 || at >= siteDaySeconds {
				t.Errorf("%s: got at %v, want a time within the day", file, tr["at"])
			}
		}
	}
}
