package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/weldfall/weldfall/report/burn"
	"github.com/weldfall/weldfall/verdict"
)

// account records the outcome of a request in the metrics, in the burn rate windows and in one
// log line.
func (e *Entry) account(c *call) {
	v, reason := verdict.Ran, verdict.Reason("")
	if c.err != nil {
		v, reason = c.err.Verdict(), c.err.Reason()
	}
	duration := e.clk.Micros() - c.startMicros
	metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_requests_total{partner=%q,verdict=%q,reason=%q}`, c.partner, v, reason)).Inc()
	if c.chatKey != 0 && v == verdict.Ran {
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_prompt_tokens_total{partner=%q}`, c.partner)).Add(c.result.Usage.Prompt)
		metrics.GetOrCreateCounter(fmt.Sprintf(`weldfall_cached_tokens_total{partner=%q}`, c.partner)).Add(c.result.Usage.Cached)
	}
	if c.returning && v == verdict.Ran {
		e.burn.Turn(c.partner, c.result.Usage.Prompt, c.result.Usage.Cached)
	}
	e.observeBurn(c, v, reason)
	args := []any{
		"request", c.id, "partner", c.partner, "workspace", c.workspace, "service", c.service,
		"engine", c.engine, "verdict", v, "took_us", duration, "attempts", c.attempts,
	}
	if c.chatKey != 0 {
		args = append(args, "chat", fmt.Sprintf("%x", c.chatKey), "returning", c.returning, "named", c.named, "hint", c.hint, "mode", c.mode, "prompt", c.result.Usage.Prompt, "cached", c.result.Usage.Cached)
	}
	if c.err != nil {
		args = append(args, "reason", reason, "error", c.err.Message())
	}
	e.log.Info("request", args...)
}

// isCallerError reports whether a failure does not count against the service's objectives.
func isCallerError(r verdict.Reason) bool {
	switch r {
	case verdict.BadRequest, verdict.Unauthorized, verdict.UnknownModel, verdict.TooLarge, verdict.CallerGone, verdict.Duplicate:
		return true
	}
	return false
}

func (e *Entry) observeBurn(c *call, v verdict.Verdict, reason verdict.Reason) {
	if isCallerError(reason) || c.path == "" {
		return
	}
	o := c.values.Objectives
	ev := burn.Event{Path: c.path, Served: v != verdict.NotRun, Whole: v == verdict.Ran}
	if c.firstWriteMicros > 0 && c.isChat() {
		ev.FirstTokenMS = float64(c.firstWriteMicros-c.startMicros) / 1000
		if c.tokens > 1 {
			ev.BetweenTokensMS = float64(c.lastWriteMicros-c.firstWriteMicros) / 1000 / float64(c.tokens-1)
		}
		ev.LatencyMet = ev.FirstTokenMS <= float64(o.FirstTokenMS) && ev.BetweenTokensMS <= float64(o.BetweenTokensMS)
		ev.Streamed = c.chat.WantsStream()
	}
	e.burn.Observe(ev, burn.Targets{Latency: o.LatencyTarget, Whole: o.WholeTarget, Served: o.ServedTarget}, e.clk.Now())
}
