package fuchsiaspoke

import "time"

// Evacuation is the evacuation of an availability zone: nothing new is sent to its replicas.
type Evacuation struct {
	// Revision is that of the platform's entry.
	Revision Revision
	// Since is when the first VM learned of it, as far as this VM knows, as time since the process started.
	Since time.Duration
	// ExpiresAt is when it ends unless the platform publishes it again, which lacked it after it was restored from a backup; 0 means
	// that it ends once the entry is withdrawn.
	ExpiresAt time.Duration
}

// EvacuationEnd is the end of a zone's evacuation. Replicas of the zone may be in warm-up since then.
type EvacuationEnd struct {
	// Revision is that of the withdrawal, or of the state without the evacuation if the withdrawal is not known.
	Revision Revision
	// At is when this VM learned of it, as time since the process started.
	At time.Duration
}

// EvacuationReport is an Evacuation as one VM reports it to another.
type EvacuationReport struct {
	Revision Revision      `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
	// ExpiresIn is the time until ExpiresAt; 0 if the evacuation does not expire.
	ExpiresIn time.Duration `cbor:"3,keyasint,omitempty"`
}

// EvacuationEndReport is an EvacuationEnd as one VM reports it to another.
type EvacuationEndReport struct {
	Revision Revision      `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
}

// Evacuated reports whether the zone is evacuated.
func (p *PublishedState) Evacuated(zone Zone) bool {
	_, evacuated := p.Evacuations[zone]
	return evacuated
}

// EvacuatedZones returns the evacuated zones, in no particular order; nil if there is none.
func (p *PublishedState) EvacuatedZones() []Zone {
	var out []Zone
	for zone := range p.Evacuations {
		out = append(out, zone)
	}
	return out
}
