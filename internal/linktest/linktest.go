// Package linktest has the link of package proxy for tests.
package linktest

import (
	"math"
	"testing"

	"github.com/weldfall/weldfall/internal/proxy"
)

// Direction is the way that bytes go on a connection.
type Direction = proxy.Direction

// The ways of a connection: from the end that dialed, to it, and both.
const (
	ToTarget   = proxy.ToTarget
	FromTarget = proxy.FromTarget
	Both       = proxy.Both
)

// Link passes connections on to an address.
type Link struct{ *proxy.Link }

// New returns a link to target that lasts as long as the test.
func New(t testing.TB, target string) *Link {
	t.Helper()
	l, err := proxy.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return &Link{l}
}

// Silence makes the connections that are open now silent.
func (l *Link) Silence(w Direction) { l.Link.Silence(w, math.MaxInt) }
