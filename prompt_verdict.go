package fuchsiaspoke

import "time"

// PromptVerdict is whether a request with a prompt may be sent to engines.
type PromptVerdict struct {
	// Part is the id of the part because of which it may not, "" if it may, and Left the time after which that may change.
	Part string
	Left time.Duration
	// Trial means that it may, as the only request of the fleet with a part whose quarantine is over.
	Trial bool
}
