package gate

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/weldfall/weldfall/callers/bodies"
	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/fresh"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/duration"
	"github.com/weldfall/weldfall/engines/locality"
	"github.com/weldfall/weldfall/engines/origin"
	"github.com/weldfall/weldfall/engines/quarantine"
	"github.com/weldfall/weldfall/engines/statement"
	"github.com/weldfall/weldfall/engines/upstream"
	"github.com/weldfall/weldfall/gate/relay"
	"github.com/weldfall/weldfall/table"
	"github.com/weldfall/weldfall/verdict"
)

// call is a caller's request while it is served.
type call struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	r  *http.Request
	id string
	// cancel ends the exchange with the engine and records the cause.
	cancel context.CancelCauseFunc
	// start is when the header of the request had been read.
	start clock.Millis
	// readAt is when the request had been read completely.
	readAt clock.Millis
	// expected is what is known about the response before it begins.
	expected duration.Request
	// estimate is the estimated duration of the response, nil until a stopping process needs
	// it. It is guarded by shutdown.mu.
	estimate *duration.Estimate
	// giveUpAt is when the request fails: the earlier of the caller's deadline and the
	// route's timeout.
	giveUpAt clock.Millis
	// callerTimeout is how long the caller waits, zero if it does not say.
	callerTimeout clock.Millis
	// table is the version that was in force when the route was found, and tableFreshness its
	// freshness then: later confirmations may be of the next version.
	table          *table.Table
	tableFreshness fresh.Tracker
	route          *table.Route
	service        string
	workspace      *table.Workspace
	// pressure is how full the engines of the service were when their room was checked: 1
	// if all slots were taken. It is zero if it was not checked.
	pressure float64
	// overShare is true if the workspace used more than its fair share of the service.
	overShare bool
	// turnWait is how long the request waited for its turn.
	turnWait clock.Millis
	// turn is the request's place in the queue of its service. It is empty if it needs none
	// or has returned it.
	turn turnPlace
	body []byte
	// received accounts for the memory of the body.
	received *bodies.Body
	// guardRequest is the call as the guard knows it, nil until it is first sent. isolated is
	// true if the latest attempt was isolated.
	guardRequest *quarantine.Request
	isolated     bool
	// guardMu guards guardRequest while watchForSilence may use it.
	guardMu sync.Mutex
	// next is the engine that was secured for the next attempt, nil if there is none.
	next *secured
	// bodyRequested is true once reading the body has begun; readingBody is true while it is
	// read.
	bodyRequested bool
	readingBody   atomic.Bool

	// prompt lists the parts of the prompt, "" if the request names none.
	prompt string
	// prefixKeys are the keys of the prefixes of the prompt that engines may have in their
	// caches.
	prefixKeys []uint64
	// prefixTokens is the length of the longest prefix.
	prefixTokens int
	// suffixTokens is the length of the last part of the prompt, which other requests do not
	// share.
	suffixTokens int
	// tried lists the engines that were chosen, in order. sentAt is when the latest was
	// chosen.
	tried  []string
	sentAt clock.Millis
	// ran is the number of engines that may have run the request.
	ran int
	// refused is the number of engines that reported that they did not run the request.
	refused int
	// unsent is the number of engines that could not be reached.
	unsent int
	// trace is what the latest attempt used and how its exchange ended.
	trace upstream.Trace
	// said is what the latest engine said of itself in its response.
	said statement.Said
	// closed is how many engines were left out of the latest choice because they leave or rest.
	closed int
	// chosenBy is how the latest engine was chosen. sentBefore is true if this entry had sent
	// the prompt there before. hasSource is true if the engine was given the address of
	// another one that has a longer prefix.
	chosenBy   engines.Basis
	sentBefore bool
	hasSource  bool
	// fetchCostsMore is true if the engine was not given one, because a fetch costs more than
	// the prefill. prefillMillis is the known prefill time in milliseconds a token.
	fetchCostsMore bool
	prefillMillis  float64
	engineLoad     float64
	meanLoad       float64
	// hallReason says why the request stayed in this data hall or left it, "" if halls did
	// not matter.
	hallReason locality.Reason
	// pace is the expected pace of the engine, 0 if its service reports none.
	pace float64

	// reply is the response to the caller.
	reply *relay.Reply
	// resumed is what the request says about the stream that it resumes.
	resumed resumption
	// version is the software version at which the stream must continue and versionBasis
	// how it is known. Both are "" while an engine of any version may begin it.
	version      string
	versionBasis basis
	// originSearch is what other entries know of the origin of the stream, the zero value if
	// they were not asked. originListAge is the time since the store had last confirmed the
	// list of engines when the origin was decided by it. doubt is why the origin is not known.
	originSearch  origin.Search
	originListAge clock.Millis
	doubt         doubt
	// sentVersion is the version in the record that other entries were sent, "" if none was.
	sentVersion string
	// recordedVersion is the version in the latest record of the stream's origin, ""
	// before there is one. recordedAttempts counts the records and originCall is their
	// Call.
	recordedVersion  string
	recordedAttempts uint8
	originCall       uint32
	// originKept is true once another entry holds the latest record.
	originKept bool
	// originHeld receives whether another entry holds the latest record. It is
	// nil if no entry has to.
	originHeld <-chan bool
	// events is the number of events of the stream so far.
	events int
	// progress records the pace of the stream.
	progress *duration.Progress
	// failureWritten is true once a failure was written as the response.
	failureWritten bool
	failedFilter   string
	err            *verdict.Error
	note           string
}

