package fuchsiaspoke

// EngineState is what a VM advertises of an engine whose lease it holds.
type EngineState struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// QueuedTokens is the cost of the work that waits.
	QueuedTokens int64     `json:"queued_tokens" cbor:"2,keyasint,omitempty"`
	Running      int       `json:"running" cbor:"3,keyasint,omitempty"`
	Resident     []Adapter `json:"resident" cbor:"4,keyasint,omitempty"`
}

// PeerState is what a VM says of itself in each heartbeat.
type PeerState struct {
	VM          VM     `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
	Draining    bool   `json:"draining" cbor:"3,keyasint,omitempty"`
	Ready       bool   `json:"ready" cbor:"4,keyasint,omitempty"`
	// Digest sums up the documents in force, by which a gap is noticed.
	Digest Digest `json:"digest" cbor:"5,keyasint"`
	// Holds names the resources whose lease the VM holds.
	Holds   []string      `json:"holds" cbor:"6,keyasint,omitempty"`
	Engines []EngineState `json:"engines" cbor:"7,keyasint,omitempty"`
}
