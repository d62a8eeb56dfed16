// Package summary holds the figures of one bench run.
package summary

import (
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/portion"
)

// Summary is the figures of one run; times are in milliseconds.
type Summary struct {
	Scenario string  `json:"scenario"`
	Variant  string  `json:"variant"`
	Seed     int64   `json:"seed"`
	Seconds  float64 `json:"seconds"`

	Requests    int `json:"requests"`
	Whole       int `json:"whole"`
	Refused     int `json:"refused"`
	Generations int `json:"generations"`

	// FirstToken is of the client accounts within their rate; one that floods waits for its own tokens.
	FirstToken    percentile.Percentile `json:"first_token_ms"`
	BetweenTokens percentile.Percentile `json:"between_tokens_ms"`

	// LoadStalls is the number of generations whose adapter was loaded while they waited, LoadStall how long they did.
	LoadStalls     int                   `json:"load_stalls"`
	LoadStall      percentile.Percentile `json:"load_stall_ms"`
	Loads          int                   `json:"loads"`
	LoadsFailed    int                   `json:"loads_failed"`
	BatchOccupancy float64               `json:"batch_occupancy"`
	// RequestsInBatch and AdaptersInBatch are means over the time in which an engine ran anything.
	RequestsInBatch float64 `json:"requests_in_batch"`
	AdaptersInBatch float64 `json:"adapters_in_batch"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	PrefixCached    float64 `json:"prefix_cached_share"`

	// WorstAccount is the client account within its rate whose wait until its run began has the highest p99.
	WorstAccount        string  `json:"worst_client_account"`
	WorstAccountWaitP99 float64 `json:"worst_client_account_wait_p99_ms"`

	// WellBehavedRefused counts the refusals of client accounts that stay within their rate on average.
	WellBehavedRefused int `json:"refused_of_accounts_within_rate"`
	// RefusedInsideRate counts refusals for which a bucket that every served request takes its true tokens from as it
	// arrives had the tokens that the refused request could take.
	RefusedInsideRate int `json:"refused_inside_rate"`
	// RefusedInsideReserved does so for a bucket that holds the most a request can take until its end, since no system
	// knows the length of an answer before.
	RefusedInsideReserved int `json:"refused_inside_reserved"`
	// OvershootTokens is the most by which what ran exceeds rate and burst in any window, on the upstreams' count.
	OvershootTokens  float64 `json:"overshoot_tokens"`
	DuplicatePayment int     `json:"duplicate_payments"`
	DuplicateRuns    int     `json:"duplicate_generation_runs"`
	FalseNotRun      int     `json:"false_not_run"`
	UnknownOutcomes  int     `json:"unknown_outcomes"`
	Cut              int     `json:"requests_cut"`
	Wrong            int     `json:"wrong_answers"`
	EvictedInUse     int     `json:"evicted_in_use"`

	Codes    map[string]int    `json:"refusal_codes"`
	Accounts []portion.Portion `json:"client_accounts"`
}
