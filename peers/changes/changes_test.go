package changes_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/weldfall/weldfall/peers/changes"
)

func change(key string, revision int64) changes.Change {
	return changes.Change{Key: key, Value: []byte(key), Revision: revision}
}

func position(revision int64) changes.Position { return changes.Position{Epoch: 1, Revision: revision} }

// filledLog returns a log that was reset at revision 10 and has changes up to 20.
func filledLog() *changes.Log {
	l := &changes.Log{}
	l.Reset(position(10))
	l.Append(13, []changes.Change{change("a", 11), change("b", 13)})
	l.Append(20, []changes.Change{change("a", 18)})
	return l
}

func TestSinceReturnsLaterChanges(t *testing.T) {
	for name, tc := range map[string]struct {
		since changes.Position
		want  []string
	}{
		"since the reset":     {position(10), []string{"b 13", "a 18"}},
		"between two changes": {position(13), []string{"a 18"}},
		"no changes since":    {position(18), nil},
		"latest position":     {position(20), nil},
		"later than known":    {position(21), nil},
		"before the reset":    {position(9), nil},
		"earlier epoch":       {changes.Position{Revision: 13}, nil},
		"later epoch":         {changes.Position{Epoch: 2, Revision: 13}, nil},
		"zero position":       {changes.Position{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			cs, to, ok := filledLog().Since(tc.since)
			var got []string
			for _, c := range cs {
				got = append(got, fmt.Sprint(c.Key, " ", c.Revision))
			}
			if !slices.Equal(got, tc.want) || ok != (tc.want != nil) {
				t.Errorf("got %v, %v, want %v", got, ok, tc.want)
			}
			if ok && to != position(20) {
				t.Errorf("got position %v, want %v", to, position(20))
			}
		})
	}
	if _, _, ok := (&changes.Log{}).Since(changes.Position{}); ok {
		t.Error("got changes from an empty log")
	}
	l := filledLog()
	l.Reset(position(30))
	if _, _, ok := l.Since(position(20)); ok {
		t.Error("got changes across a reset, want none: those in between are not known")
	}
	l = filledLog()
	l.Invalidate()
	if _, _, ok := l.Since(position(13)); ok {
		t.Error("got changes of an invalid list")
	}
	if _, ok := l.Position(); ok {
		t.Error("got a position of an invalid list")
	}
}

// A log that dropped a change must not return the rest as if it were complete.
func TestAnOverflowingLogForgetsOldPositions(t *testing.T) {
	l := filledLog()
	for i := range int64(changes.MaxChanges) {
		l.Append(21+i, []changes.Change{change(fmt.Sprint("k", i), 21+i)})
	}
	if _, _, ok := l.Since(position(13)); ok {
		t.Error("got changes since 13, want none: the one at 18 was dropped")
	}
	cs, _, ok := l.Since(position(18))
	if got, want := len(cs), changes.MaxChanges; !ok || got != want {
		t.Errorf("got %d changes since 18, want %d", got, want)
	}
}

func TestTheLatestPendingDeltaIsTakenOnce(t *testing.T) {
	l := &changes.Log{}
	if _, ok := l.TakePending(); ok || l.HasPending() {
		t.Error("got a delta from an empty log")
	}
	l.SetPending(changes.PeerDelta{Peer: "edge-2", ValidAt: 5})
	l.SetPending(changes.PeerDelta{Peer: "edge-3", ValidAt: 6})
	if !l.HasPending() {
		t.Error("got no pending delta, want one")
	}
	if got, ok := l.TakePending(); !ok || got.Peer != "edge-3" || got.ValidAt != 6 {
		t.Errorf("got %+v, %v, want the later of two", got, ok)
	}
	if _, ok := l.TakePending(); ok || l.HasPending() {
		t.Error("got a delta twice")
	}
}
