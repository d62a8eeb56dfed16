// Package portion holds the results of one client account in a bench run.
package portion

import "github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"

// Portion is the results of one client account; times are in milliseconds.
type Portion struct {
	Account string `json:"client_account"`
	// Floods marks a client account whose offered load exceeds its rate after the warm-up.
	Floods    bool `json:"floods"`
	Requests  int  `json:"requests"`
	Completed int  `json:"whole"`
	Refused   int  `json:"refused"`
	// Wait is the time from a generation's intended start until an engine started it.
	Wait                  percentile.Percentile `json:"wait_ms"`
	TimeToFirstToken      percentile.Percentile `json:"first_token_ms"`
	RefusedWithinRate     int                   `json:"refused_inside_rate"`
	RefusedWithinReserved int                   `json:"refused_inside_reserved"`
	OvershootTokens       float64               `json:"overshoot_tokens"`
	// TokensPerSecond counts prompt and output tokens and the cost of service calls, warm-up included.
	TokensPerSecond float64 `json:"tokens_per_second"`
}
