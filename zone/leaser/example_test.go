package leaser_test

import (
	"fmt"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/leaser"
)

// A single VM waits one lease length, chooses a fencing token, and holds the resource after granting itself a request with that
// token.
func ExampleLeaser() {
	l := leaser.Leaser{Self: "a", Incarnation: "a-1", Group: "replicas", Length: time.Second}
	l.Adopt(0, fuchsiaspoke.VMList{Revision: 1, VMs: []fuchsiaspoke.VM{{ID: "a"}}})
	for now := time.Duration(0); now <= 1500*time.Millisecond; now += 100 * time.Millisecond {
		for _, request := range l.BuildRequests(now, []string{"10.0.1.7:9000"}) {
			l.HandleResponse(now, l.HandleRequest(now, request))
		}
	}
	lease, held := l.Held(1500*time.Millisecond, "10.0.1.7:9000")
	fmt.Println(held, lease.Fence)
	// Output: true 1
}
