package fuchsiaspoke

import (
	"encoding/json"
	"time"
)

// Generation is an admitted completion request to an engine; it never carries the caller's API key.
type Generation struct {
	RequestID string `cbor:"1,keyasint"`
	Account   string `cbor:"2,keyasint"`
	Profile   string `cbor:"3,keyasint"`
	BaseModel string `cbor:"4,keyasint"`
	// Adapter is resolved at admission and checked again before the request is sent.
	Adapter Adapter `cbor:"5,keyasint"`
	// Chat reports whether the request is a chat completion rather than a text completion.
	Chat bool `cbor:"6,keyasint"`
	// Body is the request body for the engine, built from an allow-list of fields.
	Body            json.RawMessage `cbor:"7,keyasint"`
	PromptTokens    int64           `cbor:"8,keyasint"`
	MaxOutputTokens int64           `cbor:"9,keyasint"`
	// MaxWait is the longest time that the request may still wait before it is sent.
	MaxWait time.Duration `cbor:"10,keyasint"`
	// KeyHash identifies the API key, so that its withdrawal also stops queued and running requests; it is empty for open profiles.
	KeyHash string `cbor:"11,keyasint,omitempty"`
	// Fence is the fencing token of the engine lease under which the request is sent; it is 0 before.
	Fence int64 `cbor:"13,keyasint,omitempty"`
}

// expectedBytesPerToken converts the upper bound on a prompt's tokens, one per byte, into the expected number.
const expectedBytesPerToken = 4

// LikelyTokens returns the expected number of tokens charged to the client account.
func (g Generation) LikelyTokens() int64 {
	return g.PromptTokens/expectedBytesPerToken + g.MaxOutputTokens
}

// CostTokens returns the upper bound on the number of tokens charged to the client account.
func (g Generation) CostTokens() int64 {
	return g.PromptTokens + g.MaxOutputTokens
}

// Chunk is one part of an engine's streamed response.
type Chunk struct {
	RequestID string `cbor:"1,keyasint"`
	// Index is the position of the chunk in its response, from 0.
	Index int64 `cbor:"2,keyasint"`
	// Text is the output generated since the previous chunk.
	Text string `cbor:"3,keyasint,omitempty"`
	// Tokens is the number of output tokens in Text.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// FinishReason is set on the last chunk only.
	FinishReason string  `cbor:"5,keyasint,omitempty"`
	Adapter      Adapter `cbor:"6,keyasint"`
	// PromptTokens is the number of prompt tokens counted by the engine; it may be 0 until the last chunk.
	PromptTokens int64 `cbor:"7,keyasint,omitempty"`
}

// EngineReport is the state that an engine reports; it may be stale.
type EngineReport struct {
	// AsOfMillis is the time of the reported state on the engine's clock, in milliseconds since the engine started.
	AsOfMillis int64 `json:"as_of_ms"`
	// NowMillis is the time of the response on the same clock.
	NowMillis int64 `json:"now_ms"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	// Fence is the highest fencing token that the engine has received.
	Fence    int64     `json:"fence"`
	Resident []Adapter `json:"resident"`
	// Running is the number of running requests for each adapter.
	Running []AdapterUse `json:"running"`
	Waiting int64        `json:"waiting"`
}

// AdapterUse is the number of running requests that use an adapter.
type AdapterUse struct {
	Adapter  Adapter `json:"adapter" cbor:"1,keyasint"`
	Requests int64   `json:"requests" cbor:"2,keyasint"`
}

// Placement is a generation with the upstream chosen for it, sent to the VM that holds the engine's lease.
type Placement struct {
	Upstream   string     `cbor:"1,keyasint"`
	Generation Generation `cbor:"2,keyasint"`
}
