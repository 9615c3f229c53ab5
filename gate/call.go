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
	// estimate is how long the answer estimate, nil until a stopping process asks. The
	// mu of leave guards it.
	estimate *duration.Estimate
	// giveUpAt is when the request is given up: the earlier of the caller's
	// deadline and the route's timeout.
	giveUpAt clock.Millis
	// callerTimeout is how long the caller waits; zero if it does not say.
	callerTimeout clock.Millis
	table         *table.Table
	route         *table.Route
	service       string
	workspace     *table.Workspace
	body          []byte
	// guardRequest is the call as the guard knows it, nil until it is about to be sent, and
	// alone is true if the latest attempt was sent alone.
	guardRequest *quarantine.Request
	alone        bool
	// bodyRequested is true once the body was asked for, inBody while it is being read.
	bodyRequested bool
	readingBody   atomic.Bool

	// prefixKeys are the beginnings of the prompt that engines may remember.
	prefixKeys []uint64
	// prefixTokens is the length of the longest of them.
	prefixTokens int

	// suffixTokens is how many tokens the prompt ends in that no other request shares.
	suffixTokens int
	// tried are the engines that were chosen, in order, and sentAt is when the latest was.
	tried  []string
	sentAt clock.Millis
	// ran counts the engines that may have run the request.
	ran int
	// refused counts the engines that said that they did not run it.
	refused int
	// unsent counts the engines that could not be reached.
	unsent int
	// chosenBy says by what the latest engine was chosen, kept whether this entry had
	// sent it the prompt before, fetched whether it was told who keeps more of
	// it.
	chosenBy   engines.How
	sentBefore bool
	hasSource  bool
	// fetchCostsMore is true if it was not told since a move costs more than to read, and readTime
	// is what reading was known to take, in milliseconds a token.
	fetchCostsMore bool
	prefillMillis  float64
	engineLoad     float64
	meanLoad       float64

	// reply is the answer to the caller.
	reply *relay.Reply
	// events is how many events of a stream came. runFrom is how many had come when the
	// present run of events began, at runAt; zero before the first.
	events       int
	runStart     int
	runStartAt   clock.Millis
	failedFilter string
	err          *verdict.Error
	note         string
}

// hasBody reports whether the request has a body.
func (c *call) hasBody() bool { return c.r.Body != nil && c.r.Body != http.NoBody }

// timeLeft returns the time until the request is given up.
func (c *call) timeLeft(now clock.Millis) clock.Millis { return c.giveUpAt - now }

// mayHaveRun reports whether any engine may have run the request.
func (c *call) mayHaveRun() bool { return c.ran > 0 }

// verdict is what is known when the request fails now.
func (c *call) verdict() verdict.Verdict {
	if c.mayHaveRun() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// missedGoal tells what of a whole answer was missedGoal by the route's goals: "first" for
// the first bytes of a stream or all of a plain answer, "pause" for a pause
// between events, or "" for an answer that was on time.
func (c *call) missedGoal(now clock.Millis) string {
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

// limitWrite limits the time for which a caller that does not read is waited for.
func (c *call) limitWrite(now clock.Millis) {
	// A connection without deadlines is bounded by the request's context.
	_ = c.rc.SetWriteDeadline(clock.Deadline(max(0, c.timeLeft(now)) + writeSlack))
}

// writeSlack is what a caller may take beyond the deadline to read an answer
// that is ready.
const writeSlack clock.Millis = 2000

const millisPerSecond = 1000

// retryAfterValue formats d as Retry-After, which takes fractions here.
func retryAfterValue(d clock.Millis) string {
	return strconv.FormatFloat(float64(d)/millisPerSecond, 'f', -1, 64)
}
