// Package record defines the log entries of stand-ins, from which tests and the bench check what was executed.
package record

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Record is one entry of a stand-in's log: a call, a run, a load, an unload or a violation.
type Record struct {
	// Kind is one of "call", "write", "run", "not_run", "load", "load_failed", "unload" and "violation".
	Kind string `json:"kind"`
	// Start of an engine's run is its admission to the batch; it is zero for "not_run".
	Start  time.Time `json:"start"`
	End    time.Time `json:"end,omitzero"`
	Detail string    `json:"detail,omitempty"`

	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`

	Method   string `json:"method,omitempty"`
	Path     string `json:"path,omitempty"`
	Status   int    `json:"status,omitempty"`
	BodyHash string `json:"body_sha256,omitempty"`
	// Headers holds the headers of the request.
	Headers map[string][]string `json:"headers,omitempty"`

	Adapter      fuchsiaspoke.Adapter `json:"adapter,omitzero"`
	Incarnation  string               `json:"incarnation,omitempty"`
	Fence        int64                `json:"fence,omitempty"`
	PromptHash   string               `json:"prompt_sha256,omitempty"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
	// CachedTokens is the number of PromptTokens that were in the prefix cache.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	OutputTokens int64 `json:"output_tokens,omitempty"`
	// Arrived is when the engine received the request of a run.
	Arrived time.Time `json:"arrived,omitzero"`
}
