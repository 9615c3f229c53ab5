package gate

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/gate/relay"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// call is one request of a caller on its way.
type call struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	id string
	// cancel ends the exchange with the engine, with the cause.
	cancel context.CancelCauseFunc
	// start is when the request's head had been read.
	start clock.Millis
	// expected is what is known of the answer before it begins.
	expected duration.Request
	// takes is how long the answer takes, nil until a stopping process asks. The
	// mu of leave guards it.
	takes *duration.Estimate
	// until is when the request is given up: the earlier of the caller's
	// deadline and the route's timeout.
	until clock.Millis
	// patience is how long the caller waits; zero if it does not say.
	patience  clock.Millis
	table     *table.Table
	route     *table.Route
	service   string
	workspace *table.Workspace
	body      []byte
	// guarded is the call as the guard knows it, nil until it is about to be sent, and
	// alone is true if the latest attempt was sent alone.
	guarded *quarantine.Request
	alone   bool
	// reading is true once the body was asked for, inBody while it is being read.
	reading bool
	inBody  atomic.Bool

	// keys are the beginnings of the prompt that engines may remember.
	keys []uint64
	// tokens is the length of the longest of them.
	tokens int

	// own is how many tokens the prompt ends in that no other request shares.
	own int
	// tried are the engines that were chosen, in order, and sentAt is when the latest was.
	tried  []string
	sentAt clock.Millis
	// ran counts the engines that may have run the request.
	ran int
	// refused counts the engines that said that they did not run it.
	refused int
	// unsent counts the engines that could not be reached.
	unsent int
	// how says by what the latest engine was chosen, kept whether this entry had
	// sent it the prompt before, fetched whether it was told who keeps more of
	// it.
	how     engines.How
	kept    bool
	fetched bool
	// dearer is true if it was not told since a move costs more than to read, and readTime
	// is what reading was known to take, in milliseconds a token.
	dearer   bool
	readTime float64
	load     float64
	mean     float64

	// reply is the answer to the caller.
	reply *relay.Reply
	// events is how many events of a stream came. runFrom is how many had come when the
	// present run of events began, at runAt; zero before the first.
	events  int
	runFrom int
	runAt   clock.Millis
	filter  string
	err     *verdict.Error
	note    string
}

// hasBody reports whether the request has a body.
func (c *call) hasBody() bool { return c.r.Body != nil && c.r.Body != http.NoBody }

// left returns the time until the request is given up.
func (c *call) left(now clock.Millis) clock.Millis { return c.until - now }

// mayHaveRun reports whether any engine may have run the request.
func (c *call) mayHaveRun() bool { return c.ran > 0 }

// verdict is what is known when the request fails now.
func (c *call) verdict() verdict.Verdict {
	if c.mayHaveRun() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// late tells what of a whole answer was late by the route's goals: "first" for
// the first bytes of a stream or all of a plain answer, "pause" for a pause
// between events, or "" for an answer that was on time.
func (c *call) late(now clock.Millis) string {
	if c.route == nil || c.reply.BytesWritten() == 0 {
		return ""
	}
	came := now
	if c.route.Kind == table.Stream {
		came = c.reply.FirstAt()
	}
	switch {
	case c.route.Goal > 0 && came-c.start > c.route.Goal:
		return "first"
	case c.route.PauseGoal > 0 && c.reply.LongestPause() > c.route.PauseGoal:
		return "pause"
	}
	return ""
}

// bound limits the time for which a caller that does not read is waited for.
func (c *call) bound(now clock.Millis) {
	// A connection without deadlines is bounded by the request's context.
	_ = c.rc.SetWriteDeadline(clock.Deadline(max(0, c.left(now)) + writeSlack))
}

// writeSlack is what a caller may take beyond the deadline to read an answer
// that is ready.
const writeSlack clock.Millis = 2000

const millisPerSecond = 1000

// seconds formats d as Retry-After, which takes fractions here.
func seconds(d clock.Millis) string {
	return strconv.FormatFloat(float64(d)/millisPerSecond, 'f', -1, 64)
}
