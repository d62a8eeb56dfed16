package fuchsiaspoke

import "time"

// RankQuery asks a hub, which knows the state of all engines, which of a service's engines can take a request earliest.
type RankQuery struct {
	Service string `cbor:"1,keyasint"`
	Demand  Demand `cbor:"2,keyasint"`
	// Excluded are the engines that were tried already, and Failing those that failed lately for the VM that asks.
	Excluded []string `cbor:"3,keyasint,omitempty"`
	Failing  []string `cbor:"4,keyasint,omitempty"`
	// Evacuated are the availability zones that the VM that asks knows to be evacuated.
	Evacuated []Zone `cbor:"5,keyasint,omitempty"`
	// Regions are the regions of which engines are ranked; empty allows any.
	Regions []Region `cbor:"6,keyasint,omitempty"`
	// Account is the client account; set only if an earlier reply reported that fair queueing is active for the service.
	Account string `cbor:"10,keyasint,omitempty"`
}

// RankReply is the answer to a RankQuery, shortest wait first.
type RankReply struct {
	Engines []RankedEngine `cbor:"1,keyasint,omitempty"`
	// FairQueueing reports that fair queueing between client accounts is active for the service.
	FairQueueing bool `cbor:"10,keyasint,omitempty"`
}

// RankedEngine is an engine as a hub knows it.
type RankedEngine struct {
	Engine        string        `cbor:"1,keyasint"`
	EstimatedWait time.Duration `cbor:"2,keyasint"`
	// Resident and Loading report that the requested adapter is ready for use on the engine, or being loaded.
	Resident bool `cbor:"3,keyasint,omitempty"`
	Loading  bool `cbor:"4,keyasint,omitempty"`
	// Accepting reports that Owner accepts admission requests for the engine.
	Accepting bool `cbor:"5,keyasint,omitempty"`
	Owner     VM   `cbor:"6,keyasint"`
}
