package days_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/weldfall/weldfall/internal/days"
)

// kindsText has the format of the bench's output, with kinds of this test.
const kindsText = `Each entry has 'at' and 'kind'. for_s: how long (5). gap_s: time between steps (1). share: part of the things.
For servers, 'how' may also hold wide (of all copies) and every (none is spared). For machines, 'how' may also hold chief (the one that acted last), tail (it doesn't lead; with torn also wipe) or root. After these may stand again (a change, and more), twin (two such at once) and, for mach_halt, busy (each is stopped). Cuts are silent.

flood: x times the traffic of a zone or class (all)
drop: share of a class's requests are about one thing
serv_down: share (.15) of a service's servers are down for for_s; how: dark (silent, mostly), gone (for good), slow (x (8) times as long), + near (only for callers)
serv_grey: share (.2) fail x (.4) of their requests
leave: share (.5) drain; how: spot (they are gone x s (2.5) after the notice; others come, with dry nowhere)
mach_die: share (.1) of the machines: the end; how: power (dark for for_s)
mach_halt: share (1) get the signal, x (1) at a time, each gap_s
store: the platform's store; how: silent busy reset, and lapse (leases run out); log, how: deal (anew), rewind
patient: share of the clients leave; how once: they stay, and don't retry; prompt: jobs are cancelled
change: how: route quota (+ under: far below what is sent) idle

these may come too:
lie: share (.15) say well (how: errors hang), or say ill and are well (how: bad)
`

const siteText = `length_s = 34.0
lead_s = 10.0
zones = [ { name = "a" }, { name = "b" } ]
machines = [
  { class = "front", zone = "a", count = 3, spare = 1 },
  { class = "front", zone = "b", count = 2, spare = 1 },
  { class = "side", zone = "b", count = 4, app = "llm" },
]
services = [ { name = "llm", conn_cap = 100, servers = [{ zone = "b", count = 4 }], llm = { kv_tokens = 1001, prefill_tokens_per_ms = 42.6 } } ]
troubles = [
  { kind = "flood", x = 1.7, for_s = 3.0 },
  { kind = "drop", share = 0.28, for_s = 30.0, class = "chat" },
  { kind = "mach_die", how = "chief again", on = "core", count = 1 },
]
[bounds]
drain_ms = 2000
config_ms = 2000
grace_s = 8.0
[goal]
zone = 0.0
[platform]
writes_per_s = 400.0
reads_per_s = 2000.0
[[day]]
name = "one"
plan = [ { at = 3.0, kind = "leave", share = 0.3 } ]
faults = [ { at = 3, kind = "serv_grey", how = "mute", x = 0.45 } ]
`

