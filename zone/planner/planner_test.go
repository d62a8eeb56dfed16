package planner_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/zone/planner"
)

func fleet(vms, zones int) []planner.Candidate {
	var out []planner.Candidate
	for n := range vms {
		out = append(out, planner.Candidate{Ready: true, VM: fuchsiaspoke.VM{
			ID: fmt.Sprint("vm_", n), Zone: fuchsiaspoke.Zone(fmt.Sprint("zone_", n%zones)), Capacity: 0.2 + 0.2*float32(n%4),
		}})
	}
	return out
}

func TestHubsAreBoundedAndEveryZoneHasTwo(t *testing.T) {
	for _, c := range []struct{ vms, zones, want int }{
		{6, 3, 6}, {12, 3, 12}, {20, 3, 6}, {80, 3, 21}, {195, 5, 25}, {410, 6, 24},
	} {
		all := fleet(c.vms, c.zones)
		hubs := planner.Planner{}.Hubs(all)
		if len(hubs) != c.want {
			t.Errorf("%d VMs in %d zones: %d hubs, want %d", c.vms, c.zones, len(hubs), c.want)
		}
		perZone := map[fuchsiaspoke.Zone]int{}
		for _, vm := range all {
			if hubs[vm.VM.ID] {
				perZone[vm.VM.Zone]++
			}
		}
		for zone, n := range perZone {
			if n < 2 {
				t.Errorf("%d VMs: %s has %d hubs", c.vms, zone, n)
			}
		}
	}
}

// When a hub fails, only one other VM of its zone becomes a hub, and the leaves of other hubs keep theirs.
func TestFailureOfHubChangesOneHub(t *testing.T) {
	all := fleet(80, 3)
	before := planner.Planner{}.Hubs(all)
	failed := -1
	for n, c := range all {
		if before[c.VM.ID] {
			failed = n
			break
		}
	}
	rest := append(append([]planner.Candidate{}, all[:failed]...), all[failed+1:]...)
	after := planner.Planner{}.Hubs(rest)
	added := 0
	for id := range after {
		if !before[id] {
			added++
		}
	}
	if added != 1 || len(after) != len(before) {
		t.Errorf("%d hubs were added and %d remain of %d, want one added", added, len(after), len(before))
	}
	for _, c := range rest {
		if before[c.VM.ID] || after[c.VM.ID] {
			continue
		}
		old, now := planner.Planner{}.HubsOf(c.VM, all, before), planner.Planner{}.HubsOf(c.VM, rest, after)
		if old[0] != all[failed].VM.ID && old[0] != now[0] && before[now[0]] {
			t.Errorf("%s moved from %s to %s, though its hub lives", c.VM.ID, old[0], now[0])
		}
	}
}

func TestVMsWithMoreCapacityAreHubsMoreOften(t *testing.T) {
	all := fleet(400, 3)
	small, large := 0, 0
	for id := range (planner.Planner{}).Hubs(all) {
		for _, c := range all {
			switch {
			case c.VM.ID != id:
			case c.VM.Capacity < 0.3:
				small++
			case c.VM.Capacity > 0.7:
				large++
			}
		}
	}
	if large < 2*small {
		t.Errorf("%d small and %d large VMs are hubs", small, large)
	}
}

func TestVMsThatAreNotReadyAreHubsOnlyIfTooFewAre(t *testing.T) {
	all := fleet(40, 2)
	for n := range all {
		all[n].Ready = n < 20
	}
	for id := range (planner.Planner{}).Hubs(all) {
		for _, c := range all {
			if c.VM.ID == id && !c.Ready {
				t.Errorf("%s is a hub and not ready", id)
			}
		}
	}
}

func ExamplePlanner_HubsOf() {
	all := fleet(80, 3)
	hubs := planner.Planner{}.Hubs(all)
	fmt.Println(len(planner.Planner{}.HubsOf(all[0].VM, all, hubs)))
	// Output: 2
}
