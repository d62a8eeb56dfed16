package exchanger_test

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// BenchmarkHeartbeat composes one heartbeat of a VM that hears all others of a fleet of 195.
func BenchmarkHeartbeat(b *testing.B) {
	x := newExchanger(194)
	for n := 0; b.Loop(); n++ {
		x.UpdateRole(time.Second, true, false)
		x.Compose(time.Second, fuchsiaspoke.VMState{VM: x.Self, HeartbeatNumber: uint64(n)}, nil)
	}
}
