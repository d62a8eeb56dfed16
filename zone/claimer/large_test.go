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
	taken := map[string]time.Duration{}
	for n := range all {
		all[n].Lease = lease
	}
	for now := time.Duration(0); now < takeoverLimit; now += 100 * time.Millisecond {
		for n := range all[1:] {
			w := claimer.FleetView{Self: fmt.Sprint("vm_", n+1), Settled: true, ExpectsPeers: true, WallClock: now, Engines: engineIDs, Revision: 1}
			w.Peers = append(w.Peers, claimer.Peer{ID: "vm_0", LastHeartbeat: -2 * time.Second, Ready: true})
			for other := range all[1:] {
				if other != n {
					w.Peers = append(w.Peers, claimer.Peer{ID: fmt.Sprint("vm_", other+1), LastHeartbeat: now, Ready: true})
				}
			}
			v := all[n+1].Tick(now, w)
			for _, e := range v.Claim {
				taken[e] = now
			}
			for _, e := range v.Poll {
				all[n+1].RecordOrderCount(now, e, 1, 5)
			}
		}
	}
	if len(taken) < engines {
		t.Errorf("%d of %d engines claimed within %v", len(taken), engines, takeoverLimit)
	}
}