// interruptRead ends a pending read of the body.
func (c *call) interruptRead() {
	// A connection that does not support deadlines is bounded by the request's context.
	_ = c.rc.SetReadDeadline(clock.Deadline(0))
}

// hasBody reports whether the request has a body.
func (c *call) hasBody() bool { return c.r.Body != nil && c.r.Body != http.NoBody }

// requiredVersion returns the software version that the next engine must have, "" for any.
// Before the first event it is the version in the record that other entries were sent: one that
// a later record does not reach would resume the stream at that version.
func (c *call) requiredVersion() string { return cmp.Or(c.version, c.sentVersion) }

// timeLeft returns the time until the request fails.
func (c *call) timeLeft(now clock.Millis) clock.Millis { return c.giveUpAt - now }

// mayHaveRun reports whether an engine may have run the request.
func (c *call) mayHaveRun() bool { return c.ran > 0 }

// verdict returns whether the request, if it fails now, may have run.
func (c *call) verdict() verdict.Verdict {
	if c.mayHaveRun() {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// missedGoal returns which goal of the route a complete response missed: "first" for the
// first bytes of a stream or the whole of a plain response, "pause" for a pause between
// events, or "" if it was on time.
func (c *call) missedGoal(now clock.Millis) string {
	if c.route == nil || c.reply.BytesWritten() == 0 {
		return ""
	}
	arrived := now
	if c.route.Kind == table.Stream {
		arrived = c.reply.FirstAt()
	}
	switch {
	case c.route.Goal > 0 && arrived-c.start > c.route.Goal:
		return "first"
	case c.route.PauseGoal > 0 && c.reply.LongestPause() > c.route.PauseGoal:
		return "pause"
	}
	return ""
}

// limitWrite limits how long a caller that does not read can block the response.
func (c *call) limitWrite(now clock.Millis) {
	// A connection that does not support deadlines is bounded by the request's context.
	_ = c.rc.SetWriteDeadline(clock.Deadline(max(0, c.timeLeft(now)) + writeSlack))
}

// writeSlack is the time after the deadline in which a caller may still read a response
// that is ready.
const writeSlack clock.Millis = 2000

const millisPerSecond = 1000

// retryAfterValue formats d as the value of Retry-After in seconds. Fractions are allowed
// here.
func retryAfterValue(d clock.Millis) string {
	return strconv.FormatFloat(float64(d)/millisPerSecond, 'f', -1, 64)
}
