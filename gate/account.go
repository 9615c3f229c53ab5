package gate

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/common/clock"
	"github.com/weldfall/weldfall/common/framing"
	"github.com/weldfall/weldfall/engines"
	"github.com/weldfall/weldfall/engines/attempt"
	"github.com/weldfall/weldfall/engines/statement"
)

// counts are the gate's counters and histograms.
type counts struct {
	answers   map[string]*metrics.Counter
	firstByte *metrics.Histogram
	total     *metrics.Histogram
	pause     *metrics.Histogram
	repeats   *metrics.Counter
	bytesOut  *metrics.Counter
	// stopping counts the requests that arrived while the process was stopping, by whether
	// they were admitted. cutAtStop counts those that were aborted at the end of the grace.
	stopping  map[bool]*metrics.Counter
	cutAtStop *metrics.Counter
	table     tableCounts
}

func newCounts() counts {
	c := counts{
		answers:   map[string]*metrics.Counter{},
		firstByte: metrics.GetOrCreateHistogram("weldfall_first_byte_seconds"),
		total:     metrics.GetOrCreateHistogram("weldfall_answer_seconds"),
		pause:     metrics.GetOrCreateHistogram("weldfall_longest_pause_seconds"),
		repeats:   metrics.GetOrCreateCounter("weldfall_repeats_total"),
		bytesOut:  metrics.GetOrCreateCounter("weldfall_answer_bytes_total"),
		stopping: map[bool]*metrics.Counter{
			true:  metrics.GetOrCreateCounter(`weldfall_stopping_total{taken="true"}`),
			false: metrics.GetOrCreateCounter(`weldfall_stopping_total{taken="false"}`),
		},
		cutAtStop: metrics.GetOrCreateCounter("weldfall_cut_at_stop_total"),
		table:     newTableCounts(),
	}
	for _, class := range []string{"1xx", "2xx", "3xx", "4xx", "5xx"} {
		c.answers[class] = metrics.GetOrCreateCounter(`weldfall_answers_total{class="` + class + `"}`)
	}
	return c
}

// tenths rounds v to one decimal place.
func tenths(v float64) float64 { return math.Round(v*10) / 10 }

// hundredths rounds v to two decimal places.
func hundredths(v float64) float64 { return math.Round(v*100) / 100 }

const microsPerMilli = 1000

func inSeconds(d clock.Millis) float64 { return float64(d) / millisPerSecond }

