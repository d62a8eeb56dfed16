package leaser_test

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
)

// A VM that is alone waits one lease length, picks a fence, and holds the resource once it has promised itself that fence.
func ExampleLeaser() {
	l := leaser.Leaser{Self: "a", Incarnation: "a-1", Group: "replicas", Length: time.Second}
	l.Adopt(0, fuchsiaspoke.VMList{Revision: 1, VMs: []fuchsiaspoke.VM{{ID: "a"}}})
	for now := time.Duration(0); now <= 1500*time.Millisecond; now += 100 * time.Millisecond {
		for _, ask := range l.Ask(now, []string{"10.0.1.7:9000"}) {
			l.Hear(now, l.Answer(now, ask))
		}
	}
	lease, held := l.Held(1500*time.Millisecond, "10.0.1.7:9000")
	fmt.Println(held, lease.Fence)
	// Output: true 1
}
