package fuchsiaspoke

import "time"

// RunStatus states whether a refused request was executed by an upstream.
type RunStatus string

// The values of RunStatus.
const (
	NotRun     RunStatus = "not_run"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// RefusalCode is the stable identifier of the cause of a refusal.
type RefusalCode string

// The refusal codes.
const (
	CodeInvalidRequest      RefusalCode = "invalid_request"
	CodeTooLarge            RefusalCode = "request_too_large"
	CodeMemoryShort         RefusalCode = "memory_short"
	CodeUnauthenticated     RefusalCode = "unauthenticated"
	CodeKeyWithdrawn        RefusalCode = "key_withdrawn"
	CodeForbidden           RefusalCode = "profile_not_allowed"
	CodeNoProfile           RefusalCode = "profile_not_found"
	CodeNoRoute             RefusalCode = "route_not_found"
	CodeRateExceeded        RefusalCode = "rate_exceeded"
	CodeTokensShort         RefusalCode = "tokens_short"
	CodeOverloaded          RefusalCode = "overloaded"
	CodeNoUpstream          RefusalCode = "no_upstream"
	CodeLeaseLost           RefusalCode = "lease_lost"
	CodeUpstreamFailed      RefusalCode = "upstream_failed"
	CodeDeadline            RefusalCode = "deadline_exceeded"
	CodeStarting            RefusalCode = "starting"
	CodeConfigurationStale  RefusalCode = "configuration_stale"
	CodeDraining            RefusalCode = "draining"
	CodeKeyNotIssued        RefusalCode = "idempotency_key_not_issued"
	CodeKeyRequired         RefusalCode = "idempotency_key_required"
	CodeKeyReused           RefusalCode = "idempotency_key_reused"
	CodeOutcomeUnknown      RefusalCode = "outcome_unknown"
	CodeAnswerMismatch      RefusalCode = "answer_mismatch"
	CodeAdapterLoadFailed   RefusalCode = "adapter_load_failed"
	CodeProfileVersionMoved RefusalCode = "profile_version_moved"
	CodeNotResumable        RefusalCode = "stream_not_resumable"
	CodePartQuarantined     RefusalCode = "prompt_part_quarantined"
	CodeRequestQuarantined  RefusalCode = "request_quarantined"
	CodeZoneEvacuated       RefusalCode = "zone_evacuated"
	CodeNoAllowedRegion     RefusalCode = "no_replica_in_allowed_region"
	CodeReplicasUnreachable RefusalCode = "replicas_unreachable"
)

// Refusal is an error response that this system, not the upstream, gives to a caller.
type Refusal struct {
	Code       RefusalCode   `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Run        RunStatus     `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Status is the HTTP status code of the response.
	Status int `cbor:"5,keyasint"`
	// Basis holds the figures by which the refusal was decided, for logs; nil if there are none. Owners of engines send it only where
	// fair queueing is active.
	Basis *RefusalBasis `cbor:"6,keyasint,omitempty" json:"-"`
}

// RefusalBasis is the rule that decided a refusal, with its figures; figures that the rule does not use are 0.
type RefusalBasis struct {
	// Rule is the name of the rule.
	Rule string `cbor:"1,keyasint"`
	// Level and Rate are the tokens in the client account's bucket, and its rate in tokens per second.
	Level float64 `cbor:"2,keyasint,omitempty"`
	Rate  float64 `cbor:"3,keyasint,omitempty"`
	// PredictedWait is the predicted time to the first event, and WaitLimit the longest one that is allowed.
	PredictedWait time.Duration `cbor:"4,keyasint,omitempty"`
	WaitLimit     time.Duration `cbor:"5,keyasint,omitempty"`
	// TokensPerMs is the engine's prefill rate, and BacklogTokens the uncached prompt tokens that the engine still has to read.
	TokensPerMs   float64 `cbor:"6,keyasint,omitempty"`
	BacklogTokens int64   `cbor:"7,keyasint,omitempty"`
	// Age is how old the oldest of the figures was.
	Age time.Duration `cbor:"8,keyasint,omitempty"`
}

// The rules of a RefusalBasis.
const (
	RuleAccountRate   = "account_rate"
	RulePredictedWait = "predicted_wait"
	RuleDeadline      = "deadline"
)

// LogFields returns the figures as keys and values of a log line; none for nil.
func (b *RefusalBasis) LogFields() []any {
	if b == nil {
		return nil
	}
	fields := []any{"rule", b.Rule, "age_ms", b.Age.Milliseconds()}
	if b.Rate > 0 {
		fields = append(fields, "level", int64(b.Level), "rate_per_s", int64(b.Rate))
	}
	if b.PredictedWait > 0 {
		fields = append(fields, "wait_ms", b.PredictedWait.Milliseconds(), "wait_limit_ms", b.WaitLimit.Milliseconds())
	}
	if b.TokensPerMs > 0 {
		fields = append(fields, "tokens_per_s", int64(b.TokensPerMs*1000), "backlog_tokens", b.BacklogTokens)
	}
	return fields
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// WithRetryAfter returns a copy that asks the caller to retry after wait.
func (r Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return &r
}
