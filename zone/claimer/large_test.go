package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/claimer"
)

// In a fleet of 80 VMs one is unreachable and no VM owns an engine any more. The users require a large fleet to recover
// within 15 s.
func TestLargeFleetTakesOverEnginesWhileOneVMIsUnreachable(t *testing.T) {
	const vms, engines, takeoverLimit = 80, 60, 15 * time.Second
	var all [vms]claimer.Claimer
	var engineIDs []string
	for e := range engines {
		engineIDs = append(engineIDs, engineName(e))
	}
	claimedAt := map[string]time.Duration{}
	for n := range all {
		all[n].Lease = lease
	}
	for now := time.Duration(0); now < takeoverLimit; now += 100 * time.Millisecond {
		for n := range all[1:] {
			view := claimer.FleetView{Self: fmt.Sprint("vm_", n+1), Settled: true, ExpectsPeers: true, WallClock: now, Engines: engineIDs}
			view.Peers = append(view.Peers, claimer.Peer{ID: "vm_0", LastHeartbeat: -2 * time.Second, Ready: true})
			for other := range all[1:] {
				if other != n {
					view.Peers = append(view.Peers, claimer.Peer{ID: fmt.Sprint("vm_", other+1), LastHeartbeat: now, Ready: true})
				}
			}
			decision := all[n+1].Tick(now, view)
			for _, e := range decision.Claim {
				claimedAt[e] = now
			}
			for _, e := range decision.Poll {
				all[n+1].RecordOrderCount(now, e, 1, 5)
			}
		}
	}
	if len(claimedAt) < engines {
		t.Errorf("%d of %d engines claimed within %v", len(claimedAt), engines, takeoverLimit)
	}
}
