package bodies_test

import (
	"testing"
	"time"
)

// Guards against an ordinary upload over a slow link that is refused for small bodies that stand
// still: new ones take its place while older ones of theirs keep theirs.
func TestBodyThatArrivesIsReadBesideSmallOnesThatStandStill(t *testing.T) {
	a, _ := newAccount(memory)
	const slowSize = 16 << 10
	var still []*upload
	stop := func() {
		u := begin(a)
		u.write(slowSize)
		still = append(still, u)
	}
	defer func() {
		for _, u := range still {
			_ = u.finish()
			u.body.Release()
		}
	}()
	// The crowd fills the budget, and one of them comes again for each that was refused.
	for range 2 * budget / slowSize {
		stop()
	}
	ordinary := begin(a)
	result := make(chan error, 1)
	go func() {
		for range 40 {
			ordinary.write(10 << 10)
			time.Sleep(10 * time.Millisecond)
		}
		result <- ordinary.finish()
	}()
	for {
		select {
		case err := <-result:
			if err != nil {
				t.Errorf("body of 400 KiB at 1 MB/s: got %v, want it read", err)
			}
			ordinary.body.Release()
			return
		default:
			stop()
			time.Sleep(time.Millisecond)
		}
	}
}
