package fuchsiaspoke

import "time"

// RampOutcome is what became of one request that was sent to a replica whose rate is being found.
type RampOutcome struct {
	// SentAt is when the request was sent, on the clock of the VM that decides, and Took how long its response took.
	SentAt time.Duration
	Took   time.Duration
	// Refused means that the replica stated that it is full and did not run the request; Failed that it broke off or did not respond.
	Refused bool
	Failed  bool
	// Waiting and Slots are the queue figures that the response stated; Slots is 0 if it stated none.
	Waiting int
	Slots   int
}

// RampLimit is what a replica may have from all VMs together.
type RampLimit struct {
	PerSecond float64
	InFlight  int
	// Free means that the replica needs no limit any more.
	Free bool
}

// RampOutcomeReport is a RampOutcome for another VM.
type RampOutcomeReport struct {
	_ struct{} `cbor:",toarray"`
	// AgeMs is the time in milliseconds since the request was sent.
	AgeMs   uint32
	TookUs  uint32
	Refused bool
	Failed  bool
	Waiting uint32
	Slots   uint32
}

// RampReport is what a VM saw of a replica since its last report.
type RampReport struct {
	_ struct{} `cbor:",toarray"`
	// SinceMs is the time in milliseconds since the replica started or recovered, as far as the VM knows; the largest number if it does not.
	SinceMs  uint32
	Outcomes []RampOutcomeReport
	// Omitted is the number of further outcomes.
	Omitted uint32
}

// RampRate is the rate that was found for a replica, for heartbeats.
type RampRate struct {
	_ struct{} `cbor:",toarray"`
	// Process is the hash of the replica's incarnation.
	Process   uint64
	PerSecond float64
	// Free means that the replica needs no limit any more.
	Free bool
	// AgeMs is the time in milliseconds since the granting VM last used the rate.
	AgeMs uint32
}

// RampDecision is whether a VM may send one request to a replica whose rate is being found.
type RampDecision struct {
	Granted bool
	// Free means that the replica needs no limit any more.
	Free bool
	// Wait is the time after which a VM that was denied may ask again.
	Wait time.Duration
	// PerSecond is the rate in force.
	PerSecond float64
}
