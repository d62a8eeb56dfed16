// Package incident describes a fault at a point of a scenario.
package incident

import (
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
)

// Incident sets the faults of one stand-in, or stops one VM gracefully, at a time after the load began.
type Incident struct {
	At time.Duration
	// Target is "engine", "service", "platform" or "stop_vm"; Index says which.
	Target string
	Index  int
	Fault  fault.Fault
}
