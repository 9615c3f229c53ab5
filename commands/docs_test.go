package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/commands"
)

// documentedNames match the metrics and log events that operators see.
var documentedNames = []*regexp.Regexp{
	regexp.MustCompile(`(weldfall_[a-z_]+_(?:total|seconds))`),
	regexp.MustCompile(`\b(?:log|Log)\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"`),
}

// operatorDocs describe these names: of entries and daemons, and of the gate.
var operatorDocs = []string{"../docs/OPERATORS.md", "../docs/OPERATIONS.md"}

func TestMetricsAndLogEventsAreDocumented(t *testing.T) {
	var page []byte
	for _, name := range operatorDocs {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		page = append(page, text...)
	}
	count := 0
	err := filepath.WalkDir("..", func(path string, d os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "fleettest") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, re := range documentedNames {
			for _, m := range re.FindAllSubmatch(text, -1) {
				count++
				if !strings.Contains(string(page), "`"+string(m[1])) {
					t.Errorf("%s: %s is not in docs/OPERATORS.md or docs/OPERATIONS.md", path, m[1])
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if count < 30 {
		t.Errorf("got %d names, want more", count)
	}
}

func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile("../verdict/verdict.go")
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`Reason += "([a-z_]+)"`).FindAllSubmatch(source, -1)
	for _, m := range found {
		if !strings.Contains(string(page), "`"+string(m[1])+"`") {
			t.Errorf("%s is not in docs/CALLERS.md", m[1])
		}
	}
	if len(found) < 15 {
		t.Errorf("got %d reasons, want more", len(found))
	}
}

func runMain(argv ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = commands.Main(argv, &o, &e)
	return code, o.String(), e.String()
}

func TestCheckListsErrorsAndExplainShowsSources(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		file := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("fleet.toml", "[routing]\nload_bound = 1.5\n[lock]\nkeys = [\"routing.load_bound\"]\n")
	write("planning.toml", "[limits]\ndeadline_ms = 9000\n")
	if code, out, errOut := runMain("check", dir); code != 0 || !strings.Contains(out, "2 branches are valid") {
		t.Errorf("got %d %q %q, want 2 valid branches", code, out, errOut)
	}
	if code, out, _ := runMain("explain", "--path", "planning/ws0", "--tree", dir, "limits.deadline_ms"); code != 0 || !strings.Contains(out, "9000") || !strings.Contains(out, "planning") {
		t.Errorf("got %d %q, want 9000 from planning", code, out)
	}
	write("planning/ws0.toml", "[routing]\nload_bound = 2.0\n")
	write("vigia.toml", "[limts]\n")
	code, _, errOut := runMain("check", dir)
	for _, want := range []string{"is locked by \"fleet\"", "did you mean", "vigia.toml"} {
		if code != 2 || !strings.Contains(errOut, want) {
			t.Errorf("got %d %q, want exit 2 with %q", code, errOut, want)
		}
	}
}

func TestHelpAndUsageErrors(t *testing.T) {
	for _, cmd := range []string{"entry", "daemon", "demo", "check", "explain", "load", "burn", "account", "version"} {
		if code, out, _ := runMain(cmd, "--help"); code != 0 || !strings.Contains(out, "Usage: weldfall "+cmd) {
			t.Errorf("%s: got %d %q, want its help", cmd, code, out)
		}
	}
	for _, argv := range [][]string{{}, {"nonsense"}, {"entry"}, {"explain", "--path", "p"}, {"load"}, {"account"}, {"account", "--step", "0s", "x"}, {"account", "no-such-file"}, {"demo", "--engines", "0"}, {"standin"}} {
		if code, _, _ := runMain(argv...); code != 2 {
			t.Errorf("%v: got exit %d, want 2", argv, code)
		}
	}
}

func TestTraceRequestPrintsLinesInOrder(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	for path, text := range map[string]string{
		a: "time=2026-01-01T00:00:02Z msg=answered instance=a request=r1 status=200\ntime=2026-01-01T00:00:01Z msg=answered instance=a request=r11\n",
		b: "time=2026-01-01T00:00:01Z msg=attempt_ended instance=b request=r1 outcome=broken\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	code, out, _ := runMain("trace-request", "r1", a, b)
	want := "time=2026-01-01T00:00:01Z msg=attempt_ended instance=b request=r1 outcome=broken\ntime=2026-01-01T00:00:02Z msg=answered instance=a request=r1 status=200\n"
	if code != 0 || out != want {
		t.Errorf("got %d %q, want %q", code, out, want)
	}
	c := filepath.Join(dir, "c.log")
	text := "time=2026-01-01T00:00:01Z msg=struck request=r0 asked=d1 engine=i-1\ntime=2026-01-01T00:00:02Z msg=struck request=r8 asked=d2 engine=i-1\n" +
		"time=2026-01-01T00:00:03Z msg=held_back request=r9 asked=d1\n"
	if err := os.WriteFile(c, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, _ = runMain("trace-request", "--same", "r9", c)
	want = "time=2026-01-01T00:00:01Z msg=struck request=r0 asked=d1 engine=i-1\ntime=2026-01-01T00:00:03Z msg=held_back request=r9 asked=d1\n"
	if code != 0 || out != want {
		t.Errorf("got %d %q with --same, want %q", code, out, want)
	}
	d := filepath.Join(dir, "d.log")
	long := strings.Repeat("x", 70)
	text = "time=2026-01-01T00:00:01Z msg=failed request=s1 engine_version=v1\ntime=2026-01-01T00:00:02Z msg=attempt_ended request=s2 version=v1\n" +
		"time=2026-01-01T00:00:03Z msg=answered request=s2 engine_version=v1 resumes=s1 after=4\ntime=2026-01-01T00:00:04Z msg=answered request=s3 resumes=s11 after=4\n" +
		"time=2026-01-01T00:00:05Z msg=answered request=s4 resumes=s1 after=6\n" +
		"time=2026-01-01T00:00:06Z msg=failed request=" + long + "\ntime=2026-01-01T00:00:07Z msg=answered request=t2 resumes=" + long[:64] + " after=1\n"
	if err := os.WriteFile(d, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]string{"s1": "1 2 3 5", "s2": "1 2 3 5", "s3": "4", "t2": "6 7", long: "6 7"} {
		code, out, _ := runMain("trace-request", "--stream", id, d)
		var got []string
		for line := range strings.Lines(out) {
			got = append(got, line[len("time=2026-01-01T00:00:0"):][:1])
		}
		if code != 0 || strings.Join(got, " ") != want {
			t.Errorf("--stream %s: got %d, lines of the seconds %q, want %s", id, code, got, want)
		}
	}
	if code, _, errOut := runMain("trace-request", "r2", a, b); code != 1 || !strings.Contains(errOut, "none of the 2 files") {
		t.Errorf("got %d %q for an unknown request, want an error that says so", code, errOut)
	}
}
