// Package settings owns the tree of settings that operators publish: fleet,
// partner, workspace and service branches. Each level inherits from the one
// above and overrides only what it names.
package settings

import "github.com/weldfall/weldfall/common/clock"

// Values are the effective settings of one path. Every field has its default
// in Defaults; docs/SETTINGS.md is checked against the field tags.
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

// Limits bound what one caller can ask for.
type Limits struct {
	// BodyBytes is the largest request body, in bytes; 1 to 8 MiB.
	BodyBytes int `toml:"body_bytes"`
	// DeadlineMS is the time a request may take in all, in milliseconds.
	DeadlineMS int64 `toml:"deadline_ms"`
	// TokensPerSecond is the workspace's rate at one entry; 0 is no limit.
	TokensPerSecond float64 `toml:"tokens_per_second"`
	// BurstTokens is how far the rate may be exceeded for a moment.
	BurstTokens int `toml:"burst_tokens"`
	// QueuePerEngine bounds the requests that wait at one engine.
	QueuePerEngine int `toml:"queue_per_engine"`
}

// Fairness divides an engine between those who wait for it.
type Fairness struct {
	// PartnerShare weighs a partner against the others; set above workspaces.
	PartnerShare float64 `toml:"partner_share"`
	// WorkspaceShare weighs a workspace against the partner's others.
	WorkspaceShare float64 `toml:"workspace_share"`
	// ReserveRatio is the part of an engine's slots that a partner over its
	// share leaves free while another partner is about.
	ReserveRatio float64 `toml:"reserve_ratio"`
	// Priority is handed to the engine, -10 to 10; larger goes first.
	Priority int `toml:"priority"`
}

// Routing chooses the pool and bounds the load of its engines.
type Routing struct {
	// Pool serves a plain service; chats find theirs through models.
	Pool string `toml:"pool"`
	// LoadBound is the highest load of an engine as a multiple of the mean of
	// its pool, above 1.
	LoadBound float64 `toml:"load_bound"`
	// LoadFloor is the number of requests that is always allowed, whatever
	// the mean, so that a small mean does not refuse single requests.
	LoadFloor int `toml:"load_floor"`
}

// Retry bounds the attempts that an entry adds to what callers send.
type Retry struct {
	// Attempts is the most engines that one request is offered to.
	Attempts int `toml:"attempts"`
	// BudgetRatio is the retries allowed for each first attempt.
	BudgetRatio float64 `toml:"budget_ratio"`
}

// Once governs requests that run at most once.
type Once struct {
	// Repeatable says that a request without a mark may be run again.
	Repeatable bool `toml:"repeatable"`
	// WindowMS is how long a key is remembered, in milliseconds.
	WindowMS int64 `toml:"window_ms"`
	// TimedKeysOnly refuses keys that do not carry their time of birth.
	TimedKeysOnly bool `toml:"timed_keys_only"`
}

// Leave governs planned stops.
type Leave struct {
	// DrainMS is how long a stopping process waits for requests in flight.
	DrainMS int64 `toml:"drain_ms"`
	// Handover moves the cached prefixes of a leaving engine to their homes.
	Handover bool `toml:"handover"`
}

// Objectives are what the burn report measures against.
type Objectives struct {
	// FirstTokenMS is the time to the first token, in milliseconds.
	FirstTokenMS int64 `toml:"first_token_ms"`
	// BetweenTokensMS is the mean time between tokens, in milliseconds.
	BetweenTokensMS int64 `toml:"between_tokens_ms"`
	// LatencyTarget is the share of requests that must meet both times.
	LatencyTarget float64 `toml:"latency_target"`
	// WholeTarget is the share of admitted requests answered whole.
	WholeTarget float64 `toml:"whole_target"`
	// ServedTarget is the share of valid requests that are not refused.
	ServedTarget float64 `toml:"served_target"`
}

// Access holds the hashes of the bearer keys of a workspace.
type Access struct {
	// KeySHA256 lists hex SHA-256 hashes of whole bearer keys.
	KeySHA256 []string `toml:"key_sha256"`
}

// Lock lists keys that the branches below may not set.
type Lock struct {
	Keys []string `toml:"keys"`
}

// Defaults returns the values in force where no branch names them.
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

// Deadline returns the time a request may take in all.
func (l Limits) Deadline() clock.Millis { return clock.Millis(l.DeadlineMS) }

// Window returns how long a key is remembered.
func (o Once) Window() clock.Millis { return clock.Millis(o.WindowMS) }

// Drain returns how long a stopping process waits for requests in flight.
func (l Leave) Drain() clock.Millis { return clock.Millis(l.DrainMS) }
