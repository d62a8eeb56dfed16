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
	const vms, bytesPerPeer = 80, 80
	var m membership.Membership
	for n := range vms {
		m.Observe(time.Second, state(n, 1))
	}
	named := map[string]bool{}
	for number := range uint64(8) {
		all := m.ReportToHubs(time.Second, number)
		if len(all)*bytesPerPeer > packetBytes {
			t.Fatalf("one heartbeat names %d VMs, which exceeds a packet", len(all))
		}
		for _, p := range all {
			named[p.VM.ID] = true
		}
	}
	if len(named) != vms {
		t.Errorf("%d of %d VMs were named in 8 heartbeats", len(named), vms)
	}
}

// The VM that owns an engine is killed and restarts within the peer timeout.
func TestClaimEndsWhenItsVMRestarts(t *testing.T) {
	var m membership.Membership
	m.Observe(0, state(1, 50, "engine_1"))
	restarted := state(1, 1)
	restarted.Incarnation = "second"
	m.Observe(300*time.Millisecond, restarted)
	if c := m.Claims()["engine_1"]; !c.Ended || c.Fence != 7 {
		t.Errorf("claim %+v after a restart of its VM, want it ended with fence 7", c)
	}
}

// A VM releases one of its engines while some datagrams of its heartbeats are lost.
func TestClaimEndsAfterTwoHeartbeatsWithoutIt(t *testing.T) {
	var m membership.Membership
	m.Observe(0, state(1, 50, "engine_1"))
	m.Observe(0, state(1, 50, "engine_2"))
	m.Observe(150*time.Millisecond, state(1, 51, "engine_2"))
	if m.Claims()["engine_1"].Ended {
		t.Error("claim ended after one heartbeat without it, a datagram of which may be lost")
	}
	m.Observe(300*time.Millisecond, state(1, 52, "engine_2"))
	if !m.Claims()["engine_1"].Ended || m.Claims()["engine_2"].Ended {
		t.Errorf("claims %+v, want only the one on engine_1 ended", m.Claims())
	}
	m.Observe(450*time.Millisecond, state(1, 53, "engine_1", "engine_2"))
	if m.Claims()["engine_1"].Ended {
		t.Error("claim has ended although a later heartbeat carries it again")
	}
}

// report returns a report on vm_2.
func report(age time.Duration) fuchsiaspoke.ReportedPeer {
	return fuchsiaspoke.ReportedPeer{VM: fuchsiaspoke.VM{ID: "vm_2"}, Incarnation: "first", Age: age, Ready: true}
}

func silent(r fuchsiaspoke.ReportedPeer) fuchsiaspoke.ReportedPeer {
	r.Silent = true
	return r
}

// reachable reports whether vm_2 is reachable.
func reachable(m *membership.Membership, now time.Duration) bool {
	for _, p := range m.Reachable(now) {
		if p.VM.ID == "vm_2" {
			return true
		}
	}
	return false
}

// vm_1 and vm_3 hear vm_2, which this VM does not. vm_1 loses it first, while vm_3 still hears it; then vm_3 loses it too.
func TestReportedVMIsReachableUntilNobodyHearsIt(t *testing.T) {
	var m membership.Membership
	from := func(now time.Duration, n int, number uint64, r fuchsiaspoke.ReportedPeer) {
		s := state(n, number)
		s.Peers = []fuchsiaspoke.ReportedPeer{r}
		m.Observe(now, s)
	}
	from(time.Second, 1, 1, report(100*time.Millisecond))
	if !reachable(&m, time.Second) {
		t.Fatal("a VM that another hears is not reachable")
	}
	from(3*time.Second, 3, 1, report(100*time.Millisecond))
	from(3100*time.Millisecond, 1, 2, silent(report(2200*time.Millisecond)))
	if !reachable(&m, 3100*time.Millisecond) {
		t.Error("a VM is unreachable although one that hears it says otherwise")
	}
	from(4000*time.Millisecond, 3, 2, report(1100*time.Millisecond))
	if !reachable(&m, 4000*time.Millisecond) {
		t.Error("a VM is unreachable although the only report of silence is older than another")
	}
	from(4200*time.Millisecond, 3, 3, silent(report(1300*time.Millisecond)))
	if reachable(&m, 4200*time.Millisecond) {
		t.Error("a VM is reachable although nobody hears it any more")
	}
	from(4400*time.Millisecond, 3, 4, report(50*time.Millisecond))
	if !reachable(&m, 4400*time.Millisecond) {
		t.Error("a VM that is heard again is not reachable")
	}
}

