package days_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// usualLength is how long a day of the sites is, in seconds.
const usualLength = 34.0

// The project's own days fit any site: one pattern a file, whose first line says what
// it asks, and names of a site only as marks for its first ones.
func TestOwnDaysFitAnySite(t *testing.T) {
	files, err := filepath.Glob("../../deploy/days/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d day files, %v", len(files), err)
	}
	marks := []string{"", "@c0", "@s0", "@z0"}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		asks, _, _ := strings.Cut(string(text), "\n")
		if !strings.HasPrefix(asks, "# ") || !strings.HasSuffix(asks, "?") {
			t.Errorf("%s: got first line %q, want what the day asks", file, asks)
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
			t.Errorf("%s: got name %q, want that of the file", file, d.Name)
		}
		troubles := slices.Concat(d.Plan, d.Faults)
		if len(troubles) == 0 {
			t.Errorf("%s: got no troubles", file)
		}
		for _, tr := range troubles {
			for _, key := range []string{"class", "service", "zone", "to_zone"} {
				if name, _ := tr[key].(string); !slices.Contains(marks, name) {
					t.Errorf("%s: got %s %q, want one of %q", file, key, name, marks)
				}
			}
			if at, ok := tr["at"].(float64); !ok || at < 0 || at >= usualLength {
				t.Errorf("%s: got at %v, want seconds within a day", file, tr["at"])
			}
		}
	}
}
