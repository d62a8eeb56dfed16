package fuchsiaspoke

import "time"

// ReplicaNotice is what a replica says of itself in the head of a response. Its zero value says nothing.
type ReplicaNotice struct {
	// Draining reports that the replica is about to stop and takes no new requests.
	Draining bool
	// Pause is how long the replica wants no further requests from this VM.
	Pause time.Duration
	// Limit is the number of requests a second that the replica takes from all VMs together; nil if it names none.
	Limit *float64
	// LimitUnreadable reports that the replica names a limit that is no number, so that the one that it named before holds on.
	LimitUnreadable bool
	// Brittle reports that the replica falls over if it has to turn more than a few requests away in a second.
	Brittle bool
	// WarmUp is how much longer the replica is in warm-up; 0 if it does not say, or is in none.
	WarmUp time.Duration
	// Fault is the reason why a part of the notice could not be used; nil if there is none.
	Fault error
	// Load is the load that the replica states; nil if it states none that can be used, and LoadFault is the reason for that.
	Load      *ReplicaLoad
	LoadFault error
}
