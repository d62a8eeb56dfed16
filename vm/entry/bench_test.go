package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// BenchmarkUpdateOwnership decides once on the engines of a fleet of 195 VMs and 78 engines.
func BenchmarkUpdateOwnership(b *testing.B) {
	e := &Entry{VM: fuchsiaspoke.VM{ID: "10.0.0.1"}, HeartbeatAddress: "10.0.0.1:7600", Log: func(string, ...any) {}}
	if err := e.initialize(); err != nil {
		b.Fatal(err)
	}
	for n := range 194 {
		e.membership.Observe(e.timer.Now(), fuchsiaspoke.VMState{
			VM:          fuchsiaspoke.VM{ID: fmt.Sprint("10.0.1.", n), Zone: "zone_a", LinkAddress: fmt.Sprintf("10.0.1.%d:7601", n)},
			Incarnation: "a", Ready: true, Uptime: time.Second,
		})
	}
	e.exchanger.UpdateRole(e.timer.Now(), true, false)
	for b.Loop() {
		e.updateOwnership(context.Background())
	}
}
