package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/roster"
)

// packet is what fits the smallest packet of common links, in bytes.
const packet = 1200

func state(n int, beat uint64, engines ...string) fuchsiaspoke.VMState {
	s := fuchsiaspoke.VMState{VM: fuchsiaspoke.VM{ID: fmt.Sprint("vm_", n)}, Incarnation: "first", Beat: beat}
	for _, id := range engines {
		s.Engines = append(s.Engines, fuchsiaspoke.EngineView{Engine: fuchsiaspoke.ReplicaIncarnation{ID: id}, Fence: 7})
	}
	return s
}

// The pattern: a fleet of 80 forms, and heartbeats that name all of it overflow the sockets that they come to.
func TestHeartbeatsOfALargeFleetStaySmall(t *testing.T) {
	const vms, mention = 80, 45
	var r roster.Roster
	for n := range vms {
		r.Observe(time.Second, state(n, 1))
	}
	named := map[string]bool{}
	for beat := range uint64(8) {
		all := r.Mentions(time.Second, beat)
		if len(all)*mention > packet/2 {
			t.Fatalf("one heartbeat names %d VMs", len(all))
		}
		for _, p := range all {
			named[p.State.VM.ID] = true
		}
	}
	if len(named) != vms {
		t.Errorf("%d of %d VMs were named in 8 heartbeats", len(named), vms)
	}
}

// The pattern: the VM that orders for an engine is killed and is up again before its silence shows.
func TestAClaimEndsWithTheStartThatMadeIt(t *testing.T) {
	var r roster.Roster
	r.Observe(0, state(1, 50, "engine_1"))
	again := state(1, 1)
	again.Incarnation = "second"
	r.Observe(300*time.Millisecond, again)
	if c := r.Claims()["engine_1"]; !c.Over || c.Fence != 7 {
		t.Errorf("claim %+v", c)
	}
}

// The pattern: a VM gives one of its engines up, and parts of its heartbeats are lost.
func TestAClaimEndsWhenItIsToldOfNoMore(t *testing.T) {
	var r roster.Roster
	r.Observe(0, state(1, 50, "engine_1"))
	r.Observe(0, state(1, 50, "engine_2"))
	r.Observe(150*time.Millisecond, state(1, 51, "engine_2"))
	if r.Claims()["engine_1"].Over {
		t.Error("over after one heartbeat, a part of which may be lost")
	}
	r.Observe(300*time.Millisecond, state(1, 52, "engine_2"))
	if !r.Claims()["engine_1"].Over || r.Claims()["engine_2"].Over {
		t.Errorf("claims %+v", r.Claims())
	}
	r.Observe(450*time.Millisecond, state(1, 53, "engine_1", "engine_2"))
	if r.Claims()["engine_1"].Over {
		t.Error("over though it is told of again")
	}
}
