package fuchsiaspoke

import (
	"hash/fnv"
	"math"
	"time"
)

// Reading is a successful read of the platform by one VM, as the sender of a heartbeat knows it.
type Reading struct {
	_ struct{} `cbor:",toarray"`
	// Reader is the ReaderID of the VM that made the read, 0 if no read is known. Number increases with each read of the VM, which tells
	// a new read from one that is reported again.
	Reader uint16
	Number uint32
	// AgeMs is the time in milliseconds since the read.
	AgeMs uint32
}

// ReaderID returns the number by which readings name an incarnation of a VM, never 0. It is short, as each heartbeat holds it; where two
// VMs have the same number, the reads of one of them are ignored.
func ReaderID(incarnation string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(incarnation))
	return uint16(h.Sum32()%math.MaxUint16) + 1
}

// IsZero reports whether no read is known.
func (r Reading) IsZero() bool { return r.Reader == 0 }

// Age returns the time since the read.
func (r Reading) Age() time.Duration { return time.Duration(r.AgeMs) * time.Millisecond }

// WithAge returns the reading with the time since the read, rounded down to milliseconds.
func (r Reading) WithAge(age time.Duration) Reading {
	r.AgeMs = Milliseconds(age)
	return r
}

// SameRead reports whether both are the same read, whatever its age.
func (r Reading) SameRead(other Reading) bool {
	return r.Reader == other.Reader && r.Number == other.Number
}

// Report returns the reading for a message in which no reading takes no space; nil if no read is known.
func (r Reading) Report() *Reading {
	if r.IsZero() {
		return nil
	}
	return &r
}
