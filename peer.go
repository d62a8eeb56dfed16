package fuchsiaspoke

// EngineState is the load of an engine, advertised by the VM that holds the engine's lease.
type EngineState struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// QueuedTokens is the upper bound on the tokens of queued requests.
	QueuedTokens int64     `json:"queued_tokens" cbor:"2,keyasint,omitempty"`
	Running      int       `json:"running" cbor:"3,keyasint,omitempty"`
	Resident     []Adapter `json:"resident" cbor:"4,keyasint,omitempty"`
}

// PeerState is the state that a VM sends in its heartbeats on the link.
type PeerState struct {
	VM          VM     `json:"vm" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
	Draining    bool   `json:"draining" cbor:"3,keyasint,omitempty"`
	Ready       bool   `json:"ready" cbor:"4,keyasint,omitempty"`
	// Digest summarizes the active documents, so that a peer detects a missing revision.
	Digest Digest `json:"digest" cbor:"5,keyasint"`
	// HeldLeases lists the resources whose leases the VM holds.
	HeldLeases []string      `json:"holds" cbor:"6,keyasint,omitempty"`
	Engines    []EngineState `json:"engines" cbor:"7,keyasint,omitempty"`
}
