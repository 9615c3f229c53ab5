package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/weldfall/weldfall/internal/crowd"
	"github.com/weldfall/weldfall/internal/fleettest"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 100
	// crowdMemoryMB is the memory of the machine by the settings of an entry under a crowd.
	crowdMemoryMB = 64
	// crowdBodyLimit is the limit on a body in the settings, in bytes.
	crowdBodyLimit = 1 << 20
	// otherDescriptors is the most that an entry may have open beside those of the crowd.
	otherDescriptors = 64
	// headCrowdSize is the number of connections of a crowd that sends heads, and crowdHeadLimit about
	// how much each sends, in bytes.
	headCrowdSize, crowdHeadLimit = 200, 60_000
)

// Guards against an entry that runs out of memory or descriptors, or answers nobody else, while many
// clients send bodies that never end, or that are far over the limit.
func TestCrowdOutsideTheLimitsEndsNoEntry(t *testing.T) {
	testCrowds(t, crowdSize, crowd.Forms(crowdBodyLimit))
}

// Guards against an entry that runs out of memory while many clients send heads that never end.
func TestCrowdOfHeadsEndsNoEntry(t *testing.T) {
	testCrowds(t, headCrowdSize, crowd.Heads(crowdHeadLimit))
}

// testCrowds checks that an entry lives within its memory and descriptors under a crowd of each form, and
// answers an ordinary request afterwards.
func testCrowds(t *testing.T, size int, forms []crowd.Form) {
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) {
			f := fleettest.Start(t, fleettest.Spec{
				Entries: 1, Services: 1, Direct: true, EntryFile: fmt.Sprintf("memory_mb = %d\n", crowdMemoryMB),
				Fleet: fmt.Sprintf("[limits]\nbody_bytes = %d\n", crowdBodyLimit),
			})
			e := f.Entries[0]
			c := crowd.Start(t, e.CallerAddr, size, form, func(int) string {
				return fmt.Sprintf("POST /services/desk/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", fleettest.Key("planning", "ws0"))
			})
			c.Wait()
			descriptors, err := crowd.Descriptors(e.Pid())
			if err != nil {
				t.Errorf("got %v, want an entry that lives", err)
			}
			held := int(e.MetricSum("weldfall_request_bodies_bytes"))
			ordinary := service(f, "/ordinary")
			ordinary.body = strings.Repeat("x", crowdBodyLimit/8)
			if got := ordinary.send(); got.status != http.StatusOK {
				t.Errorf("ordinary request: got status %d %q by %v, want 200", got.status, got.body, got.err)
			}
			if e.Exited() {
				t.Fatal("got an end of the entry, want an entry that lives")
			}
			peak := e.PeakMemory()
			t.Logf("%d KiB at the peak, %d KiB of bodies held, %d descriptors", peak>>10, held>>10, descriptors)
			if peak > crowdMemoryMB<<20 {
				t.Errorf("got %d MiB at the peak, want at most %d", peak>>20, crowdMemoryMB)
			}
			if descriptors > size+otherDescriptors {
				t.Errorf("got %d open descriptors, want at most %d", descriptors, size+otherDescriptors)
			}
		})
	}
}