func site(t *testing.T) (days.Site, []days.Kind) {
	t.Helper()
	s, err := days.ParseSite([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	kinds, err := days.ParseKinds(kindsText)
	if err != nil {
		t.Fatal(err)
	}
	return s, kinds
}

func draw(t *testing.T, w days.Options) []days.Day {
	t.Helper()
	s, kinds := site(t)
	w.Seeds = max(1, w.Seeds)
	all, err := s.Draw(kinds, w)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

var stops = days.Options{Seed: 1, Seeds: 20, Stop: "mach_halt", Beside: []string{"leave"}, Under: []string{"flood"}}

func number(t days.Trouble, field string) float64 {
	if n, ok := t[field].(int64); ok {
		return float64(n)
	}
	n, _ := t[field].(float64)
	return n
}

func TestParseKindsReadsVariants(t *testing.T) {
	_, kinds := site(t)
	want := map[string]string{
		"flood": "", "drop": "", "mach_die": "again chief power root tail twin", "mach_halt": "again busy chief root tail twin",
		"serv_down": "dark,every,gone,slow,slow near,wide", "serv_grey": "every wide", "leave": "every,spot,spot dry,wide",
		"patient": "once prompt", "change": "idle,quota,quota under,route", "lie": "bad errors hang",
		"store": "busy lapse log deal reset rewind silent",
	}
	for _, k := range kinds {
		sep := " "
		if strings.Contains(want[k.Name], ",") {
			sep = ","
		}
		hows := strings.FieldsFunc(want[k.Name], func(r rune) bool { return string(r) == sep })
		slices.Sort(hows)
		if !slices.Equal(k.Variants, hows) {
			t.Errorf("%s: got variants %q, want %q", k.Name, k.Variants, hows)
		}
	}
	if len(kinds) != len(want) {
		t.Errorf("got %d kinds, want %d", len(kinds), len(want))
	}
}

func TestParseKindsReadsDefaults(t *testing.T) {
	_, kinds := site(t)
	for _, tc := range []struct {
		kind, field string
		want        float64
	}{{"serv_grey", "x", 0.4}, {"serv_grey", "share", 0.2}, {"serv_grey", "for_s", 5}, {"serv_grey", "gap_s", 1}, {"mach_halt", "share", 1}, {"leave", "share", 0.5}} {
		i := slices.IndexFunc(kinds, func(k days.Kind) bool { return k.Name == tc.kind })
		if got := kinds[i].Defaults[tc.field]; got != tc.want {
			t.Errorf("%s %s: got %g, want %g", tc.kind, tc.field, got, tc.want)
		}
	}
	if _, ok := kinds[0].Defaults["x"]; ok {
		t.Errorf("%s: got a default for x, want none", kinds[0].Name)
	}
}

func TestParseRejectsInvalidInput(t *testing.T) {
	if _, err := days.ParseKinds("usage: bench kinds SITE\n"); err == nil {
		t.Error("got no error for a text without kinds")
	}
	for _, text := range []string{"", "length_s = 'x'", strings.Replace(siteText, "34.0", "3.0", 1), strings.Replace(siteText, "grace_s = 8.0", "", 1), strings.ReplaceAll(siteText, `class = "front"`, `app = "x"`)} {
		if _, err := days.ParseSite([]byte(text)); err == nil {
			t.Errorf("got no error for a site file without a length, grace period or entries: %.40q", text)
		}
	}
}

func TestDrawDependsOnSeedOnly(t *testing.T) {
	text := func(w days.Options) string {
		var b bytes.Buffer
		for _, d := range draw(t, w) {
			out, err := d.TOML()
			if err != nil {
				t.Fatal(err)
			}
			b.Write(out)
		}
		return b.String()
	}
	for _, w := range []days.Options{{Seed: 7}, stops, {Seed: 7, Seeds: 3, Random: 9}} {
		one, again := text(w), text(w)
		w.Seed++
		if one != again || one == text(w) {
			t.Errorf("%+v: got days that do not depend on the seed alone", w)
		}
	}
}

// A day does not change if other days are drawn with it.
func TestDayIsIndependentOfOtherDays(t *testing.T) {
	all := draw(t, days.Options{Seed: 4, Shapes: []string{"alone", "twice"}})
	few := draw(t, days.Options{Seed: 4, Shapes: []string{"twice"}, Only: []string{"serv_down/dark"}})
	if len(few) != 1 {
		t.Fatalf("got %d days of one variant and shape, want 1", len(few))
	}
	i := slices.IndexFunc(all, func(d days.Day) bool { return d.Name == few[0].Name })
	if i < 0 || fmt.Sprint(all[i]) != fmt.Sprint(few[0]) {
		t.Errorf("got another day when drawn alone: %v", few[0])
	}
}

func TestTroublesAreWithinTheDay(t *testing.T) {
	s, _ := site(t)
	for _, w := range []days.Options{{Seed: 1, Seeds: 20}, stops} {
		for _, d := range draw(t, w) {
			all := slices.Concat(d.Plan, d.Faults)
			if len(all) == 0 {
				t.Errorf("%s: got no troubles", d.Name)
			}
			for _, tr := range all {
				if at := number(tr, "at"); at < 0 || at+number(tr, "for_s") > s.Length+0.011 || at >= s.Length {
					t.Errorf("%s: got %v, want it within the day of %g s", d.Name, tr, s.Length)
				}
			}
		}
	}
}

func TestShapes(t *testing.T) {
	s, _ := site(t)
	const span = 5
	for _, d := range draw(t, days.Options{Seed: 1, Seeds: 20, Only: []string{"serv_grey"}}) {
		all := slices.Concat(d.Plan, d.Faults)
		first, last := number(all[0], "at"), number(all[len(all)-1], "at")
		shape := strings.Split(strings.TrimPrefix(d.Name, strings.ReplaceAll(d.Label, "/", "-")+"-"), "-")[0]
		ok := map[string]bool{
			"alone": len(all) == 1, "first": first < 2, "end": first == s.Length-span, "twice": len(all) == 2 && last-first >= span-0.011,
			"over": len(all) == 2 && last > first && last-first < span, "pair": len(all) == 2,
		}
		if valid, known := ok[shape]; !valid || !known {
			t.Errorf("%s: got troubles %v that do not fit the shape", d.Name, all)
		}
	}
}

func TestTemplatesUseSiteValues(t *testing.T) {
	all := draw(t, days.Options{Seed: 1, Shapes: []string{"alone"}})
	entry := func(label string) days.Trouble {
		i := slices.IndexFunc(all, func(d days.Day) bool { return d.Label == label })
		if i < 0 {
			t.Fatalf("no day %q", label)
		}
		return slices.Concat(all[i].Plan, all[i].Faults)[0]
	}
	if e := entry("flood"); number(e, "x") != 1.7 {
		t.Errorf("got %v, want the x of the site, since the bench has no default", e)
	}
	if e := entry("drop"); e["class"] != "chat" || number(e, "for_s") > 34.0/3 {
		t.Errorf("got %v, want the site's class and at most a third of the day", e)
	}
	if e := entry("mach_die/chief/again/core"); number(e, "count") != 1 || e["share"] != nil {
		t.Errorf("got %v, want the site's entry", e)
	}
	if e := entry("serv_grey/wide"); e["x"] != nil || number(e, "share") < 0.2*0.7 || number(e, "share") > 0.2*1.5+0.01 {
		t.Errorf("got %v, want the x of the bench, and a share close to its default", e)
	}
}

func TestPlanHasPlannedWorkOnly(t *testing.T) {
	for _, d := range draw(t, days.Options{Seed: 1, Planned: []string{"change"}}) {
		for _, tr := range d.Plan {
			if tr["kind"] != "leave" && tr["kind"] != "change" {
				t.Errorf("%s: got %v in the plan, want planned work only", d.Name, tr)
			}
		}
		for _, tr := range d.Faults {
			if tr["kind"] == "leave" || tr["kind"] == "change" {
				t.Errorf("%s: got %v as a fault, want no planned work", d.Name, tr)
			}
		}
	}
}

func TestStops(t *testing.T) {
	const entries, downSeconds = 5, 8 + 0.5
	uneven := 0
	for _, d := range draw(t, stops) {
		var halts []days.Trouble
		for _, tr := range d.Plan {
			if tr["kind"] == "mach_halt" {
				halts = append(halts, tr)
			}
		}
		if len(halts) < 2 || number(halts[0], "at") < 0.5 || number(halts[0], "at") > 1.5 {
			t.Fatalf("%s: got stops %v, want the first between 0.5 s and 1.5 s, and more", d.Name, halts)
		}
		if strings.HasPrefix(d.Label, "stops/groups") {
			continue
		}
		for i, h := range halts {
			n, gap := int(number(h, "x")), number(h, "gap_s")
			if n > entries/2 && n < entries && entries-n != n {
				uneven++
			}
			if d.Label == "stops/singly" && (n != 1 || gap < 0.4 || gap > 2) || d.Label == "stops/moment" && n != entries {
				t.Errorf("%s: got stop %v", d.Name, h)
			}
			back := number(h, "at") + float64((entries-1)/n)*gap + downSeconds
			if i+1 < len(halts) && (number(halts[i+1], "at") < back || number(halts[i+1], "at") > back+1.02) {
				t.Errorf("%s: got the next stop at %g, want it within 1 s after the return at %g", d.Name, number(halts[i+1], "at"), back)
			}
		}
		if d.Label == "stops/beside/leave" && len(d.Plan) != 2*len(halts) || d.Label == "stops/under/flood" && len(d.Faults) != len(halts) {
			t.Errorf("%s: got %v, want one trouble for each stop", d.Name, d)
		}
	}
	if uneven == 0 {
		t.Error("got no groups of unequal size")
	}
}

func TestDrawErrors(t *testing.T) {
	s, kinds := site(t)
	for _, w := range []days.Options{{Seeds: 1, Shapes: []string{"no"}}, {Seeds: 1, Only: []string{"no"}}, {Seeds: 1, Stop: "mach_halt", Under: []string{"no"}}, {}} {
		if all, err := s.Draw(kinds, w); err == nil {
			t.Errorf("%+v: got %d days, want an error", w, len(all))
		}
	}
}

// edited returns the decoded site file after a deployment.
func edited(t *testing.T, site, name string) map[string]any {
	t.Helper()
	text, err := days.EditSite([]byte(site), name)
	if err != nil {
		t.Fatal(err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if _, err := days.ParseSite(text); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	return tree
}

func TestDeploymentsScaleNumbers(t *testing.T) {
	for name, want := range map[string]string{
		"slow-moves":   "prefill_tokens_per_ms:28.4",
		"small-memory": "kv_tokens:125", "large-memory": "kv_tokens:8008", "slow-reading": "prefill_tokens_per_ms:14.2", "fast-reading": "prefill_tokens_per_ms:127.8",
		"few-connections": "conn_cap:25", "many-connections": "conn_cap:400", "short-bounds": "drain_ms:1500 grace_s:6", "long-bounds": "drain_ms:4000 grace_s:16",
		"thin-store": "reads_per_s:10 writes_per_s:2",
	} {
		if got := fmt.Sprint(edited(t, siteText, name)); !strings.Contains(got, want) {
			t.Errorf("%s: want %s in %s", name, want, got)
		}
	}
}

func TestEveryDeploymentChangesTheSite(t *testing.T) {
	var before map[string]any
	if err := toml.Unmarshal([]byte(derivedSite), &before); err != nil {
		t.Fatal(err)
	}
	for _, name := range days.Deployments() {
		if fmt.Sprint(edited(t, derivedSite, name)) == fmt.Sprint(before) {
			t.Errorf("%s: got an unchanged site file", name)
		}
	}
}

// A derived deployment depends only on its seed, lists its changes in the first line, and is a
// valid site file.
func TestDerivedDeployments(t *testing.T) {
	seen := map[string]bool{}
	for seed := range 40 {
		name := fmt.Sprintf("derived-%d", seed)
		text, err := days.EditSite([]byte(derivedSite), name)
		if err != nil {
			t.Fatal(err)
		}
		again, err := days.EditSite([]byte(derivedSite), name)
		if err != nil || !bytes.Equal(text, again) {
			t.Errorf("%s: got different texts for one seed (%v)", name, err)
		}
		head, rest, _ := strings.Cut(string(text), "\n")
		changes, ok := strings.CutPrefix(head, "# "+name+": ")
		if got, want := strings.Count(changes, ",")+1, 3-2*(seed%2); !ok || got != want {
			t.Errorf("%s: got %d changes in %q, want %d", name, got, head, want)
		}
		if seen[rest] {
			t.Errorf("%s: got the same text as for another seed: %s", name, head)
		}
		seen[rest] = true
		if _, err := days.ParseSite(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, bad := range []string{"derived-", "derived-x", "derived--1"} {
		if _, err := days.EditSite([]byte(derivedSite), bad); err == nil || !strings.Contains(err.Error(), "derived-SEED") {
			t.Errorf("%s: got %v, want an error that names the deployments", bad, err)
		}
	}
}

// derivedSite has all parameters that a derived deployment may change.
var derivedSite = strings.Replace(siteText, "kv_tokens = 1001,", "kv_tokens = 1001, step_ms = 5.55, link_mbps = 370000.0, setup_ms = 4.0, report_lag_ms = 200.0, events_lag_ms = 400.0, batch = 64,", 1) + `
[[classes]]
name = "chat"
things = 327
skew = 0.3
[classes.stream]
prompt_tokens = { mean = 580.0, max = 7900.0 }
chain = [{ tokens = { mean = 2520.0, max = 6290.0 }, things = 4 }, { tokens = { mean = 6100.0, max = 18000.0 }, things = 327, skew = 0.3, own = true }]
[[traffic]]
mix = { chat = 72.2 }
shape = { swing = 0.27 }
`

func TestDeploymentsSetEntryCount(t *testing.T) {
	for name, want := range map[string]int{"one-entry": 1, "twelve-entries": 12} {
		text, err := days.EditSite([]byte(siteText), name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := days.ParseSite(text)
		if err != nil || s.EntryCount() != want {
			t.Errorf("%s: got %d entries, %v", name, s.EntryCount(), err)
		}
		if !strings.Contains(fmt.Sprint(s.Machines), "app:llm") {
			t.Errorf("%s: got %v, want the machines with an app unchanged", name, s.Machines)
		}
	}
}

func TestOneHall(t *testing.T) {
	tree := edited(t, siteText, "one-hall")
	if zones := tree["zones"].([]any); len(zones) != 1 {
		t.Errorf("got zones %v, want 1", zones)
	}
	if got := fmt.Sprint(tree); strings.Contains(got, "zone:b") || !strings.Contains(got, "zone:a") {
		t.Errorf("got a reference to the removed zone: %s", got)
	}
	if weight := tree["goal"].(map[string]any)["zone"]; weight != 0.0 {
		t.Errorf("got zone weight %v, want it unchanged", weight)
	}
}

func TestWriteEditedCopiesBenchFiles(t *testing.T) {
	from, to := t.TempDir(), t.TempDir()
	path := filepath.Join(from, "s.toml")
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(from, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("s.toml", siteText)
	write("wire.json", "{}")
	if _, err := days.WriteEdited(path, to, []string{"one-entry"}); err == nil {
		t.Error("got no error without CUT next to the site file")
	}
	write("CUT", "9 x\n")
	out, err := days.WriteEdited(path, to, []string{"one-entry", "thin-store"})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"s.toml", "wire.json", "CUT"} {
		if _, err := os.Stat(filepath.Join(filepath.Dir(out), name)); err != nil {
			t.Error(err)
		}
	}
	if _, err := days.WriteEdited(path, to, []string{"no-such"}); err == nil || !strings.Contains(err.Error(), "one-hall") {
		t.Errorf("got %v, want an error that names the deployments", err)
	}
}

const (
	intactOut = `built in 0.0 s; 1 lines in 1 files
day                  own/srv  score  worth served refused failed  weakest part
unk                    17/15   1.00  0.929  0.989   0.000  0.013  worst class 0.90; prices 0.046
`
	brokenOut = `day                  own/srv  score  worth served refused failed  weakest part
early                  17/15   0.00 -0.063  0.985   0.006  0.009  worst class 0.90; prices 0.107  BROKEN: LOST 4 (else 0.95)
rules broken: LOST 4, DRAIN 1
`
)

func TestParseResult(t *testing.T) {
	r, err := days.ParseResult(intactOut)
	if want := (days.Result{Worth: 0.929, Served: 0.989, Failed: 0.013}); err != nil || r != want {
		t.Errorf("got %+v, %v, want %+v", r, err, want)
	}
	r, err = days.ParseResult(brokenOut)
	if want := (days.Result{Worth: -0.063, Served: 0.985, Refused: 0.006, Failed: 0.009, BrokenRules: "LOST 4, DRAIN 1"}); err != nil || r != want {
		t.Errorf("got %+v, %v, want %+v", r, err, want)
	}
	r, err = days.ParseResult(strings.Split(brokenOut, "rules broken")[0])
	if err != nil || r.BrokenRules != "LOST 4" {
		t.Errorf("without the line of broken rules: got %+v, %v", r, err)
	}
	if _, err = days.ParseResult("built in 0.0 s\nbench: the day can't be read\n"); err == nil || !strings.Contains(err.Error(), "can't be read") {
		t.Errorf("got %v, want an error with the last line", err)
	}
}

// A shell script with the bench's output format replaces the bench.
func TestPlayAllStoresOutputAndPassesSeed(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "bench")
	script := "#!/bin/sh\ncase $3 in *flood-alone-2*) echo 'given up'; exit 1;; esac\necho \"$@\"\ncat <<'E'\n" + brokenOut + "E\n"
	if err := os.WriteFile(program, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	all := draw(t, days.Options{Seed: 1, Seeds: 3, Shapes: []string{"alone"}, Only: []string{"flood"}})
	plays := days.Bench(program).PlayAll(t.Context(), "s.toml", dir, all, 2, "because")
	if len(plays) != 3 || plays[0].BrokenRules != "LOST 4, DRAIN 1" || plays[1].Err == nil || plays[2].Err != nil {
		t.Fatalf("%+v", plays)
	}
	out, err := os.ReadFile(plays[2].Path + ".out")
	if err != nil || !strings.Contains(string(out), "run s.toml "+plays[2].Path+" --no-cpu --jobs 1 --seed 3 --why because: flood-alone-3") {
		t.Errorf("%v: %s", err, out)
	}
}

func TestWriteReport(t *testing.T) {
	day := func(label string, r days.Result, err error) days.PlayedDay {
		return days.PlayedDay{Day: days.Day{Label: label, Seed: 5}, Path: "d.toml", Result: r, Err: err}
	}
	intact, unplayed := day("b", days.Result{Worth: 0.5}, nil), day("c", days.Result{}, errors.New("given up"))
	bad := day("a", days.Result{Worth: 0.25, BrokenRules: "LOST 4"}, nil)
	for _, tc := range []struct {
		plays  []days.PlayedDay
		broken bool
		ok     bool
	}{{[]days.PlayedDay{intact}, false, true}, {[]days.PlayedDay{intact, unplayed}, false, false}, {[]days.PlayedDay{intact, bad, unplayed}, true, false}} {
		var b bytes.Buffer
		err := days.WriteReport(&b, tc.plays, "bench run s.toml")
		if errors.Is(err, days.ErrRulesBroken) != tc.broken || (err == nil) != tc.ok {
			t.Errorf("%v: %s", err, b.String())
		}
		if tc.broken && !(strings.Contains(b.String(), "LOST 4: bench run s.toml d.toml --no-cpu --seed 5") && strings.Contains(b.String(), "given up") && strings.Contains(b.String(), "2      1  0.375")) {
			t.Errorf("want the command that runs the day again, the reason of the day without a result, and the mean 0.375:\n%s", b.String())
		}
	}
}
