package runner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/runner"
	"go.uber.org/goleak"
)

// A program embeds a VM by setting the fields of a Runner and calling Run, which serves until its context is cancelled.
func ExampleRunner() {
	r := &runner.Runner{
		VM: fuchsiaspoke.VM{
			ID: "vm_1", Zone: "zone_a", CallerAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0",
		},
		AdminAddress: "127.0.0.1:0",
		PlatformURL:  "http://127.0.0.1:7070",
		FleetKey:     strings.Repeat("ab", 32),
	}
	fmt.Println(r.Check())
	// Output: <nil>
}

func ExampleRunner_Check() {
	r := &runner.Runner{VM: fuchsiaspoke.VM{ID: "vm_1", Zone: "zone_a", CallerAddress: "localhost"}}
	fmt.Println(r.Check())
	// Output: caller-address: "localhost" is not allowed; give an IP address and a port, as in 127.0.0.1:8080
}

// TestRunLeavesNoGoroutinesAfterShutdown checks that no goroutine is left after Run has drained and returned.
func TestRunLeavesNoGoroutinesAfterShutdown(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := &runner.Runner{
		VM: fuchsiaspoke.VM{
			ID: "vm_1", Zone: "zone_a", CallerAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0",
		},
		AdminAddress: "127.0.0.1:0",
		PlatformURL:  "http://127.0.0.1:1",
		FleetKey:     strings.Repeat("ab", 32),
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := r.Run(ctx); err != nil {
		t.Error(err)
	}
}
