// Package portion holds what one client account got in a bench run.
package portion

import "github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"

// Portion is one client account's part of a run; times are in milliseconds.
type Portion struct {
	Account string `json:"client_account"`
	// Floods tells the client account that sends several times its rate.
	Floods   bool `json:"floods"`
	Requests int  `json:"requests"`
	Whole    int  `json:"whole"`
	Refused  int  `json:"refused"`
	// Wait is from the intended start until the engine began the run.
	Wait                  percentile.Percentile `json:"wait_ms"`
	FirstToken            percentile.Percentile `json:"first_token_ms"`
	RefusedInsideRate     int                   `json:"refused_inside_rate"`
	RefusedInsideReserved int                   `json:"refused_inside_reserved"`
	OvershootTokens       float64               `json:"overshoot_tokens"`
	TokensPerSecond       float64               `json:"tokens_per_second"`
}
