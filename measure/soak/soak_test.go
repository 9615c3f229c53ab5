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

// Each seed guards against a fault that it once showed, named in its comment.
func TestKeptSeeds(t *testing.T) {
	for name, kept := range map[string]struct {
		seed uint64
		play soak.Play
	}{
		"first":                                {1, soak.Even},
		"second":                               {2, soak.Even},
		"all gates stopped in turn":            {3, soak.Even},
		"empty watches while a key is revoked": {30007, soak.Even},
		// The longest of a few responses was taken as the maximum for the next one.
		"responses that outlast a stop": {916, soak.Planned},
		// Every response of the store had to be complete within 0.7 s, whatever its size.
		"a config that grows over a slow link": {1, soak.Growing},
		// Incarnations of an engine were not distinguished.
		"engines that restart and foreign entries": {7, soak.Restarting},
		// The check assumed that with a light load every engine receives requests.
		"engines that restart under a light load": {91003, soak.Restarting},
		// Gates lost the record of engines that a request had crashed.
		"requests that crash engines": {100007, soak.Ending},
		// Requests that differed in all but a part of their prompts crashed engine after engine.
		"requests that share a part which crashes engines": {1, soak.Sharing},
		// The soak sent SIGHUP to a gate that did not catch signals yet, and the steady
		// clock of the soak started below zero.
		"a store restored from older copies, and suspended instances": {130003, soak.Copying},
		// A watch that was sent during a silence received nothing for its whole duration.
		"a store that is silent for short times": {12, soak.Hushing},
		// A restarted process counted its retries from zero, and counted requests only when
		// it had read them.
		"gates that are killed or paused while engines fail": {2, soak.Failing},
		// The token rate of one route was applied to a slower one.
		"streams slower than others of their service": {913, soak.Planned},
		// A response that ended with its engine's connection, also inside an event, was
		// passed on as complete.
		"responses that end with their connections": {2, soak.Breaking},
		// A stream continued at any software version, in a response and over a caller's
		// attempts.
		"releases under streams that callers resume": {1, soak.Releasing},
		// A stream without chunks was passed on as complete though its engine, which had said that it
		// leaves, ended in the middle.
		"engines that leave and end under streams": {2, soak.Leaving},
		// Engines have little room: requests wait at gates and are refused there.
		"engines with little room": {1, soak.Crowding},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, config(t, kept.seed, kept.play))
		})
	}
}

// Guards against responses that are cut or refused after they ran, engines that are struck, and
// requests that are held back because sound engines fall silent, beside stops, reloads and
// changes of settings.
func TestSilentEnginesLoseNoRequests(t *testing.T) {
	for name, seed := range map[string]uint64{
		// A response was cut by a reset, as its caller pipelined the next request.
		"requests behind a response that ends its connection": 2,
		// A stream that was admitted late in a stop had no room for a silence.
		"silences late in a stop": 8,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, config(t, seed, soak.Silent))
		})
	}
}

// Guards against streams of two software versions that are resumed at gates which are cut off
// while engines of the next version join.
func TestGatesOutOfStepJoinNoVersions(t *testing.T) {
	for name, seed := range map[string]uint64{
		"one gate cut off":                     8,
		"half of the gates that are not heard": 4,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := config(t, seed, soak.Releasing)
			cfg.Length, cfg.Gates = 20*time.Second, 4
			check(t, cfg)
		})
	}
}

// check fails the test if a run breaks a guarantee or serves nothing.
func check(t *testing.T, cfg soak.Config) {
	t.Helper()
	r, err := soak.Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		t.Errorf("seed %d, play %s: %s", cfg.Seed, cfg.Play, b)
	}
	if r.Served == 0 {
		t.Errorf("got no request served of %d", r.Requests)
	}
}
