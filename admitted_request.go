package fuchsiaspoke

import "time"

// PromptPart is a segment of a prompt that several requests may share.
type PromptPart struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
}

// AdmittedRequest is a request that was admitted and is to be sent to a replica; it never carries the caller's API key.
type AdmittedRequest struct {
	// ID is the caller's id of this attempt; a caller that retries uses a new id.
	ID      string
	Account string
	Route   ServiceRoute
	// Service is the target of the route that was selected for the request by weight.
	Service string
	Demand  Demand
	// Due is the time at which the request misses the latency objective of its route, and Deadline the time at which the caller
	// stops waiting. All three are times since the process started.
	Arrived  time.Duration
	Due      time.Duration
	Deadline time.Duration
	// ChargedTokens is the number of tokens charged to the account.
	ChargedTokens float64
	// Priority is the priority of the request, computed from those of its client account and route; 0 is the highest.
	Priority int
	// LastEvent is the id of the last event that the caller received, if it resumes a stream, and BegunBy the id of the attempt that
	// brought the first one.
	LastEvent string
	BegunBy   string
	// Regions are the regions whose replicas may receive the request; nil allows any, and an empty list none.
	Regions []Region
}

// Demand is the model, adapter and number of tokens that a request needs from an engine.
type Demand struct {
	Model string `cbor:"1,keyasint"`
	// Adapter is empty if the base model itself is requested.
	Adapter      string       `cbor:"2,keyasint,omitempty"`
	PromptTokens int64        `cbor:"3,keyasint"`
	OutputTokens int64        `cbor:"4,keyasint"`
	Parts        []PromptPart `cbor:"5,keyasint,omitempty"`
}

// Tokens returns the number of tokens charged to the client account.
func (d Demand) Tokens() int64 {
	return d.PromptTokens + d.OutputTokens
}

// Request is a caller's request before admission.
type Request struct {
	ID   string
	Host string
	Path string
	// Key is the caller's API key; it is not passed on after admission.
	Key    string
	Demand Demand
	// LastEvent and BegunBy are as in AdmittedRequest.
	LastEvent string
	BegunBy   string
	// TimeLeft is the time for which the caller still waits.
	TimeLeft time.Duration
	Body     []byte
}
