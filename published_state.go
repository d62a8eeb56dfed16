package fuchsiaspoke

import "time"

// PublishedState is a VM's copy of everything that the platform publishes.
type PublishedState struct {
	// Contract is nil until the first contract is received.
	Contract    *Contract
	ContractRaw []byte
	// Replicas maps publication names to replicas.
	Replicas map[string]Replica
	// Versions maps base models to their adapters and these to the newest announced version.
	Versions map[string]map[string]int64
	// Evacuations holds the evacuated zones, and EvacuationEnds the last end of the evacuation of others.
	Evacuations    map[Zone]Evacuation
	EvacuationEnds map[Zone]EvacuationEnd
	// Revision is the platform revision of the copy. Reading is the latest read of the platform, by this VM or another one, that is
	// known to have found nothing newer, and ReadAt its time since the process started.
	Revision Revision
	Reading  Reading
	ReadAt   time.Duration
}

// AdapterVersion returns the newest announced version of the adapter, or 0 if none was announced.
func (p *PublishedState) AdapterVersion(model, adapter string) int64 {
	return p.Versions[model][adapter]
}

// ReadyReplicas returns the service's replicas in the state ready outside evacuated zones, in no particular order.
func (p *PublishedState) ReadyReplicas(service string) []Replica {
	var out []Replica
	for _, r := range p.Replicas {
		if r.Service == service && r.State == ReplicaReady && !p.Evacuated(r.Zone) {
			out = append(out, r)
		}
	}
	return out
}

// PublicationQuery requests from another VM the publications that are newer than the sender's.
type PublicationQuery struct {
	Revision        Revision `cbor:"4,keyasint"`
	ContractVersion int64    `cbor:"2,keyasint"`
	// Contract also requests a newer contract; it is set if the sender cannot read the contract from the platform.
	Contract bool `cbor:"3,keyasint,omitempty"`
}

// PublicationRelay is the response to a PublicationQuery.
type PublicationRelay struct {
	// ContractVersion is the responder's contract version. ContractRaw is set only if it was requested and is newer than the
	// requester's.
	ContractVersion int64  `cbor:"10,keyasint,omitempty"`
	ContractRaw     []byte `cbor:"1,keyasint,omitempty"`
	// Whole reports that Replicas and Versions are complete; otherwise Changes holds the changes after the revision Since.
	Whole    bool                        `cbor:"6,keyasint,omitempty"`
	Replicas map[string]Replica          `cbor:"2,keyasint,omitempty"`
	Versions map[string]map[string]int64 `cbor:"3,keyasint,omitempty"`
	// Missing maps replicas that the platform did not list after an outage to the time since then; they stay in use for a
	// limited time, since their publication may only be delayed.
	Missing map[string]time.Duration `cbor:"7,keyasint,omitempty"`
	// Evacuations and EvacuationEnds are set if Whole is.
	Evacuations    map[Zone]EvacuationReport    `cbor:"14,keyasint,omitempty"`
	EvacuationEnds map[Zone]EvacuationEndReport `cbor:"15,keyasint,omitempty"`
	Since          Revision                     `cbor:"12,keyasint,omitempty"`
	Changes        []PublicationChange          `cbor:"9,keyasint,omitempty"`
	Revision       Revision                     `cbor:"11,keyasint"`
	// Reading is the latest read of the platform that found nothing newer than Revision; nil if none is known.
	Reading *Reading `cbor:"13,keyasint,omitempty"`
}

// PublicationChange is a change of a replica, an adapter version or an evacuation; a contract is sent as ContractRaw of the PublicationRelay.
type PublicationChange struct {
	Name      string          `cbor:"1,keyasint"`
	Revision  Revision        `cbor:"6,keyasint"`
	Withdrawn bool            `cbor:"3,keyasint,omitempty"`
	Replica   *Replica        `cbor:"4,keyasint,omitempty"`
	Adapter   *AdapterVersion `cbor:"5,keyasint,omitempty"`
	// Evacuation is the zone of an evacuation that begins, or ends if Withdrawn is set.
	Evacuation Zone `cbor:"7,keyasint,omitempty"`
}

// Publication converts the change to the form in which the platform reports it.
func (c PublicationChange) Publication() Publication {
	return Publication{Name: c.Name, Revision: c.Revision, Withdrawn: c.Withdrawn, Replica: c.Replica, Adapter: c.Adapter, Evacuation: c.Evacuation}
}
