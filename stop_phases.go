package fuchsiaspoke

import "time"

// StopPhases are the times from the beginning of a VM's stop after which it takes and does less.
type StopPhases struct {
	// Accepts is how long requests are accepted that may run for longer than Runs leaves them.
	Accepts time.Duration
	// Waits is how long requests may wait to be sent to a replica; later ones are refused at once.
	Waits time.Duration
	// Runs is how long requests that were sent may run.
	Runs time.Duration
}
