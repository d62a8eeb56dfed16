package entry

import (
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// When all VMs start at once, their settle times end at the same moment. Each must then already count the others as eligible
// owners, or several claim the same engine.
func TestReadyPeerIsEligibleForEnginesBeforeItHasSettled(t *testing.T) {
	e := &Entry{VM: fuchsiaspoke.VM{ID: "10.0.0.1"}, HeartbeatAddress: "10.0.0.1:7600", Log: func(string, ...any) {}}
	if err := e.initialize(); err != nil {
		t.Fatal(err)
	}
	now := e.timer.Now()
	e.membership.Observe(now, fuchsiaspoke.VMState{
		VM: fuchsiaspoke.VM{ID: "10.0.0.2", LinkAddress: "10.0.0.2:7601"}, Incarnation: "a", Ready: true, Uptime: 10 * time.Millisecond,
	})
	e.exchanger.UpdateRole(now, true, false)
	view := e.fleetView(now, nil, e.membership.Peers(now))
	if len(view.Peers) != 1 || !view.Peers[0].Ready {
		t.Fatalf("peers %+v, want one ready peer", view.Peers)
	}
}
