package fuchsiaspoke

import "time"

// AdmissionRequest requests a batch slot at an engine from the engine's owner, the VM that schedules its requests and sends its
// load and unload orders.
type AdmissionRequest struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Demand Demand `cbor:"3,keyasint"`
	// Priority is the priority of the request; 0 is the highest.
	Priority int `cbor:"4,keyasint"`
	// DueIn is the time left until the request misses its latency objective, and DeadlineIn the time left until its deadline.
	DueIn      time.Duration `cbor:"5,keyasint"`
	DeadlineIn time.Duration `cbor:"6,keyasint"`
	// MaxWait is the predicted time to the first event above which another engine is predicted to be faster, so that the request is
	// not queued here; 0 is unlimited.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Account is the client account; set only where fair queueing is active.
	Account string `cbor:"12,keyasint,omitempty"`
}

// ExceedsMaxWait reports whether the predicted wait exceeds MaxWait.
func (a AdmissionRequest) ExceedsMaxWait(wait time.Duration) bool {
	return a.MaxWait > 0 && wait > a.MaxWait
}

// AdmissionReply is one message of the response to an AdmissionRequest. The first reports that the request is queued, and the
// second that it is granted; if WaitLimitExceeded is set, it is the only one.
type AdmissionReply struct {
	// Granted reports that the request may be sent to the engine; until then it is queued.
	Granted bool `cbor:"1,keyasint"`
	// Wait is the predicted time to the first event.
	Wait time.Duration `cbor:"2,keyasint"`
	// Incarnation identifies the engine process that admits the request, and Version is the resident version of the requested
	// adapter; 0 without an adapter.
	Incarnation ReplicaIncarnation `cbor:"3,keyasint"`
	Version     int64              `cbor:"4,keyasint"`
	// WaitLimitExceeded reports that the request was not queued because Wait exceeds its MaxWait.
	WaitLimitExceeded bool `cbor:"5,keyasint,omitempty"`
}

// AdmissionProgress notifies an engine's owner of the first event of a granted request, or of its rejection by the engine.
type AdmissionProgress struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	// NotHeld reports that the engine rejected the request with status 421 or 503, as it does if the adapter is not resident;
	// otherwise the first event was received.
	NotHeld bool `cbor:"3,keyasint,omitempty"`
	// WorkFactor is how many times the usual time work takes at the engine, as its response states; 0 is not stated.
	WorkFactor float64 `cbor:"4,keyasint,omitempty"`
}

// EngineView is the state of an engine that its owner sends to the other VMs with its heartbeats.
type EngineView struct {
	Engine ReplicaIncarnation `cbor:"1,keyasint"`
	Fence  int64              `cbor:"2,keyasint"`
	// Resident are the adapters that are ready for use, and Loading those that are being loaded.
	Resident []Adapter `cbor:"3,keyasint,omitempty"`
	Loading  []Adapter `cbor:"4,keyasint,omitempty"`
	// BusySlots is the number of adapter slots that are in use, loading, unloading or needed by queued requests, plus one for
	// each queued request whose adapter has no slot.
	BusySlots int `cbor:"5,keyasint"`
	// BacklogTokens is the number of prompt tokens of queued and granted requests still to be prefilled.
	BacklogTokens int64 `cbor:"6,keyasint"`
	// PrefillTokensPerMs is the moving average of the engine's prefill rate, in tokens per millisecond.
	PrefillTokensPerMs float64 `cbor:"7,keyasint"`
	// Running is the number of granted requests, and Waiting the number of queued ones.
	Running int `cbor:"8,keyasint"`
	Waiting int `cbor:"9,keyasint"`
	// Accepting reports whether the owner accepts admission requests: the base model is loaded and the engine answered its last
	// state query.
	Accepting bool `cbor:"10,keyasint"`
	// WorkStep is how long work takes at the engine, as the owner has measured it from the figures that its responses state.
	WorkStep WorkStep `cbor:"11,keyasint,omitempty"`
	// FairBacklogTokens is the part of BacklogTokens that a client account within its share waits for; 0 unless fair queueing is active.
	FairBacklogTokens int64 `cbor:"20,keyasint,omitempty"`
}
