package origin_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines/origin"
)

func record(request, version string) origin.Record {
	return origin.Record{Key: origin.NewKey("ws", request), Workspace: 1, Service: 3, Call: 7, Attempt: 1, Version: version, TTL: 1000}
}

// Records must survive a message. Times are rounded up, so that a record does not end
// before its stream.
func TestRecordsSurviveAMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []origin.Record
		for range rapid.IntRange(0, origin.MaxPacked).Draw(t, "records") {
			want = append(want, origin.Record{
				Key: origin.NewKey("ws", rapid.String().Draw(t, "request")), Workspace: rapid.Uint32().Draw(t, "workspace"),
				Call: rapid.Uint32().Draw(t, "call"), Attempt: rapid.Byte().Draw(t, "attempt"),
				Service: rapid.Uint32().Draw(t, "service"), Version: rapid.StringMatching(`[a-z0-9.]{1,40}`).Draw(t, "version"), TTL: clock.Millis(rapid.IntRange(1, 60_000).Draw(t, "tens")) * 10,
			})
		}
		got, err := origin.Unpack(origin.Pack(want))
		if err != nil || !slices.Equal(got, want) {
			t.Fatalf("got %v, error %v, want %v", got, err, want)
		}
	})
	r := record("a", "v1")
	r.TTL = 1001
	if got, _ := origin.Unpack(origin.Pack([]origin.Record{r})); len(got) != 1 || got[0].TTL < r.TTL {
		t.Errorf("got %v for a TTL of %d ms, want no shorter one", got, r.TTL)
	}
}

// A message of a peer that is malformed must be rejected and never end the process.
func TestMalformedRecordsAreRejected(t *testing.T) {
	good := origin.Pack([]origin.Record{record("a", "v1")})
	tooMany := make([]origin.Record, origin.MaxPacked+1)
	for i := range tooMany {
		tooMany[i] = record("a", "v1")
	}
	for name, text := range map[string]string{
		"no base64":      "!",
		"truncated":      good[:len(good)-2],
		"fixed part":     good[:20],
		"too many":       origin.Pack(tooMany),
		"much too long":  strings.Repeat("A", 1<<20),
		"without a text": strings.Repeat("A", 40),
	} {
		if got, err := origin.Unpack(text); err == nil {
			t.Errorf("%s: got %v, want an error", name, got)
		}
	}
	rapid.Check(t, func(t *rapid.T) { _, _ = origin.Unpack(rapid.StringMatching(`[A-Za-z0-9+/]{0,200}`).Draw(t, "text")) })
}

// Another workspace or request ID gives another key, also if their texts together are the same.
func TestKeysAreOfOneStream(t *testing.T) {
	seen := map[origin.Key]string{}
	for _, parts := range [][2]string{{"ws", "a"}, {"ws", "b"}, {"wsa", ""}, {"", "wsa"}, {"w", "sa"}, {"ws2", "a"}, {"ws", "2a"}} {
		k := origin.NewKey(parts[0], parts[1])
		if other, ok := seen[k]; ok {
			t.Errorf("got the key of %s for %q, want another one", other, parts)
		}
		seen[k] = strings.Join(parts[:], "|")
	}
}
