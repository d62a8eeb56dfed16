package fuchsiaspoke

import "time"

// QuarantineVerdict is whether a request may be sent to replicas. Its zero value says that it may.
type QuarantineVerdict struct {
	// Held means that it may not, because of Trait, and Left is the time after which that may change.
	Held  bool
	Trait Trait
	Left  time.Duration
	// Trial means that it may, as the only request of the fleet with a trait whose quarantine is over.
	Trial bool
}
