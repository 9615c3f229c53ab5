package engines_test

import (
	"testing"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
)

// An engine that is full may leave what comes without a sign, whatever it is.
func TestAnEngineIsQuietThatGivesNoSignWithASlotFree(t *testing.T) {
	const sent, now clock.Millis = 1000, 1300
	for name, tc := range map[string]struct {
		before func(e *engines.Engine)
		want   bool
	}{
		"never heard":                   {func(*engines.Engine) {}, true},
		"heard before":                  {func(e *engines.Engine) { e.RecordActivity(sent - 1) }, true},
		"heard since":                   {func(e *engines.Engine) { e.RecordActivity(sent + 1) }, false},
		"a slot free, as told before":   {func(e *engines.Engine) { e.RecordLoad(engines.Load{Running: 4}, sent-1) }, true},
		"full, as told before":          {func(e *engines.Engine) { e.RecordLoad(engines.Load{Running: 8, Waiting: 4}, sent-1) }, false},
		"told others its load since":    {func(e *engines.Engine) { e.RecordLoad(engines.Load{}, sent+1) }, false},
		"full of this entry's requests": {func(e *engines.Engine) { start(e, 9, sent-10) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(1)
			e := b.Get(info(0).ID)
			e.BeginRequest(sent)
			tc.before(e)
			if got := e.SilentSince(sent, now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// An engine is asked for its health once a second at most, whatever waits there.
func TestAnEngineIsAskedForItsHealthNowAndThen(t *testing.T) {
	e := newBook(1).Get(info(0).ID)
	for _, tc := range []struct {
		now  clock.Millis
		want bool
	}{{1000, true}, {1001, false}, {1999, false}, {2000, true}, {2500, false}} {
		if got := e.AllowHealthCheck(tc.now); got != tc.want {
			t.Errorf("at %d: got %v, want %v", tc.now, got, tc.want)
		}
	}
}

func start(e *engines.Engine, n int, now clock.Millis) {
	for range n {
		e.BeginRequest(now)
	}
}
