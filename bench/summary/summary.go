// Package summary holds the results of one bench run.
package summary

import (
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/percentile"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/portion"
)

// Summary is the results of one run; times are in milliseconds, except Seconds, the duration of the load after the
// warm-up.
type Summary struct {
	Scenario string  `json:"scenario"`
	Variant  string  `json:"variant"`
	Seed     int64   `json:"seed"`
	Seconds  float64 `json:"seconds"`

	Requests int `json:"requests"`
	// Completed counts complete and correct answers.
	Completed int `json:"whole"`
	// Refused counts requests that ended with an error code, transport errors included.
	Refused     int `json:"refused"`
	Generations int `json:"generations"`

	// TimeToFirstToken leaves out client accounts that exceed their rate, as these wait for tokens of their own rate.
	TimeToFirstToken percentile.Percentile `json:"first_token_ms"`
	InterTokenTime   percentile.Percentile `json:"between_tokens_ms"`

	// LoadStalls counts generations whose adapter finished loading while they waited; LoadStallTime is the time from
	// their intended start until then.
	LoadStalls     int                   `json:"load_stalls"`
	LoadStallTime  percentile.Percentile `json:"load_stall_ms"`
	Loads          int                   `json:"loads"`
	LoadsFailed    int                   `json:"loads_failed"`
	BatchOccupancy float64               `json:"batch_occupancy"`
	// RequestsInBatch and AdaptersInBatch are means over the time in which an engine ran at least one request.
	RequestsInBatch float64 `json:"requests_in_batch"`
	AdaptersInBatch float64 `json:"adapters_in_batch"`
	// TokensPerSecond counts output tokens of generations that started after the warm-up.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// PrefixCachedShare is the share of prompt tokens that the engines' prefix caches held.
	PrefixCachedShare float64 `json:"prefix_cached_share"`

	// WorstAccount is the client account with the highest p99 wait among those that stay within their rate; the wait of
	// a generation is from its intended start until an engine started it.
	WorstAccount          string  `json:"worst_client_account"`
	WorstAccountWaitP99Ms float64 `json:"worst_client_account_wait_p99_ms"`

	// RefusedOfAccountsWithinRate counts refusals of client accounts whose mean demand stays within their rate.
	RefusedOfAccountsWithinRate int `json:"refused_of_accounts_within_rate"`
	// RefusedWithinRate counts refusals of requests whose maximum cost was available in a token bucket from which each
	// served request takes its actual cost at its intended start.
	RefusedWithinRate int `json:"refused_inside_rate"`
	// RefusedWithinReserved is the same for a bucket that reserves the maximum cost of a served request until it ends,
	// because the length of an answer is not known in advance.
	RefusedWithinReserved int `json:"refused_inside_reserved"`
	// OvershootTokens is the largest excess of a client account's token use over its rate and burst in any time window.
	// Generations count with the tokens that the engines recorded, service calls with their cost.
	OvershootTokens float64 `json:"overshoot_tokens"`
	// DuplicatePayments and DuplicateRuns count payments and generations that upstreams ran more than once.
	DuplicatePayments int `json:"duplicate_payments"`
	DuplicateRuns     int `json:"duplicate_generation_runs"`
	// FalseNotRun counts requests that were reported as not run although an upstream ran them.
	FalseNotRun int `json:"false_not_run"`
	// UnknownOutcomes counts requests whose caller can't know whether they ran.
	UnknownOutcomes int `json:"unknown_outcomes"`
	// Truncated counts answers that started but did not end normally.
	Truncated    int `json:"requests_cut"`
	WrongAnswers int `json:"wrong_answers"`
	// EvictedInUse counts evictions of adapters that requests running or waiting on the engine needed.
	EvictedInUse int `json:"evicted_in_use"`

	RefusalCodes map[string]int    `json:"refusal_codes"`
	Accounts     []portion.Portion `json:"client_accounts"`
}
