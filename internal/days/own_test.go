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

// The project's own days must fit any site. Each file has one day, starts with the question that
// the day answers, and refers to classes, services and zones only by placeholders for the first
// ones of the site.
func TestProjectDaysFitAnySite(t *testing.T) {
	files, err := filepath.Glob("../../deploy/days/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d day files, %v", len(files), err)
	}
	placeholders := []string{"", "@c0", "@s0", "@z0"}
	for _, file := range files {
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
