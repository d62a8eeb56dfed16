package exchanger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/exchanger"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/membership"
)

// newExchanger returns the exchanger of vm_0, which hears the given number of other VMs.
func newExchanger(others int) *exchanger.Exchanger {
	m := &membership.Membership{Self: "vm_0"}
	vm := func(n int) fuchsiaspoke.VM {
		return fuchsiaspoke.VM{ID: fmt.Sprint("vm_", n), Zone: "zone_a", LinkAddress: fmt.Sprintf("10.0.%d.%d:7601", n/200, n%200)}
	}
	for n := 1; n <= others; n++ {
		m.Observe(time.Second, fuchsiaspoke.VMState{VM: vm(n), Incarnation: "a", HeartbeatNumber: 1, Ready: true, WantsAnswer: true})
	}
	return &exchanger.Exchanger{Self: vm(0), Membership: m, Address: heartbeatAddress}
}

// Another VM takes this one for its hub, while this one takes it for a hub too. It must learn the VMs of the fleet all the same.
func TestVMThatWantsAnswerGetsVMsOfFleet(t *testing.T) {
	for self := range 30 {
		x := newExchanger(30)
		x.Self.ID = fmt.Sprint("self_", self)
		role := x.UpdateRole(time.Second, true, false)
		answered := map[string]bool{}
		for _, b := range x.Compose(time.Second, fuchsiaspoke.VMState{VM: x.Self, HeartbeatNumber: 1}, nil) {
			for _, target := range b.Targets {
				answered[target] = answered[target] || len(b.State.Peers) > 0 && !b.State.WantsAnswer
			}
		}
		for n := 1; n <= 30; n++ {
			address, id := fmt.Sprintf("10.0.0.%d:7600", n), fmt.Sprint("vm_", n)
			isOwnHub := len(role.LeafOf) > 0 && (role.LeafOf[0] == id || role.LeafOf[1] == id)
			if !answered[address] && !isOwnHub {
				t.Fatalf("hub %v: %s, a hub: %v, gets no answer", role.Hub, id, role.Hubs[id])
			}
		}
	}
}

func TestLeafReportsAdmittedTokensToOneHub(t *testing.T) {
	x := newExchanger(80)
	x.Self.ID = "leaf"
	for n := 0; x.UpdateRole(time.Second, true, false).Hub; n++ {
		x.Self.ID = fmt.Sprint("leaf_", n)
	}
	receivers := 0
	state := fuchsiaspoke.VMState{VM: x.Self, HeartbeatNumber: 1, AdmittedTokens: map[string]float64{"a": 1}}
	for _, b := range x.Compose(time.Second, state, nil) {
		if len(b.State.AdmittedTokens) > 0 {
			receivers += len(b.Targets)
		}
		if b.State.Hub {
			t.Error("a leaf calls itself a hub")
		}
	}
	if receivers != 1 {
		t.Errorf("%d VMs are told of admitted tokens, want 1", receivers)
	}
}

func TestCountEpochChangesWithRole(t *testing.T) {
	x := newExchanger(0)
	alone := x.UpdateRole(time.Second, true, false)
	if !alone.Hub || alone.CountEpoch != 1 {
		t.Fatalf("role %+v of a VM that knows no other, want a hub in epoch 1", alone)
	}
	if again := x.UpdateRole(2*time.Second, true, false); again.CountEpoch != 1 || again.HubSince != time.Second {
		t.Errorf("role %+v without a change, want epoch 1 since 1 s", again)
	}
}
