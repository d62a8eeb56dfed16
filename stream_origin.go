package fuchsiaspoke

import (
	"crypto/sha256"
	"time"
)

// StreamKey identifies a stream by the caller's attempt that brought its first event.
type StreamKey [16]byte

// NewStreamKey returns the key of the stream that an attempt began.
func NewStreamKey(attempt string) StreamKey {
	sum := sha256.Sum256([]byte(attempt))
	return StreamKey(sum[:len(StreamKey{})])
}

// StreamOrigin is where a stream began. It may go on only at replicas of this service and software version.
type StreamOrigin struct {
	Service         string `cbor:"1,keyasint"`
	SoftwareVersion string `cbor:"2,keyasint"`
}

// StreamRecord is the origin of one stream, which its caller may resume for the time TTL.
type StreamRecord struct {
	Key    StreamKey     `cbor:"1,keyasint"`
	Origin StreamOrigin  `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
}

// StreamQuestion asks where a stream began that its caller resumes.
type StreamQuestion struct {
	// BegunBy is the attempt that the caller names; it may be empty.
	BegunBy string
	// Service is the one that the request would go to.
	Service string
	// Recall returns the software version to which all VMs have assigned the stream, and whether that can be told. departed are replicas of the
	// service that have left lately. It may be nil.
	Recall func(departed []Replica) (softwareVersion string, found bool)
}

// StreamQuery asks another VM for the origin of a stream of a service.
type StreamQuery struct {
	Key     StreamKey `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
}

// StreamReply is the response to a StreamQuery.
type StreamReply struct {
	// Known reports that the VM has a record of the stream.
	Known  bool         `cbor:"1,keyasint,omitempty"`
	Origin StreamOrigin `cbor:"2,keyasint"`
	// SingleVersion reports that for as long as a stream lasts the service has had no software version but OnlyVersion.
	SingleVersion bool   `cbor:"3,keyasint,omitempty"`
	OnlyVersion   string `cbor:"4,keyasint,omitempty"`
	// Mixed reports that the service has had several software versions for as long as a stream lasts.
	Mixed bool `cbor:"5,keyasint,omitempty"`
	// Restarted reports that streams may be under way that began before the VM's records do.
	Restarted bool `cbor:"6,keyasint,omitempty"`
}
