package fuchsiaspoke

import "time"

// ReplicaNotice is what a replica says of itself in the head of a response. Its zero value says nothing.
type ReplicaNotice struct {
	// Draining reports that the replica is about to stop and takes no new requests.
	Draining bool
	// Pause is how long the replica wants no further requests from this VM.
	Pause time.Duration
	// Fault is the reason why a part of the notice could not be used; nil if there is none.
	Fault error
}
