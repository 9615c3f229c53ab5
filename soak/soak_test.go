package soak_test

import (
	"os"
	"testing"
	"time"

	"github.com/weldfall/weldfall/internal/fleettest"
	"github.com/weldfall/weldfall/soak"
)

func TestMain(m *testing.M) { fleettest.Main(m) }

func config(t *testing.T, seed uint64) soak.Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return soak.Config{Seed: seed, Length: 18 * time.Second, Gates: 3, Binary: self, Env: []string{fleettest.MainEnv + "=1"}, Dir: t.TempDir()}
}

// Seeds that once failed stay here, each with its cause.
func TestSeedsKeepThePromises(t *testing.T) {
	for name, seed := range map[string]uint64{"first": 1, "second": 2, "all gates stopped in turn": 3, "store deaf while a key is revoked": 30007} {
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
