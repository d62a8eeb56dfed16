package fuchsiaspoke

import (
	"encoding/json"
	"time"
)

// Generation is one admitted model request on its way to an engine; it never carries the caller's key.
type Generation struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Profile   string `cbor:"3,keyasint"`
	BaseModel string `cbor:"4,keyasint"`
	// Adapter is fixed at admission and checked again at sending.
	Adapter Adapter `cbor:"5,keyasint"`
	// Chat tells chat completions from completions.
	Chat bool `cbor:"6,keyasint"`
	// Body is the engine's request, built from an allow-list of fields.
	Body            json.RawMessage `cbor:"7,keyasint"`
	PromptTokens    int64           `cbor:"8,keyasint"`
	MaxOutputTokens int64           `cbor:"9,keyasint"`
	// Patience is how long the request may still wait before it is sent.
	Patience time.Duration `cbor:"10,keyasint"`
	// KeyHash names the key, so that a withdrawal reaches queued and running work; it is empty on open profiles.
	KeyHash string `cbor:"11,keyasint,omitempty"`
	// Fence is the fencing number of the lease that the generation is sent under; it is zero until then.
	Fence int64 `cbor:"13,keyasint,omitempty"`
}

// likelyBytesPerToken turns the bound on a prompt's tokens into their likely number.
const likelyBytesPerToken = 4

// LikelyTokens is what the generation will likely take from its client account's rate.
func (g Generation) LikelyTokens() int64 {
	return g.PromptTokens/likelyBytesPerToken + g.MaxOutputTokens
}

// CostTokens is the bound on what the generation takes from its client account's rate.
func (g Generation) CostTokens() int64 {
	return g.PromptTokens + g.MaxOutputTokens
}

// Chunk is one part of an engine's answer.
type Chunk struct {
	RequestID string `cbor:"1,keyasint"`
	// Index counts the chunks of one answer from zero.
	Index int64 `cbor:"2,keyasint"`
	// Text is what the model generated since the chunk before.
	Text string `cbor:"3,keyasint,omitempty"`
	// Tokens is the number of output tokens in Text.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// FinishReason is set on the last chunk alone.
	FinishReason string  `cbor:"5,keyasint,omitempty"`
	Adapter      Adapter `cbor:"6,keyasint"`
	// PromptTokens is the engine's own count of the prompt; it may be zero until the last chunk.
	PromptTokens int64 `cbor:"7,keyasint,omitempty"`
}

// EngineReport is an engine's own account of its state, which may be late.
type EngineReport struct {
	// AsOfMillis is the engine's own clock, in milliseconds since it started.
	AsOfMillis int64 `json:"as_of_ms"`
	// NowMillis is the same clock when the engine answered.
	NowMillis int64 `json:"now_ms"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing number that the engine has seen.
	Fence    int64     `json:"fence"`
	Resident []Adapter `json:"resident"`
	// Running counts the running requests for each adapter.
	Running []AdapterUse `json:"running"`
	Waiting int64        `json:"waiting"`
}

// AdapterUse is the number of requests that use an adapter.
type AdapterUse struct {
	Adapter  Adapter `json:"adapter" cbor:"1,keyasint"`
	Requests int64   `json:"requests" cbor:"2,keyasint"`
}

// Placement is a generation on its way to the VM that holds an engine's lease.
type Placement struct {
	Upstream   string     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}
