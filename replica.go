package fuchsiaspoke

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ReplicaState states whether a replica accepts new requests.
type ReplicaState string

// The states of a replica.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// Replica is one instance of an upstream, as last published.
type Replica struct {
	// ID usually changes when the replica restarts; StartedAtMs distinguishes starts with the same ID.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    Zone   `cbor:"4,keyasint"`
	// Slots is the maximum number of concurrent requests.
	Slots int          `cbor:"5,keyasint"`
	State ReplicaState `cbor:"6,keyasint"`
	// StartedAtMs is the start time of the process in Unix milliseconds on its own clock; 0 is unknown.
	StartedAtMs int64 `cbor:"7,keyasint"`
	// OrderCount is the number of load and unload orders that the replica has accepted since its start.
	OrderCount int64           `cbor:"8,keyasint"`
	Models     []ResidentModel `cbor:"9,keyasint,omitempty"`
	// SoftwareVersion is the version of the software of this process, not of the weights that it holds.
	SoftwareVersion string `cbor:"10,keyasint,omitempty"`
	// WarmUp is what is known of the replica's warm-up; nil if its entry says nothing, or its service has none.
	WarmUp *ReplicaWarmUp `cbor:"11,keyasint,omitempty"`
}

// ResidentModel is a base model loaded at a replica, with its resident adapters.
type ResidentModel struct {
	Name     string    `cbor:"1,keyasint"`
	Version  int64     `cbor:"2,keyasint"`
	Adapters []Adapter `cbor:"3,keyasint,omitempty"`
	// Loading are the adapters that are being loaded; they already occupy adapter slots.
	Loading []Adapter `cbor:"4,keyasint,omitempty"`
}

// Incarnation returns the identity of the replica's current process.
func (r Replica) Incarnation() ReplicaIncarnation {
	return ReplicaIncarnation{ID: r.ID, StartedAtMs: r.StartedAtMs}
}

// WithState returns a copy of the replica in another state.
func (r Replica) WithState(s ReplicaState) Replica {
	r.State = s
	return r
}

// ReplicaIncarnation identifies one start of a replica.
type ReplicaIncarnation struct {
	ID          string `cbor:"1,keyasint"`
	StartedAtMs int64  `cbor:"2,keyasint"`
}

// Hash returns the number by which messages between VMs name the process.
func (i ReplicaIncarnation) Hash() uint64 {
	return xxhash.Sum64String(i.ID + "/" + strconv.FormatInt(i.StartedAtMs, 10))
}

// ReplicaReport is an engine's response to a state query.
type ReplicaReport struct {
	Replica Replica
	// Busy reports that the engine is loading or unloading a base model.
	Busy bool
	// Queued and Running are numbers of requests; CacheUsed is the part of the KV cache that cannot be evicted, in tokens.
	Queued    int
	Running   int
	CacheUsed int64
}
