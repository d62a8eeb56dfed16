package fuchsiaspoke

import "time"

// VMState is the state that a VM sends to the other VMs in each UDP heartbeat.
type VMState struct {
	VM VM `cbor:"1,keyasint"`
	// Incarnation changes with each start of the process; HeartbeatNumber increases with each heartbeat of an incarnation.
	Incarnation     string        `cbor:"2,keyasint"`
	HeartbeatNumber uint64        `cbor:"3,keyasint"`
	Uptime          time.Duration `cbor:"4,keyasint"`
	Ready           bool          `cbor:"5,keyasint,omitempty"`
	// Draining reports that the VM is shutting down and no longer owns engines.
	Draining bool `cbor:"12,keyasint,omitempty"`
	// ContractVersion is the VM's active contract version, by which other VMs detect that theirs is outdated.
	ContractVersion int64 `cbor:"6,keyasint,omitempty"`
	// Engines are the engines that the VM owns; a heartbeat is split into several packets if they do not fit one.
	Engines []EngineView `cbor:"7,keyasint,omitempty"`
	// AdmittedTokens is the number of tokens admitted for each client account since the process started, minus those returned, and
	// BucketLevels is the VM's estimate of the number of tokens in the account's bucket.
	AdmittedTokens map[string]float64 `cbor:"8,keyasint,omitempty"`
	BucketLevels   map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Peers are VMs of which the sender knows, a part of them in each heartbeat.
	Peers []ReportedPeer `cbor:"10,keyasint,omitempty"`
	// Revision is the newest platform revision known to the VM.
	Revision Revision `cbor:"20,keyasint,omitempty"`
	// Reading is the latest read of the platform that found nothing newer than Revision; nil if none is reported.
	Reading *Reading `cbor:"22,keyasint,omitempty"`
	// Hub reports that the VM exchanges heartbeats with all other hubs and may own engines. Any other VM is a leaf: it exchanges
	// heartbeats with two hubs only.
	Hub bool `cbor:"14,keyasint,omitempty"`
	// CountEpoch is the number of times that AdmittedTokens was reset, as tokens reported to one hub must not be reported to the
	// next one again.
	CountEpoch uint64 `cbor:"15,keyasint,omitempty"`
	// Acks holds, by the id of a leaf, the number of its last heartbeat whose AdmittedTokens are deducted from BucketLevels.
	Acks map[string]uint64 `cbor:"16,keyasint,omitempty"`
	// RateShare is the fraction of each account's rate that the VMs on the hub's side of a partition may admit; set for leaves.
	RateShare float64 `cbor:"17,keyasint,omitempty"`
	// WantsAnswer reports that the sender takes the receiver for a hub and waits for its heartbeats.
	WantsAnswer bool `cbor:"18,keyasint,omitempty"`
	// Continuation reports that this is a further datagram of a heartbeat, without AdmittedTokens, BucketLevels, Acks, Reading,
	// DrainingReplicas, Evidence, Limits, RampRates, Brittle and FailedVMs; one of them has Served.
	Continuation bool `cbor:"19,keyasint,omitempty"`
	// DrainingReplicas are replicas that have reported that they drain, a part of them in each heartbeat.
	DrainingReplicas []ReplicaIncarnation `cbor:"21,keyasint,omitempty"`
	// Evidence is what the VM knows of requests on which replicas crash, a part of it in each heartbeat; nil if there is none.
	Evidence *CrashEvidence `cbor:"23,keyasint,omitempty"`
	// Limits are limits of requests that replicas name, a part of them in each heartbeat.
	Limits []LimitReport `cbor:"24,keyasint,omitempty"`
	// RampRates are the rates found for replicas that start or recover, a part of them in each heartbeat.
	RampRates []RampRate `cbor:"31,keyasint,omitempty"`
	// FailedVMs are hashes of the ids of VMs, a part of them in each heartbeat. Those with the lowest bit set have failed: directory
	// responses must not name them. The others, named to hubs only, are no longer heard by the sender.
	FailedVMs []uint32 `cbor:"30,keyasint,omitempty"`
	// ReplicasUnreachable reports that the VM is partitioned from all replicas.
	ReplicasUnreachable bool `cbor:"41,keyasint,omitempty"`
	// Brittle are the services whose replicas fall over if they have to turn many requests away.
	Brittle []BrittleService `cbor:"42,keyasint,omitempty"`
	// Served is the cost that the VM served by client account, a part of it in each heartbeat and in a datagram of its own; nil unless
	// client accounts compete for engines.
	Served *ServedReport `cbor:"40,keyasint,omitempty"`
}

// AsContinuation returns the state for a further datagram of the same heartbeat.
func (s VMState) AsContinuation() VMState {
	s.Continuation = true
	s.AdmittedTokens, s.BucketLevels, s.Acks, s.Reading = nil, nil, nil, nil
	s.DrainingReplicas, s.Evidence, s.Limits, s.RampRates, s.FailedVMs, s.Brittle = nil, nil, nil, nil, nil, nil
	return s
}

// EngineClaim is the last claim of another VM to own an engine, with its fencing token. ReceivedAt is the time of the last
// heartbeat that carried it, as time since this process started.
type EngineClaim struct {
	Engine     string
	VM         string
	Fence      int64
	ReceivedAt time.Duration
	// Ended reports that the VM restarted or that its later heartbeats no longer carry the claim.
	Ended bool
}

// ReportedPeer is a VM as the sender of a heartbeat knows it.
type ReportedPeer struct {
	VM          VM     `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// Age is the time since a heartbeat of the VM was last received, by the sender or by a VM that reported it to the sender.
	Age      time.Duration `cbor:"3,keyasint"`
	Ready    bool          `cbor:"4,keyasint,omitempty"`
	Draining bool          `cbor:"5,keyasint,omitempty"`
	Hub      bool          `cbor:"6,keyasint,omitempty"`
	// Silent reports that the VM's heartbeats have stopped, as far as the sender knows.
	Silent bool `cbor:"7,keyasint,omitempty"`
	// ReplicasUnreachable is that of the VM's state.
	ReplicasUnreachable bool `cbor:"8,keyasint,omitempty"`
}
