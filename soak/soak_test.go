package soak_test

import (
	"os"
	"testing"
	"time"

	"github.com/weldfall/weldfall/commands"
	"github.com/weldfall/weldfall/soak"
)

// mainEnv makes the test binary run as weldfall.
const mainEnv = "WELDFALL_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func config(t *testing.T, seed uint64) soak.Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return soak.Config{Seed: seed, Length: 15 * time.Second, Gates: 3, Binary: self, Env: []string{mainEnv + "=1"}, Dir: t.TempDir()}
}

// Seeds that once failed stay here, each with its cause.
func TestSeedsKeepThePromises(t *testing.T) {
	for name, seed := range map[string]uint64{"first": 1, "second": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), config(t, seed))
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Broken {
				t.Errorf("seed %d: %s", seed, b)
			}
			if r.Served == 0 {
				t.Errorf("got no request served of %d", r.Requests)
			}
		})
	}
}
