package fuchsiaspoke

import "time"

// EngineAsk requests a batch slot at an engine from the engine's holder, the VM that schedules its requests and issues its load
// and unload orders.
type EngineAsk struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Demand Demand `cbor:"3,keyasint"`
	// Urgency is the priority of the request; 0 is the highest.
	Urgency int `cbor:"4,keyasint"`
	// DueIn is the time left until the request misses its latency objective, and LeftIn the time left until its deadline.
	DueIn  time.Duration `cbor:"5,keyasint"`
	LeftIn time.Duration `cbor:"6,keyasint"`
	// MaxWait is the longest predicted time to the first event with which the request is queued, as another engine is estimated
	// to be that fast; 0 is unlimited.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
}

// Slower reports whether the predicted wait exceeds MaxWait.
func (a EngineAsk) Slower(wait time.Duration) bool { return a.MaxWait > 0 && wait > a.MaxWait }

// EngineGrant is one message of the response to an EngineAsk: the first reports that the request is queued, the second that it
// has its batch slot.
type EngineGrant struct {
	// Granted reports that the request may be sent to the engine; until then it is queued.
	Granted bool `cbor:"1,keyasint"`
	// Wait is the predicted time to the first event.
	Wait time.Duration `cbor:"2,keyasint"`
	// Incarnation identifies the engine process that has the slot, and Version is the version of its resident adapter.
	Incarnation ReplicaIncarnation `cbor:"3,keyasint"`
	Version     int64              `cbor:"4,keyasint"`
	// Slower reports that the request was not queued because Wait exceeds its MaxWait.
	Slower bool `cbor:"5,keyasint,omitempty"`
}

// EngineProgress notifies an engine's holder of the first event of a granted request, or of its rejection by the engine.
type EngineProgress struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	// NotHeld reports that the engine rejected the request with status 421 or 503, as it does if the adapter is not resident;
	// otherwise the first event was received.
	NotHeld bool `cbor:"3,keyasint,omitempty"`
}

// EngineView is the state of an engine that its holder sends to the other VMs with its heartbeats.
type EngineView struct {
	Engine ReplicaIncarnation `cbor:"1,keyasint"`
	Fence  int64              `cbor:"2,keyasint"`
	// Resident are the adapters that are ready for use, and Coming those that are being loaded.
	Resident []Adapter `cbor:"3,keyasint,omitempty"`
	Coming   []Adapter `cbor:"4,keyasint,omitempty"`
	// BusyPlaces is the number of adapter slots that are in use, loading, unloading or needed by queued requests, plus one for each
	// queued request whose adapter has no slot.
	BusyPlaces int `cbor:"5,keyasint"`
	// Backlog is the number of prompt tokens of queued and granted requests still to be prefilled, and Speed the measured prefill
	// speed in tokens per millisecond.
	Backlog int64   `cbor:"6,keyasint"`
	Speed   float64 `cbor:"7,keyasint"`
	Running int     `cbor:"8,keyasint"`
	Waiting int     `cbor:"9,keyasint"`
	// Open reports whether the holder accepts requests for batch slots: the base model is loaded and the engine answered its last
	// state query.
	Open bool `cbor:"10,keyasint"`
}
