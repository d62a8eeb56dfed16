package fuchsiaspoke

import "time"

// Published is all that the platform publishes, as far as one VM knows it.
type Published struct {
	// Contract is nil until one is known.
	Contract    *Contract
	ContractRaw []byte
	// Replicas are keyed by the name of their publication.
	Replicas map[string]Replica
	// Versions holds the newest announced version of each adapter, by model and adapter.
	Versions map[string]map[string]int64
	// Revision is the platform's count of changes, and ReadAt when it was read, since the process started.
	Revision int64
	ReadAt   time.Duration
}

// AdapterVersion returns the newest announced version; 0 means that none was announced.
func (p *Published) AdapterVersion(model, adapter string) int64 {
	return p.Versions[model][adapter]
}

// PublishedAsk asks another VM for what the platform published, beyond what the asker knows.
type PublishedAsk struct {
	Revision        int64 `cbor:"1,keyasint"`
	ContractVersion int64 `cbor:"2,keyasint"`
	// Contract asks for a newer contract too, as where the platform doesn't answer.
	Contract bool `cbor:"3,keyasint,omitempty"`
}

// PublishedRelay is what one VM passes on of what the platform publishes.
type PublishedRelay struct {
	// ContractVersion is the version known to the VM; ContractRaw is empty unless it was asked for and is newer.
	ContractVersion int64  `cbor:"10,keyasint,omitempty"`
	ContractRaw     []byte `cbor:"1,keyasint,omitempty"`
	// Whole answers hold all Replicas and Versions; others hold the Changes after the revision Since.
	Whole    bool                        `cbor:"6,keyasint,omitempty"`
	Replicas map[string]Replica          `cbor:"2,keyasint,omitempty"`
	Versions map[string]map[string]int64 `cbor:"3,keyasint,omitempty"`
	// Missing are replicas that may not be back yet after an outage of the platform, and for how long.
	Missing  map[string]time.Duration `cbor:"7,keyasint,omitempty"`
	Since    int64                    `cbor:"8,keyasint,omitempty"`
	Changes  []PublishedChange        `cbor:"9,keyasint,omitempty"`
	Revision int64                    `cbor:"4,keyasint"`
	// Age is how long ago the platform was read.
	Age time.Duration `cbor:"5,keyasint"`
}

// PublishedChange is a change of a replica or an adapter; contracts go apart.
type PublishedChange struct {
	Name      string          `cbor:"1,keyasint"`
	Revision  int64           `cbor:"2,keyasint"`
	Withdrawn bool            `cbor:"3,keyasint,omitempty"`
	Replica   *Replica        `cbor:"4,keyasint,omitempty"`
	Adapter   *AdapterVersion `cbor:"5,keyasint,omitempty"`
}

// Publication returns the change as the platform told it.
func (c PublishedChange) Publication() Publication {
	return Publication{Name: c.Name, Revision: c.Revision, Withdrawn: c.Withdrawn, Replica: c.Replica, Adapter: c.Adapter}
}
