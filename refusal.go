package fuchsiaspoke

import "time"

// Run states whether a refused request was executed by an upstream.
type Run string

// The values of Run.
const (
	NotRun     Run = "not_run"
	Ran        Run = "ran"
	RunUnknown Run = "unknown"
)

// Code is the stable identifier of the cause of a refusal.
type Code string

// The refusal codes.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeTooLarge            Code = "request_too_large"
	CodeUnauthenticated     Code = "unauthenticated"
	CodeKeyWithdrawn        Code = "key_withdrawn"
	CodeForbidden           Code = "profile_not_allowed"
	CodeNoProfile           Code = "profile_not_found"
	CodeNoRoute             Code = "route_not_found"
	CodeRateExceeded        Code = "rate_exceeded"
	CodeTokensShort         Code = "tokens_short"
	CodeOverloaded          Code = "overloaded"
	CodeNoUpstream          Code = "no_upstream"
	CodeLeaseLost           Code = "lease_lost"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeDeadline            Code = "deadline_exceeded"
	CodeStarting            Code = "starting"
	CodeConfigurationStale  Code = "configuration_stale"
	CodeDraining            Code = "draining"
	CodeKeyNotIssued        Code = "idempotency_key_not_issued"
	CodeKeyRequired         Code = "idempotency_key_required"
	CodeKeyReused           Code = "idempotency_key_reused"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeAnswerMismatch      Code = "answer_mismatch"
	CodeAdapterLoadFailed   Code = "adapter_load_failed"
	CodeProfileVersionMoved Code = "profile_version_moved"
)

// Refusal is an error response that this system, not the upstream, gives to a caller.
type Refusal struct {
	Code       Code          `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint"`
	Run        Run           `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Status is the HTTP status code of the response.
	Status int `cbor:"5,keyasint"`
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
