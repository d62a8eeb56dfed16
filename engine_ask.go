package fuchsiaspoke

import "time"

// EngineAsk asks the VM that orders for an engine for a place there.
type EngineAsk struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	Demand Demand `cbor:"3,keyasint"`
	// Urgency is the rank of the request; 0 goes first.
	Urgency int `cbor:"4,keyasint"`
	// DueIn and LeftIn are how long the answer is still on time, and how long its caller still waits.
	DueIn  time.Duration `cbor:"5,keyasint"`
	LeftIn time.Duration `cbor:"6,keyasint"`
	// MaxWait is the longest predicted wait with which the ask is taken on, since another engine is taken to be as fast; 0 is any.
	MaxWait time.Duration `cbor:"7,keyasint,omitempty"`
}

// Slower reports whether a predicted wait is longer than the ask may have.
func (a EngineAsk) Slower(wait time.Duration) bool { return a.MaxWait > 0 && wait > a.MaxWait }

// EngineGrant is a part of the answer to an EngineAsk: queued first, then the place itself.
type EngineGrant struct {
	// Granted says that the request may be sent; until then the ask is waiting.
	Granted bool `cbor:"1,keyasint"`
	// Wait is the predicted time until the first event.
	Wait time.Duration `cbor:"2,keyasint"`
	// Incarnation is the start of the engine that the place is at, and Version that of the adapter.
	Incarnation ReplicaIncarnation `cbor:"3,keyasint"`
	Version     int64              `cbor:"4,keyasint"`
	// Slower says that the ask was not taken on, as Wait is beyond its MaxWait.
	Slower bool `cbor:"5,keyasint,omitempty"`
}

// EngineProgress tells the VM that orders for an engine what became of a granted request.
type EngineProgress struct {
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	// NotHeld says that the engine refused since it doesn't hold the adapter.
	NotHeld bool `cbor:"3,keyasint,omitempty"`
}

// EngineView is what the VM that orders for an engine tells the others of it.
type EngineView struct {
	Engine ReplicaIncarnation `cbor:"1,keyasint"`
	Fence  int64              `cbor:"2,keyasint"`
	// Resident are ready for use, Coming on their way; AtHand were held lately and load fast.
	Resident []Adapter `cbor:"3,keyasint,omitempty"`
	Coming   []Adapter `cbor:"4,keyasint,omitempty"`
	// BusyPlaces are places whose adapter is in use or waited for.
	BusyPlaces int `cbor:"5,keyasint"`
	// Backlog is the prompt tokens that are not yet read, and Speed how many are read in a millisecond.
	Backlog int64   `cbor:"6,keyasint"`
	Speed   float64 `cbor:"7,keyasint"`
	Running int     `cbor:"8,keyasint"`
	Waiting int     `cbor:"9,keyasint"`
	// Open engines take asks.
	Open bool `cbor:"10,keyasint"`
}
