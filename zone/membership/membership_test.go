package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

// packetBytes is the payload that fits a packet on all common links.
const packetBytes = 1200

func state(n int, number uint64, engines ...string) fuchsiaspoke.VMState {
	s := fuchsiaspoke.VMState{VM: fuchsiaspoke.VM{ID: fmt.Sprint("vm_", n)}, Incarnation: "first", HeartbeatNumber: number}
	for _, id := range engines {
		s.Engines = append(s.Engines, fuchsiaspoke.EngineView{Engine: fuchsiaspoke.ReplicaIncarnation{ID: id}, Fence: 7})
	}
	return s
}

// When a fleet of 80 VMs starts, heartbeats that name all VMs overflow the receive buffers of the sockets.
func TestHeartbeatNamesBoundedNumberOfPeersInLargeFleet(t *testing.T) {
	const vms, bytesPerPeer = 80, 45
	var r membership.Membership
	for n := range vms {
		r.Observe(time.Second, state(n, 1))
	}
	named := map[string]bool{}
	for number := range uint64(8) {
		all := r.PeersToReport(time.Second, number)
		if len(all)*bytesPerPeer > packetBytes/2 {
			t.Fatalf("one heartbeat names %d VMs, which exceeds half a packet", len(all))
		}
		for _, p := range all {
			named[p.State.VM.ID] = true
		}
	}
	if len(named) != vms {
		t.Errorf("%d of %d VMs were named in 8 heartbeats", len(named), vms)
	}
}

// The VM that owns an engine is killed and restarts within the peer timeout.
func TestClaimEndsWhenItsVMRestarts(t *testing.T) {
	var r membership.Membership
	r.Observe(0, state(1, 50, "engine_1"))
	restarted := state(1, 1)
	restarted.Incarnation = "second"
	r.Observe(300*time.Millisecond, restarted)
	if c := r.Claims()["engine_1"]; !c.Ended || c.Fence != 7 {
		t.Errorf("claim %+v after a restart of its VM, want it ended with fence 7", c)
	}
}

// A VM releases one of its engines while some datagrams of its heartbeats are lost.
func TestClaimEndsAfterTwoHeartbeatsWithoutIt(t *testing.T) {
	var r membership.Membership
	r.Observe(0, state(1, 50, "engine_1"))
	r.Observe(0, state(1, 50, "engine_2"))
	r.Observe(150*time.Millisecond, state(1, 51, "engine_2"))
	if r.Claims()["engine_1"].Ended {
		t.Error("claim ended after one heartbeat without it, a datagram of which may be lost")
	}
	r.Observe(300*time.Millisecond, state(1, 52, "engine_2"))
	if !r.Claims()["engine_1"].Ended || r.Claims()["engine_2"].Ended {
		t.Errorf("claims %+v, want only the one on engine_1 ended", r.Claims())
	}
	r.Observe(450*time.Millisecond, state(1, 53, "engine_1", "engine_2"))
	if r.Claims()["engine_1"].Ended {
		t.Error("claim has ended although a later heartbeat carries it again")
	}
}
