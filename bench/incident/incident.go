// Package incident describes a fault injected at a given time of a scenario.
package incident

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// Incident sets the faults of one stand-in, or shuts down one VM gracefully.
type Incident struct {
	// At is the time since the start of the load, warm-up included.
	At time.Duration
	// Target is "engine", "service", "platform" or "stop_vm".
	Target string
	// Index selects the engine, service replica or VM; it is unused for the platform.
	Index int
	// Fault replaces the faults of the stand-in; it is unused for "stop_vm".
	Fault fault.Fault
}
