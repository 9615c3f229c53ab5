package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/settings"
)

const deadlineKey = "limits.deadline_ms"

func putDeadline(f *fleettest.Fleet, path string, ms int) {
	f.PutConfig(path, fmt.Sprintf("[limits]\ndeadline_ms = %d\n", ms))
}

// waitInForce waits until every process has the deadline at path, and returns how long the
// slowest took.
func waitInForce(t *testing.T, f *fleettest.Fleet, path string, ms int) clock.Millis {
	t.Helper()
	clk := clock.System()
	for _, p := range f.Processes() {
		if p.Exited() {
			continue
		}
		f.Eventually(fmt.Sprintf("%s has %d", p.Name, ms), func() bool { return p.EffectiveSetting(path, deadlineKey) == float64(ms) })
	}
	return clk.Now()
}

// maxPropagation is the specified bound for a change to take effect everywhere.
const maxPropagation clock.Millis = 4000

func TestChangeTakesEffectEverywhere(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 12, Services: 3, Entries: 3})
	for i := range 5 {
		putDeadline(f, "planning", 50_000+i)
		if took := waitInForce(t, f, "planning", 50_000+i); took > maxPropagation {
			t.Errorf("change %d: got %d ms, want at most %d", i, took, maxPropagation)
		}
	}
	calls := f.PlatformCalls()
	wait(3000)
	if got := float64(f.PlatformCalls()-calls) / 3; got > 10 {
		t.Errorf("got %.0f reads per second from 18 idle processes, want a few", got)
	}
}

func TestSlowPlatformDistributesChanges(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 3, Entries: 2})
	f.SetPlatformMode("slow")
	putDeadline(f, "planning", 41_000)
	waitInForce(t, f, "planning", 41_000)
}

func TestOlderValueIsNotApplied(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 3, Entries: 2})
	putDeadline(f, "planning", 41_000)
	waitInForce(t, f, "planning", 41_000)
	f.SetPlatformMode("stale")
	// Stale responses begin now; the newer value arrived before.
	restarted := f.StartEntry(2)
	f.Entries = append(f.Entries, restarted)
	f.Eventually("a new entry is ready beside a stale platform", restarted.Ready)
	if got := restarted.EffectiveSetting("planning", deadlineKey); got != 41_000.0 {
		t.Errorf("new entry: got %v, want 41000", got)
	}
	f.SetPlatformMode("ok")
	putDeadline(f, "planning", 42_000)
	waitInForce(t, f, "planning", 42_000)
	f.SetPlatformMode("stale")
	putDeadline(f, "planning", 43_000)
	f.SetPlatformMode("down")
	last := f.StartEntry(3)
	f.Entries = append(f.Entries, last)
	f.Eventually("a new entry is ready while the platform is down", last.Ready)
	if got := last.EffectiveSetting("planning", deadlineKey); got != 42_000.0 {
		t.Errorf("entry started during the outage: got %v, want 42000 from its peers", got)
	}
	f.SetPlatformMode("ok")
	waitInForce(t, f, "planning", 43_000)
}

func TestStalePlatformDoesNotRevertValue(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 2, Entries: 1})
	putDeadline(f, "planning", 41_000)
	waitInForce(t, f, "planning", 41_000)
	f.SetPlatformMode("stale")
	putDeadline(f, "planning", 44_000)
	wait(1500)
	for _, p := range f.Processes() {
		if got := p.EffectiveSetting("planning", deadlineKey); got != 41_000.0 {
			t.Errorf("%s: got %v, want 41000 while the platform is stale", p.Name, got)
		}
	}
	f.SetPlatformMode("ok")
	waitInForce(t, f, "planning", 44_000)
}