// Reports about VMs that this one doesn't hear must not be passed on to hubs, or two hubs could keep a dead VM alive by turns.
func TestReportedVMsAreNotReportedToHubs(t *testing.T) {
	var m membership.Membership
	s := state(1, 1)
	s.Peers = []fuchsiaspoke.ReportedPeer{report(0)}
	m.Observe(time.Second, s)
	for _, p := range m.ReportToHubs(time.Second, 1) {
		if p.VM.ID == "vm_2" {
			t.Error("a VM that is known from a report alone is reported to hubs")
		}
	}
}

// A leaf sends to two hubs at the same moment. Each must go on reporting it although the other's report seems a little newer.
func TestLeafHeardByTwoHubsIsReportedByBoth(t *testing.T) {
	var m membership.Membership
	m.Observe(time.Second, state(2, 1))
	s := state(1, 1)
	s.Peers = []fuchsiaspoke.ReportedPeer{report(0)}
	m.Observe(time.Second+5*time.Millisecond, s)
	for _, p := range m.ReportToHubs(time.Second+10*time.Millisecond, 1) {
		if p.VM.ID == "vm_2" {
			if p.Age != 10*time.Millisecond {
				t.Errorf("reported age %v, want that of the VM's own last heartbeat", p.Age)
			}
			return
		}
	}
	t.Error("a VM that is heard is not reported, as another VM heard it too")
}

// A VM restarts, and another VM reports the new incarnation before its first heartbeat arrives here (ONE on hunt-1484-3 of
// tfsvsa-roster: two VMs claimed one engine, as the claim of the restarted one was dropped).
func TestHeartbeatsOfRestartedVMCountAfterReportOfIt(t *testing.T) {
	var m membership.Membership
	m.Observe(0, state(2, 50, "engine_1"))
	s := state(1, 1)
	s.Peers = []fuchsiaspoke.ReportedPeer{report(0)}
	s.Peers[0].Incarnation = "second"
	m.Observe(time.Second, s)
	restarted := state(2, 1, "engine_2")
	restarted.Incarnation = "second"
	if !m.Observe(1100*time.Millisecond, restarted) {
		t.Error("the new incarnation does not count as new")
	}
	claims := m.Claims()
	if claims["engine_2"].VM != "vm_2" {
		t.Error("the claim of the restarted VM was dropped")
	}
	if !claims["engine_1"].Ended {
		t.Error("the claim of the former incarnation did not end")
	}
	for _, p := range m.Peers(1200 * time.Millisecond) {
		if p.VM.ID == "vm_2" && p.LastHeard != 1100*time.Millisecond {
			t.Errorf("the restarted VM was last heard at %v, want 1.1 s", p.LastHeard)
		}
	}
}

// A VM that has just started learns of another that was heard before its own start.
func TestVMReportedRightAfterTheStartIsReachable(t *testing.T) {
	var m membership.Membership
	s := state(1, 1)
	s.Peers = []fuchsiaspoke.ReportedPeer{report(100 * time.Millisecond)}
	m.Observe(20*time.Millisecond, s)
	if !reachable(&m, 30*time.Millisecond) {
		t.Error("a VM that another hears is not reachable")
	}
}

// Heartbeats that the network has held for seconds arrive after later ones, or after those of the VM's next start.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	var m membership.Membership
	m.Observe(0, state(1, 50, "engine_1"))
	m.Observe(100*time.Millisecond, state(1, 52))
	if m.Observe(200*time.Millisecond, state(1, 51, "engine_1")) {
		t.Error("a late heartbeat counts as that of a new VM")
	}
	restarted := state(1, 1, "engine_2")
	restarted.Incarnation = "second"
	m.Observe(300*time.Millisecond, restarted)
	if m.Observe(3*time.Second, state(1, 53, "engine_1")) {
		t.Error("a late heartbeat of the first incarnation counts as that of a new one")
	}
	claims := m.Claims()
	if !claims["engine_1"].Ended || claims["engine_2"].Ended {
		t.Errorf("claims %+v, want that of the first incarnation ended and that of the second in force", claims)
	}
	for _, p := range m.Peers(3 * time.Second) {
		if p.Incarnation != "second" || p.LastHeard != 300*time.Millisecond {
			t.Errorf("incarnation %s last heard at %v, want the second one at 300 ms", p.Incarnation, p.LastHeard)
		}
	}
}
