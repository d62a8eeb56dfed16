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
	// Peers are VMs from which this VM has received heartbeats: all of them for some time after a VM has joined, otherwise only
	// those whose last heartbeat is older than half of the peer timeout. They may be split over several heartbeats.
	Peers []ReportedPeer `cbor:"10,keyasint,omitempty"`
	// Revision is the newest platform revision known to the VM.
	Revision int64 `cbor:"11,keyasint,omitempty"`
	// ReadAge is the time since Revision was known to be the platform's newest.
	ReadAge time.Duration `cbor:"13,keyasint,omitempty"`
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

// ReportedPeer is a VM from which the sender of a heartbeat has received heartbeats itself.
type ReportedPeer struct {
	ID string `cbor:"1,keyasint"`
	// HeartbeatAddress is the UDP address at which the VM receives heartbeats.
	HeartbeatAddress string `cbor:"2,keyasint"`
	// Age is the time since the sender last received a heartbeat from the VM.
	Age time.Duration `cbor:"3,keyasint"`
}
