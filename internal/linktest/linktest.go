// Package linktest provides links of package proxy for tests.
package linktest

import (
	"math"
	"testing"

	"github.com/weldfall/weldfall/internal/proxy"
)

// Direction is a direction of data on a connection.
type Direction = proxy.Direction

// The directions of a connection, as in package proxy.
const (
	ToTarget   = proxy.ToTarget
	FromTarget = proxy.FromTarget
	Both       = proxy.Both
)

// Link forwards connections to a target.
type Link struct{ *proxy.Link }

// New returns a link to target that is closed at the end of the test.
func New(t testing.TB, target string) *Link {
	t.Helper()
	l, err := proxy.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return &Link{l}
}

// Silence silences a direction of all open connections.
func (l *Link) Silence(d Direction) { l.Link.Silence(d, math.MaxInt) }