func TestConcurrentEditsConvergeOnLatestRevision(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 3, Entries: 2})
	done := make(chan int64)
	for op := range 2 {
		go func() {
			var rev int64
			for i := range 20 {
				rev = f.PutConfig("planning", fmt.Sprintf("[limits]\ndeadline_ms = %d\n", 10_000*(op+1)+i))
			}
			done <- rev
		}()
	}
	a, b := <-done, <-done
	want := 10_019
	if f.PutConfig("vigia", "") < max(a, b) {
		t.Fatal("got revisions that go back")
	}
	// The last revision at the platform decides.
	if strings.Contains(f.PlatformValue("config", "planning"), "20019") {
		want = 20_019
	}
	waitInForce(t, f, "planning", want)
}

func TestPartitionCatchesUpAfterHealing(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 4, Entries: 2})
	f.Net.Partition([]string{"entry-1", "engine-1-daemon"}, []string{"entry-0", "engine-0-daemon", "engine-2-daemon", "engine-3-daemon"})
	putDeadline(f, "planning", 45_000)
	f.Net.Heal()
	waitInForce(t, f, "planning", 45_000)
}

func TestInvalidSettingsAreReportedAndLastGoodOnesReachNewProcesses(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 2, Entries: 1})
	putDeadline(f, "planning", 41_000)
	waitInForce(t, f, "planning", 41_000)
	f.PutConfig("planning", "[limits]\ndeadline_ms = \"soon\"\n")
	e := f.Entries[0]
	f.Eventually("problem on the page", func() bool { return strings.Contains(e.Page("/settings"), "planning:2") })
	if !strings.Contains(e.Log(), "msg=settings_invalid") || e.MetricSum("weldfall_settings_invalid_total") == 0 {
		t.Error("got no log line or metric for the invalid settings")
	}
	fresh := f.StartEntry(1)
	f.Entries = append(f.Entries, fresh)
	f.Eventually("new entry", fresh.Ready)
	f.Eventually("last good value", func() bool { return fresh.EffectiveSetting("planning", deadlineKey) == 41_000.0 })
	putDeadline(f, "vigia", 46_000)
	waitInForce(t, f, "vigia", 46_000)
}

func TestLargeTreeKeepsControlBudgetAtStart(t *testing.T) {
	f := fleettest.Start(t, fleettest.Spec{Engines: 2, Entries: 1})
	for i := range 3000 {
		f.PutConfig(fmt.Sprintf("vigia/many%d", i), "[limits]\ndeadline_ms = 5000\n# "+strings.Repeat("x", 200)+"\n")
	}
	f.PutConfig("vigia/many7", "[access]\nkey_sha256 = [\""+settings.HashKey("vigia.many7.secret")+"\"]\n")
	// The daemon must be able to start from its peers alone, without the platform.
	f.Eventually("first entry has the tree", func() bool { return f.Entries[0].EffectiveSetting("vigia/many2999", deadlineKey) == 5000.0 })
	engine := f.StartEngine(2)
	d := f.StartDaemon(engine, "drafting", 2)
	f.Eventually("new daemon", d.Ready)
	wait(4000)
	if got, want := d.MetricSum("weldfall_control_bytes_total"), 25_000.0; got > want {
		t.Errorf("got %.0f control bytes of a daemon in its first 5 s, want at most %.0f", got, want)
	}
	f.SetPlatformMode("down")
	fresh := f.StartEntry(1)
	f.Entries = append(f.Entries, fresh)
	f.SetPlatformMode("ok")
	f.ListInstance(fresh, "live")
	f.SetPlatformMode("down")
	f.Eventually("ready", fresh.Ready)
	q := request{entry: fresh, path: "/v1/chat/completions", key: "vigia.many7.secret", body: chatBody(false, 2, "x")}
	f.Eventually("a missing workspace is fetched", func() bool { return q.send().status == http.StatusOK })
	const seconds = 4
	before := fresh.MetricSum("weldfall_control_bytes_total")
	wait(seconds * 1000)
	if got := (fresh.MetricSum("weldfall_control_bytes_total") - before) / seconds; got > 5000 {
		t.Errorf("got %.0f control bytes per second at the start, want at most 5,000", got)
	}
}
