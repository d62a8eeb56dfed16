package fuchsiaspoke

import "time"

// LimitReport is what a VM knows of the limit of one replica, which holds for all VMs together. Later evidence replaces earlier one.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// Process is the hash of the replica's incarnation.
	Process uint64
	// PerSecond is the number of requests a second; Ended reports that the replica names no limit any more.
	PerSecond float64
	Ended     bool
	// SinceMs is the time in milliseconds since the replica first named a limit, after the end of an earlier one.
	SinceMs uint32
	// AgeMs is the time in milliseconds since the evidence: a response that named the limit, or for its end the send of a request whose
	// response named none.
	AgeMs uint32
}

// Age returns the time since the evidence.
func (r LimitReport) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// Since returns the time since the replica first named a limit.
func (r LimitReport) Since() time.Duration { return time.Duration(r.SinceMs) * time.Millisecond }

// LimitTokenRequest asks the VM that grants a limited replica's tokens for the right to send it one request.
type LimitTokenRequest struct {
	Limit LimitReport `cbor:"1,keyasint"`
	// WarmUpPerSecond is the rate of the replica's warm-up as far as the requesting VM knows; 0 is none.
	WarmUpPerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Ramp is what the requesting VM saw of a replica whose rate is being found; nil if it knows of none.
	Ramp *RampReport `cbor:"3,keyasint,omitempty"`
	// Room is what the requesting VM saw of a replica of a brittle service; nil if it is none as far as that VM knows.
	Room *RampReport `cbor:"4,keyasint,omitempty"`
	// ReportOnly means that Room is told and no token asked for.
	ReportOnly bool `cbor:"5,keyasint,omitempty"`
}

// LimitTokenReply is the response to a LimitTokenRequest.
type LimitTokenReply struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// Wait is the time after which a VM that was denied a token may ask again.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Limit is what the granting VM knows of the limit.
	Limit LimitReport `cbor:"3,keyasint"`
	// Granter is the id of the VM that grants the tokens, as far as the asked VM knows; empty if it does so itself.
	Granter string `cbor:"4,keyasint,omitempty"`
	// PerSecond is the rate in force, where it is not only that of Limit.
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	// RampFree means that the rate of the replica need not be found any more.
	RampFree bool `cbor:"6,keyasint,omitempty"`
}
