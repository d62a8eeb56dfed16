package steward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/zone/steward"
)

// The pattern: in a fleet of 80 some VM is always silent, while the VMs that order for engines die. The bound is the time that
// the users give a large fleet to recover.
func TestALargeFleetTakesEnginesOverWhileAVMIsSilent(t *testing.T) {
	const fleet, engines, bound = 80, 60, 15 * time.Second
	var all [fleet]steward.Steward
	var names []string
	for e := range engines {
		names = append(names, engineName(e))
	}
	taken := map[string]time.Duration{}
	for n := range all {
		all[n].Lease = lease
	}
	for now := time.Duration(0); now < bound; now += 100 * time.Millisecond {
		for n := range all[1:] {
			w := steward.World{Self: fmt.Sprint("vm_", n+1), Settled: true, Others: true, Wall: now, Engines: names, Revision: 1}
			w.Peers = append(w.Peers, steward.Peer{ID: "vm_0", Heard: -2 * time.Second, Ready: true})
			for other := range all[1:] {
				if other != n {
					w.Peers = append(w.Peers, steward.Peer{ID: fmt.Sprint("vm_", other+1), Heard: now, Ready: true})
				}
			}
			v := all[n+1].Tick(now, w)
			for _, e := range v.Take {
				taken[e] = now
			}
			for _, e := range v.Look {
				all[n+1].Looked(now, e, 1, 5)
			}
		}
	}
	if len(taken) < engines {
		t.Errorf("%d of %d engines taken within %v", len(taken), engines, bound)
	}
}
