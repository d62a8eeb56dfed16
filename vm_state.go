package fuchsiaspoke

import "time"

// VMState is what one VM tells the others in each heartbeat.
type VMState struct {
	VM VM `cbor:"1,keyasint"`
	// Incarnation is new with each start of the process, and Beat rises with each heartbeat of one.
	Incarnation string        `cbor:"2,keyasint"`
	Beat        uint64        `cbor:"3,keyasint"`
	Uptime      time.Duration `cbor:"4,keyasint"`
	Ready       bool          `cbor:"5,keyasint,omitempty"`
	// Leaving VMs were told to stop, and give no orders any more.
	Leaving bool `cbor:"12,keyasint,omitempty"`
	// ContractVersion is the version in force at the VM, by which others notice that they are behind.
	ContractVersion int64 `cbor:"6,keyasint,omitempty"`
	// Engines are those that the VM orders for; one heartbeat may carry a part of them.
	Engines []EngineView `cbor:"7,keyasint,omitempty"`
	// Spent is the tokens admitted for each client account since the process started, and Level what is left of its burst.
	Spent map[string]float64 `cbor:"8,keyasint,omitempty"`
	Level map[string]float64 `cbor:"9,keyasint,omitempty"`
	// Peers are the VMs that this one hears or has heard.
	Peers []HeardVM `cbor:"10,keyasint,omitempty"`
	// Revision is the platform's count of changes as far as the VM knows it.
	Revision int64 `cbor:"11,keyasint,omitempty"`
	// ReadAge is how long ago the platform said that nothing was newer than Revision.
	ReadAge time.Duration `cbor:"13,keyasint,omitempty"`
}

// EngineClaim says which VM told that it orders for an engine, under which fencing number, and when it was heard.
type EngineClaim struct {
	Engine string
	VM     string
	Fence  int64
	Heard  time.Duration
	// Over says that the VM started anew or stopped to tell of the engine.
	Over bool
}

// HeardVM is a VM that another one told of.
type HeardVM struct {
	ID string `cbor:"1,keyasint"`
	// BeatAddress is where the VM takes heartbeats.
	BeatAddress string `cbor:"2,keyasint"`
	// Age is how long ago the teller heard it.
	Age time.Duration `cbor:"3,keyasint"`
}
