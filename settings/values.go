// Package settings holds the tree of settings that operators publish, with
// branches for the fleet, partners, workspaces and services. Each level inherits
// from the one above and overrides only the keys that it sets.
package settings

import "github.com/weldfall/weldfall/common/clock"

// Values are the effective settings of a path. Defaults has the default of
// every field. A test checks docs/SETTINGS.md against the field tags.
type Values struct {
	Limits     Limits     `toml:"limits"`
	Fairness   Fairness   `toml:"fairness"`
	Routing    Routing    `toml:"routing"`
	Retry      Retry      `toml:"retry"`
	Once       Once       `toml:"once"`
	Leave      Leave      `toml:"leave"`
	Objectives Objectives `toml:"objectives"`
	Access     Access     `toml:"access"`
	Lock       Lock       `toml:"lock"`
	// Models maps the model names that callers use to pools.
	Models map[string]string `toml:"models"`
}

// Limits bound the requests of a caller.
type Limits struct {
	// BodyBytes is the maximum size of a request body, in bytes; 1 byte to 8 MiB.
	BodyBytes int `toml:"body_bytes"`
	// DeadlineMS is the total time that a request may take, in milliseconds.
	DeadlineMS int64 `toml:"deadline_ms"`
	// TokensPerSecond is the rate limit of a workspace per entry; 0 means no limit.
	TokensPerSecond float64 `toml:"tokens_per_second"`
	// BurstTokens is the burst size of the rate limit.
	BurstTokens int `toml:"burst_tokens"`
	// QueuePerEngine limits the requests that wait for one engine.
	QueuePerEngine int `toml:"queue_per_engine"`
}

// Fairness divides an engine among the callers that wait for it.
type Fairness struct {
	// PartnerShare is the weight of a partner among all. Branches of workspaces cannot
	// set it.
	PartnerShare float64 `toml:"partner_share"`
	// WorkspaceShare is the weight of a workspace among those of its partner.
	WorkspaceShare float64 `toml:"workspace_share"`
	// ReserveRatio is the part of an engine's slots that a partner over its
	// share leaves free while another partner is active.
	ReserveRatio float64 `toml:"reserve_ratio"`
	// Priority is passed to the engine, -10 to 10; higher goes first.
	Priority int `toml:"priority"`
}

// Routing selects the pool and limits the load of its engines.
type Routing struct {
	// Pool is the pool of a plain service; Models has those of chats.
	Pool string `toml:"pool"`
	// LoadBound is the maximum load of an engine as a multiple of the mean of
	// its pool, above 1.
	LoadBound float64 `toml:"load_bound"`
	// LoadFloor is the number of requests that is always allowed at an engine, so
	// that a low mean does not cause single requests to be rejected.
	LoadFloor int `toml:"load_floor"`
}

// Retry limits the attempts that an entry adds to the requests of callers.
type Retry struct {
	// Attempts is the maximum number of engines that a request is offered to.
	Attempts int `toml:"attempts"`
	// BudgetRatio is the number of retries allowed per first attempt.
	BudgetRatio float64 `toml:"budget_ratio"`
}

// Once governs requests that run at most once.
type Once struct {
	// Repeatable is true if a request with neither the header Weldfall-Repeatable nor an
	// idempotency key may run more than once.
	Repeatable bool `toml:"repeatable"`
	// WindowMS is how long an idempotency key is remembered, in milliseconds.
	WindowMS int64 `toml:"window_ms"`
	// TimedKeysOnly rejects idempotency keys without a creation time.
	TimedKeysOnly bool `toml:"timed_keys_only"`
}

// Leave governs planned stops.
type Leave struct {
	// DrainMS is how long a stopping process waits for in-flight requests, in
	// milliseconds.
	DrainMS int64 `toml:"drain_ms"`
	// Handover transfers the cached prefixes of a draining engine to their homes.
	Handover bool `toml:"handover"`
}

// Objectives are the service level objectives of the burn report.
type Objectives struct {
	// FirstTokenMS is the time to the first token, in milliseconds.
	FirstTokenMS int64 `toml:"first_token_ms"`
	// BetweenTokensMS is the mean time between tokens, in milliseconds.
	BetweenTokensMS int64 `toml:"between_tokens_ms"`
	// LatencyTarget is the fraction of requests that must meet both times.
	LatencyTarget float64 `toml:"latency_target"`
	// WholeTarget is the fraction of admitted requests that must get a complete response.
	WholeTarget float64 `toml:"whole_target"`
	// ServedTarget is the fraction of valid requests that must not be rejected.
	ServedTarget float64 `toml:"served_target"`
}

// Access holds the hashes of the bearer keys of a workspace.
type Access struct {
	// KeySHA256 lists the hex SHA-256 hashes of complete bearer keys.
	KeySHA256 []string `toml:"key_sha256"`
}

// Lock lists keys that the branches below may not set.
type Lock struct {
	Keys []string `toml:"keys"`
}

// Defaults returns the values in force where no branch sets them.
func Defaults() Values {
	return Values{
		Limits:     Limits{BodyBytes: 4 << 20, DeadlineMS: 120_000, BurstTokens: 200_000, QueuePerEngine: 64},
		Fairness:   Fairness{PartnerShare: 1, WorkspaceShare: 1, ReserveRatio: 0.2},
		Routing:    Routing{LoadBound: 1.25, LoadFloor: 2},
		Retry:      Retry{Attempts: 8, BudgetRatio: 0.2},
		Once:       Once{Repeatable: true, WindowMS: 600_000},
		Leave:      Leave{DrainMS: 30_000, Handover: true},
		Objectives: Objectives{FirstTokenMS: 680, BetweenTokensMS: 69, LatencyTarget: 0.95, WholeTarget: 0.999, ServedTarget: 0.99},
		Models:     map[string]string{},
	}
}

// Deadline returns the total time that a request may take.
func (l Limits) Deadline() clock.Millis { return clock.Millis(l.DeadlineMS) }

// Window returns how long an idempotency key is remembered.
func (o Once) Window() clock.Millis { return clock.Millis(o.WindowMS) }

// Drain returns how long a stopping process waits for in-flight requests.
func (l Leave) Drain() clock.Millis { return clock.Millis(l.DrainMS) }
