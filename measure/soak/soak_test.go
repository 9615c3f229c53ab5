package soak_test

import (
	"os"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/measure/soak"
)

func TestMain(m *testing.M) { fleettest.Main(m) }

func config(t *testing.T, seed uint64, play soak.Play) soak.Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return soak.Config{Seed: seed, Play: play, Length: 18 * time.Second, Gates: 3, Binary: self, Env: []string{fleettest.MainEnv + "=1"}, Dir: t.TempDir()}
}

// Seeds that once failed stay here, each with its cause.
func TestSeedsKeepThePromises(t *testing.T) {
	for name, kept := range map[string]struct {
		seed uint64
		play soak.Play
	}{
		"first":                             {1, soak.Even},
		"second":                            {2, soak.Even},
		"all gates stopped in turn":         {3, soak.Even},
		"store deaf while a key is revoked": {30007, soak.Even},
		// The longest of a few answers stood for what the next might take.
		"answers that outlast a stop": {916, soak.Planned},
		// A whole answer of the store had 0.7 s, whatever its size.
		"settings that grow over a slow link": {1, soak.Growing},
		// Lives of an engine were not told apart.
		"engines that start again and foreign entries": {7, soak.Restarting},
		// The soak took it that a light load leaves no engine out.
		"engines that start again under a light load": {91003, soak.Restarting},
		// Entries forgot what a request had done to engines.
		"requests that end engines": {100007, soak.Ending},
		// The soak had a gate read its settings again that did not catch signals yet, and its
		// steady clock began before zero.
		"a store that comes back from older copies, and suspended instances": {130003, soak.Copying},
		// A watch that was sent into a silence heard nothing for its whole wait.
		"a store that falls silent for moments": {12, soak.Hushing},
		// A process counted its repeats from nothing, and requests when it read them.
		"gates that are killed or stand still while engines fail": {2, soak.Failing},
		// The pace of one route stood for that of a slower one.
		"streams slower than others of their service": {913, soak.Planned},
		// An answer that ended with its engine's connection, also inside an event, was told as
		// complete.
		"answers that end with their connections": {2, soak.Breaking},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), config(t, kept.seed, kept.play))
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				t.Errorf("seed %d, play %s: %s", kept.seed, kept.play, b)
			}
			if r.Served == 0 {
				t.Errorf("got no request served of %d", r.Requests)
			}
		})
	}
}