// account counts the end of a call and logs it in one line.
func (g *Gate) account(c *call) {
	now := g.clk.Now()
	if status := c.reply.Status(); status >= 100 && status < 600 {
		g.counts.answers[strconv.Itoa(status/100)+"xx"].Inc()
	}
	g.counts.total.Update(inSeconds(now - c.start))
	if c.reply.FirstAt() > 0 {
		g.counts.firstByte.Update(inSeconds(c.reply.FirstAt() - c.start))
		g.counts.pause.Update(inSeconds(c.reply.LongestPause()))
	}
	g.counts.bytesOut.Add(int(c.reply.BytesWritten()))
	g.recordStay(c, now)
	engine := ""
	if len(c.tried) > 0 {
		engine = c.tried[len(c.tried)-1]
	}
	if c.err == nil && c.route != nil && c.reply.Status() == http.StatusOK && c.reply.Observed().End == framing.Complete {
		g.learnDuration(c, now)
	}
	attrs := []any{
		"request", c.id, "service", c.service, "engine", engine, "attempts", len(c.tried), "how", c.chosenBy, "kept", c.sentBefore, "fetched", c.hasSource, "dearer", c.fetchCostsMore, "read_us", math.Round(c.prefillMillis * microsPerMilli),
		"load", tenths(c.engineLoad), "mean", tenths(c.meanLoad), "status", c.reply.Status(),
		"late", c.missedGoal(now), "first_ms", max(0, c.reply.FirstAt()-c.start), "pause_ms", c.reply.LongestPause(), "total_ms", now - c.start, "bytes", c.reply.BytesWritten(),
	}
	if a := c.reply.Observed(); a.Framing != "" {
		attrs = append(attrs, "framed", a.Framing, "ended", a.End, "partial", a.PartialBytes)
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_engine_answers_total{service=%q,framed=%q,ended=%q}`, c.service, a.Framing, a.End)).Inc()
	}
	if c.reply.Started() {
		attrs = append(attrs, "told", c.reply.EndForCaller())
	}
	if c.trace.Sender != "" || (c.trace.Sending != "" && c.trace.Sending != framing.Sent) {
		attrs = append(attrs, "sending", c.trace.Sending, "sender", c.trace.Sender, "witnesses", c.trace.Witnesses)
	}
	if c.version != "" {
		attrs = append(attrs, "events", c.events, "last_event", loggedID(c.reply.LastEventID()), "engine_version", c.version)
	}
	if r := c.resumed; r.resumes() {
		attrs = append(attrs, "resumes", loggedID(r.origin), "after", loggedID(r.after), "origin", c.versionBasis)
		if c.versionBasis == bySoleVersion || c.versionBasis == byEntries || c.doubt != "" {
			attrs = append(attrs, "doubt", c.doubt, "others", c.originSearch.Others, "responders", c.originSearch.Responders(), "list_read_ms", c.originListAge)
		}
	}
	if c.route != nil {
		attrs = append(attrs, "route", c.route.Name, "table", c.table.Version(), "priority", priority(c))
	}
	if c.workspace != nil {
		attrs = append(attrs, "workspace", c.workspace.Name)
	}
	if c.hallReason != "" {
		attrs = append(attrs, "hall_reason", c.hallReason)
	}
	if c.pace > 0 {
		attrs = append(attrs, "pace", hundredths(c.pace))
	}
	if c.pressure > 0 {
		attrs = append(attrs, "pressure", hundredths(c.pressure), "over_share", c.overShare)
	}
	if c.closed > 0 {
		attrs = append(attrs, "closed", c.closed)
	}
	if c.said.Leaving {
		attrs = append(attrs, "said", statement.Left)
	}
	if c.turnWait > 0 {
		attrs = append(attrs, "turn_ms", c.turnWait)
	}
	if c.guardRequest != nil && g.guard.Tracking() {
		attrs = append(attrs, "parts", c.guardRequest.LoggedParts())
	}
	if c.err == nil && !c.reply.Aborted() {
		if c.note != "" {
			attrs = append(attrs, "note", c.note)
		}
		g.log.Info("answered", attrs...)
		return
	}
	attrs = append(attrs, "cut", c.reply.Aborted(), "left_ms", c.giveUpAt-now)
	if c.sentAt > 0 {
		attrs = append(attrs, "silent_ms", now-max(c.sentAt, c.reply.LastAt()))
	}
	if c.err != nil {
		attrs = append(attrs, "filter", c.failedFilter, "verdict", c.err.Verdict(), "reason", c.err.Reason(), "error", c.err.Message())
	}
	g.log.Warn("failed", attrs...)
}

// learnDuration records the duration of a complete response. The pauses of a stream that
// several engines sent are not silences of one.
func (g *Gate) learnDuration(c *call, now clock.Millis) {
	if c.events == 0 || c.ran > 1 {
		g.durations.RecordResponse(c.route.Name, now-max(c.start, c.readAt))
		return
	}
	c.progress.RecordComplete(now)
}

// logAttempt logs the end of an attempt and whether another one follows.
func (g *Gate) logAttempt(c *call, o attempt.Outcome, e engines.Info, granted grant, left clock.Millis) {
	if granted.allowed() {
		g.counts.repeats.Inc()
	}
	cause := ""
	switch o := o.(type) {
	case attempt.Unsent:
		cause = o.Err.Error()
	case attempt.Refused:
		cause = o.Err.Error()
	case attempt.Broken:
		cause = o.Err.Error()
	case attempt.Failed:
		cause = "status " + strconv.Itoa(o.Response.Status)
	}
	g.log.Info("attempt_ended", "request", c.id, "service", c.service, "engine", e.ID, "version", e.Version, "events", c.events, "outcome", outcomeName(o), "cause", cause,
		"again", granted.allowed(), "repeat", granted, "ran", c.ran, "allowed", c.route.Attempts, "left_ms", left,
		"rest_ms", c.said.Rest, "leaving", c.said.Leaving, "conn", c.trace.Conn, "exchange", c.trace.Exchange, "identity", c.trace.Identity, "conn_end", c.trace.End, "sending", c.trace.Sending, "sender", c.trace.Sender, "witnesses", c.trace.Witnesses)
}
