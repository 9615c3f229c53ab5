package settings

import (
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/weldfall/weldfall/common/strict"
)

// bound is the valid range of a number, including both ends.
type bound struct {
	key      string
	low, top float64
	get      func(*Values) float64
}

var bounds = []bound{
	{"limits.body_bytes", 1, 8 << 20, func(v *Values) float64 { return float64(v.Limits.BodyBytes) }},
	{"limits.deadline_ms", 1, 3_600_000, func(v *Values) float64 { return float64(v.Limits.DeadlineMS) }},
	{"limits.tokens_per_second", 0, 1e9, func(v *Values) float64 { return v.Limits.TokensPerSecond }},
	{"limits.burst_tokens", 1, 1e9, func(v *Values) float64 { return float64(v.Limits.BurstTokens) }},
	{"limits.queue_per_engine", 1, 100_000, func(v *Values) float64 { return float64(v.Limits.QueuePerEngine) }},
	{"fairness.partner_share", 0.001, 1000, func(v *Values) float64 { return v.Fairness.PartnerShare }},
	{"fairness.workspace_share", 0.001, 1000, func(v *Values) float64 { return v.Fairness.WorkspaceShare }},
	{"fairness.reserve_ratio", 0, 0.9, func(v *Values) float64 { return v.Fairness.ReserveRatio }},
	{"fairness.priority", -10, 10, func(v *Values) float64 { return float64(v.Fairness.Priority) }},
	{"routing.load_bound", 1.01, 100, func(v *Values) float64 { return v.Routing.LoadBound }},
	{"routing.load_floor", 1, 10_000, func(v *Values) float64 { return float64(v.Routing.LoadFloor) }},
	{"retry.attempts", 1, 16, func(v *Values) float64 { return float64(v.Retry.Attempts) }},
	{"retry.budget_ratio", 0, 1, func(v *Values) float64 { return v.Retry.BudgetRatio }},
	{"once.window_ms", 1000, 86_400_000, func(v *Values) float64 { return float64(v.Once.WindowMS) }},
	{"leave.drain_ms", 0, 3_600_000, func(v *Values) float64 { return float64(v.Leave.DrainMS) }},
	{"objectives.first_token_ms", 1, 600_000, func(v *Values) float64 { return float64(v.Objectives.FirstTokenMS) }},
	{"objectives.between_tokens_ms", 1, 600_000, func(v *Values) float64 { return float64(v.Objectives.BetweenTokensMS) }},
	{"objectives.latency_target", 0, 0.999999, func(v *Values) float64 { return v.Objectives.LatencyTarget }},
	{"objectives.whole_target", 0, 0.999999, func(v *Values) float64 { return v.Objectives.WholeTarget }},
	{"objectives.served_target", 0, 0.999999, func(v *Values) float64 { return v.Objectives.ServedTarget }},
}

// checkRanges returns an error if a number is out of range or a key hash is malformed.
func checkRanges(path, text string, v Values) error {
	for _, b := range bounds {
		// The negated condition also rejects NaN.
		if x := b.get(&v); !(x >= b.low && x <= b.top) {
			return strict.LineError(path, text, b.key, fmt.Sprintf("%v is out of range: write %v to %v", x, b.low, b.top))
		}
	}
	for _, h := range v.Access.KeySHA256 {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != 32 {
			return strict.LineError(path, text, "access.key_sha256", "needs 64 hex digits: write the SHA-256 of the complete bearer key")
		}
	}
	return nil
}

// KnownKeys returns the dotted keys of all settings, sorted.
var KnownKeys = sync.OnceValue(func() []string { return strict.KeysOf(&Values{}) })
