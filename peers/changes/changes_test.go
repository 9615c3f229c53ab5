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

func place(revision int64) changes.Position { return changes.Position{Epoch: 1, Revision: revision} }

// known is a log of a list that was read at revision 10 and had some changes since.
func known() *changes.Log {
	l := &changes.Log{}
	l.Reset(place(10))
	l.Append(13, []changes.Change{change("a", 11), change("b", 13)})
	l.Append(20, []changes.Change{change("a", 18)})
	return l
}

func TestWhatCameSinceAPlaceIsKnown(t *testing.T) {
	for name, tc := range map[string]struct {
		since changes.Position
		want  []string
	}{
		"from the reading on":        {place(10), []string{"b 13", "a 18"}},
		"from between two":           {place(13), []string{"a 18"}},
		"nothing that counts since":  {place(18), nil},
		"nothing since":              {place(20), nil},
		"from later than is known":   {place(21), nil},
		"from before the reading":    {place(9), nil},
		"from an earlier epoch":      {changes.Position{Revision: 13}, nil},
		"from a later epoch":         {changes.Position{Epoch: 2, Revision: 13}, nil},
		"from a place of an old log": {changes.Position{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			came, to, ok := known().Since(tc.since)
			var got []string
			for _, c := range came {
				got = append(got, fmt.Sprint(c.Key, " ", c.Revision))
			}
			if !slices.Equal(got, tc.want) || ok != (tc.want != nil) {
				t.Errorf("got %v, %v, want %v", got, ok, tc.want)
			}
			if ok && to != place(20) {
				t.Errorf("got them up to %v, want %v", to, place(20))
			}
		})
	}
	if _, _, ok := (&changes.Log{}).Since(changes.Position{}); ok {
		t.Error("got changes of a list that is not known")
	}
	l := known()
	l.Reset(place(30))
	if _, _, ok := l.Since(place(20)); ok {
		t.Error("got changes across a reading, want none: what came between is not known")
	}
	l = known()
	l.Invalidate()
	if _, _, ok := l.Since(place(13)); ok {
		t.Error("got changes of a list that is not so")
	}
	if _, ok := l.Position(); ok {
		t.Error("got a place of a list that is not so")
	}
}

// What no longer fits is not told in part: who knew the list before it asks elsewhere.
func TestALogThatOverflowsTellsNoneTheWorse(t *testing.T) {
	l := known()
	for i := range int64(changes.MaxChanges) {
		l.Append(21+i, []changes.Change{change(fmt.Sprint("k", i), 21+i)})
	}
	if _, _, ok := l.Since(place(13)); ok {
		t.Error("got changes since 13, want none: one of 18 was dropped")
	}
	came, _, ok := l.Since(place(18))
	if got, want := len(came), changes.MaxChanges; !ok || got != want {
		t.Errorf("got %d changes since 18, want %d", got, want)
	}
}

func TestAWordWaitsUntilItIsTaken(t *testing.T) {
	l := &changes.Log{}
	if _, ok := l.TakePending(); ok || l.HasPending() {
		t.Error("got a word of nobody")
	}
	l.SetPending(changes.PeerDelta{Peer: "edge-2", ValidAt: 5})
	l.SetPending(changes.PeerDelta{Peer: "edge-3", ValidAt: 6})
	if !l.HasPending() {
		t.Error("got no word waiting, want one")
	}
	if got, ok := l.TakePending(); !ok || got.Peer != "edge-3" || got.ValidAt != 6 {
		t.Errorf("got %+v, %v, want the later of two", got, ok)
	}
	if _, ok := l.TakePending(); ok || l.HasPending() {
		t.Error("got a word twice")
	}
}
