// Package record holds the entries that the stand-ins keep for checkers.
package record

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Record is one entry of a stand-in's own log: a call, a run, a load, an unload or a violation.
type Record struct {
	// Kind is one of "call", "write", "run", "load", "load_failed", "unload" and "violation".
	Kind   string    `json:"kind"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end,omitzero"`
	Detail string    `json:"detail,omitempty"`

	RequestID      string `json:"request_id,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`

	Method   string `json:"method,omitempty"`
	Path     string `json:"path,omitempty"`
	Status   int    `json:"status,omitempty"`
	BodyHash string `json:"body_sha256,omitempty"`
	// Headers lists the names and values that came with a call.
	Headers map[string][]string `json:"headers,omitempty"`

	Adapter      fuchsiaspoke.Adapter `json:"adapter,omitzero"`
	Incarnation  string               `json:"incarnation,omitempty"`
	Fence        int64                `json:"fence,omitempty"`
	PromptHash   string               `json:"prompt_sha256,omitempty"`
	PromptTokens int64                `json:"prompt_tokens,omitempty"`
	// CachedTokens is the part of PromptTokens that the prefix cache held.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	OutputTokens int64 `json:"output_tokens,omitempty"`
	// Arrived is when a run's request came to the engine.
	Arrived time.Time `json:"arrived,omitzero"`
}
