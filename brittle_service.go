package fuchsiaspoke

import "time"

// BrittleService is a service whose replicas fall over if they have to turn many requests away.
type BrittleService struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// AgeMs is the time in milliseconds since a response said so.
	AgeMs uint32
}

// Age returns the time since a response said so.
func (b BrittleService) Age() time.Duration { return time.Duration(b.AgeMs) * time.Millisecond }
