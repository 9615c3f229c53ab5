package gate

import (
	"context"
	"io"
	"net/http"

	"github.com/weldfall/weldfall/callers"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/gate/relay"
	"github.com/weldfall/weldfall/table"
)

const (
	// discardLimit is the maximum number of bytes that are read from a response that is
	// discarded.
	discardLimit = 64 << 10
	// discardTimeout is how long the rest of such a response may take.
	discardTimeout clock.Millis = 100
	// minStreamSilence is the minimum pause after which another engine is looked for to continue
	// a resumable stream: less than the two seconds after which callers abandon a stream.
	minStreamSilence clock.Millis = 1000
	// streamSilencePauses is the pause allowed to a resumable stream as a multiple of the
	// route's pause goal. Callers abandon a stream after eight.
	streamSilencePauses = 2.5
)

// discardRest reads the rest of a response, so that its connection can be reused.
func discardRest(a *upstream.Response) {
	a.EndOnSilence()
	a.SetReadTimeout(discardTimeout)
	// If the rest cannot be read, the connection is closed.
	_, _ = io.CopyN(io.Discard, a, discardLimit)
}

// relay passes the response of an engine on to the caller.
func (g *Gate) relay(ctx context.Context, c *call, s *silence, a *upstream.Response) attempt.Outcome {
	x := exchange{g, c, s.with, s}
	o := c.reply.Relay(ctx, x, a.Response, a)
	if a, ok := o.(attempt.Answered); ok && a.End == framing.Complete {
		c.progress.RecordRest()
	}
	return o
}

// exchange is a call's exchange with one incarnation of an engine.
type exchange struct {
	g    *Gate
	c    *call
	with engines.Info
	s    *silence
}

var _ relay.Exchange = exchange{}

// WantsStream implements relay.Exchange.
func (x exchange) WantsStream() bool { return x.c.route.Kind == table.Stream }

// TimeLeft implements relay.Exchange.
func (x exchange) TimeLeft() clock.Millis { return x.c.timeLeft(x.g.clk.Now()) }

// ReadTimeout implements relay.Exchange.
func (x exchange) ReadTimeout() clock.Millis { return x.s.streamTimeout(x.TimeLeft()) }

// streamSilence returns the pause of a resumable stream after which another engine is looked
// for to continue it.
func streamSilence(r *table.Route) clock.Millis {
	return max(minStreamSilence, clock.Millis(streamSilencePauses*float64(r.PauseGoal)))
}

// OnRead implements relay.Exchange.
func (x exchange) OnRead() { x.g.recordActivity(x.with.Incarnation(), "") }

// OnContent implements relay.Exchange.
func (x exchange) OnContent() { x.s.recordProgress() }

// OnUnbuffered implements relay.Exchange.
func (x exchange) OnUnbuffered() { x.g.durations.RecordPassThrough(x.c.route.Name) }

// BeforeEvents implements relay.Exchange. The first event binds the stream to the version
// of its engine.
func (x exchange) BeforeEvents(ctx context.Context) error {
	if err := x.checkVersion(); err != nil {
		return err
	}
	if !x.c.reply.Started() {
		x.g.awaitOrigin(ctx, x.c)
	}
	if x.c.versionBasis == "" && x.with.Version != "" {
		x.c.version, x.c.versionBasis = x.with.Version, byReply
	}
	return nil
}

// OnEvents implements relay.Exchange.
func (x exchange) OnEvents(events int) {
	x.c.events = events
	if now := x.g.clk.Now(); x.c.progress.Record(events, now) {
		x.g.learnPrefill(x.c, now)
	}
}

// replyTo returns the response to a call, which has not begun.
func (g *Gate) replyTo(c *call) *relay.Reply {
	return relay.New(relay.Config{W: c.w, R: c.r, Clock: g.clk, SetHeaders: func(to, from http.Header) {
		if from != nil {
			g.copyHead(to, from)
		}
		if g.shutdown.started() || callers.Full(c.r.Context()) {
			to.Set("Connection", "close")
		}
		c.limitWrite(g.clk.Now())
	}})
}

// copyHead copies the headers of the engine's response.
func (g *Gate) copyHead(to, from http.Header) {
	dropped := connectionNames(from)
	for k, v := range from {
		if !hopByHop[k] && !g.internal[k] && !dropped[k] {
			to[k] = v
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		// Without an entry net/http would detect a type from the body.
		to["Content-Type"] = nil
	}
}
